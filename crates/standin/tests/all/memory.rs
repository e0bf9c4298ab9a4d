//! Tests of the in-memory store.

use std::collections::BTreeMap;

use briarshift_standin::store::{MAX_VALUE_BYTES, MemoryStore};
use briarshift_store::{Error, Expect, Key, Lease, LeaseId, Operation, Reply, Version};
use briarshift_units::{Moment, Span};
use proptest::prelude::*;

const TTL: Span = Span(10);

fn key(number: u8) -> Key {
    Key::from(format!("k/{number}"))
}

fn put(number: u8, expect: Expect, lease: Option<LeaseId>) -> Operation {
    Operation::Put { key: key(number), value: "v".into(), expect, lease }
}

#[test]
fn keys_are_deleted_when_their_lease_ends() {
    let mut store = MemoryStore::default();
    let lease = LeaseId(1);
    let granted = store.execute(Moment(0), Operation::Grant { ttl: TTL });
    assert_eq!(granted, Ok(Reply::Leased(Lease { id: lease, ttl: TTL })));
    store.execute(Moment(0), put(1, Expect::Absent, Some(lease))).unwrap();
    store.execute(Moment(9), Operation::Renew { lease }).unwrap();
    let get = || Operation::Get { key: key(1) };
    assert!(matches!(store.execute(Moment(18), get()), Ok(Reply::Value(Some(_)))));
    assert_eq!(store.execute(Moment(19), get()), Ok(Reply::Value(None)));
    assert_eq!(store.execute(Moment(19), Operation::Renew { lease }), Err(Error::LeaseEnded));
    let granted = store.execute(Moment(19), Operation::Grant { ttl: TTL });
    assert_eq!(granted, Ok(Reply::Leased(Lease { id: LeaseId(2), ttl: TTL })));
}

#[test]
fn a_value_above_the_limit_is_refused() {
    let mut store = MemoryStore::default();
    let value = "x".repeat(MAX_VALUE_BYTES + 1);
    let put = Operation::Put { key: key(1), value, expect: Expect::Any, lease: None };
    assert!(matches!(store.execute(Moment(0), put), Err(Error::Refused(_))));
}

proptest! {
    /// Exactly one of several writers that expect the same version succeeds, and versions only
    /// increase.
    #[test]
    fn compare_and_swap(writes in prop::collection::vec((0..3_u8, 0..12_u64), 1..60)) {
        let mut store = MemoryStore::default();
        let mut known: BTreeMap<u8, Version> = BTreeMap::new();
        let mut newest = Version(0);
        for (number, guess) in writes {
            let current = known.get(&number).copied().unwrap_or_default();
            let expect = match guess {
                0 => Expect::Absent,
                guess => Expect::Version(Version(guess)),
            };
            let result = store.execute(Moment(0), put(number, expect, None));
            if Version(guess) == current {
                let Ok(Reply::Written(version)) = result else { panic!("{result:?}") };
                prop_assert!(newest < version);
                newest = version;
                known.insert(number, version);
            } else {
                prop_assert_eq!(result, Err(Error::Conflict(current)));
            }
        }
    }
}

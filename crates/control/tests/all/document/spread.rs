//! An accepted document comes into force on all VMs within the limit, and no VM
//! returns to an older revision, under all faults.

use briarshift_settings::{Account, Document};
use briarshift_units::{Revision, Span};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{prop_assert, proptest};

use super::fleet::{Fault, Fleet};

/// Number of data centres, and of VMs in each, in the current fleet.
const DATA_CENTRES: usize = 6;
const VMS_PER_DATA_CENTRE: usize = 2;
/// Time within which an accepted document is in force on a fleet of that size.
const LIMIT: Span = Span::from_secs(5);

/// Returns a document with one account, whose id contains `n`, and of at least
/// `length` bytes.
fn document(n: usize, length: usize) -> String {
    let id = format!("a-{n}").parse().expect("an id");
    let account = Account::builder(id, "kitambaa".parse().expect("an id"), "key").build();
    let document = Document::builder()
        .owner("kitambaa".parse().expect("an id"))
        .account(account)
        .comment(&"x".repeat(length))
        .build();
    serde_json::to_string(&document).expect("documents are JSON")
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        any::<usize>().prop_map(Fault::KillDelegate),
        any::<usize>().prop_map(Fault::Kill),
        Just(Fault::Outage),
        any::<usize>().prop_map(Fault::CutStore),
        any::<usize>().prop_map(Fault::CutDelegate),
        any::<usize>().prop_map(Fault::CutPeers),
        Just(Fault::LoseMessages),
    ]
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Span> {
    range.prop_map(Span::from_millis)
}

/// Creates a fleet whose VMs all run a first document.
fn settled(seed: u64, length: usize) -> Fleet {
    let mut fleet = Fleet::new(DATA_CENTRES, VMS_PER_DATA_CENTRE, LIMIT, seed);
    fleet.put(document(0, length));
    fleet.run(LIMIT);
    fleet
}

proptest! {
    /// Several faults, which may overlap, and documents that are written
    /// meanwhile, some of them invalid.
    #[test]
    fn accepted_documents_are_in_force_within_the_limit(
        seed in any::<u64>(),
        length in prop_oneof![Just(0_usize), Just(20_000)],
        events in vec((millis(0..6_000), prop_oneof![fault().prop_map(Some), Just(None)], millis(500..9_000)), 2..6),
        invalid in any::<u8>(),
    ) {
        let mut fleet = settled(seed, length);
        for (n, (pause, fault, span)) in events.into_iter().enumerate() {
            fleet.run(pause);
            match fault {
                Some(fault) => fleet.inject(fault, span),
                None if invalid >> n & 1 == 1 => drop(fleet.put("{}".to_owned())),
                None => drop(fleet.put(document(n + 1, length))),
            }
        }
        fleet.run(Span::from_secs(9));
        let last = fleet.put(document(100, length));
        fleet.run(LIMIT);
        let runs = fleet.revisions();
        prop_assert!(runs.iter().all(|&runs| runs == Some(last)), "{runs:?} is not all {last}");
    }
}

/// If any VM read a document just before an outage of the store, all VMs get it
/// from their peers, also a VM that starts during the outage.
#[test]
fn a_vm_that_starts_in_an_outage_pulls_the_newest_document_from_peers() {
    let mut fleet = settled(7, 0);
    let last = fleet.put(document(1, 0));
    fleet.run(Span::from_millis(100));
    fleet.inject(Fault::Outage, Span::from_secs(60));
    fleet.inject(Fault::Kill(0), Span::from_secs(1));
    fleet.run(Span::from_secs(7));
    assert_eq!(fleet.revisions(), vec![Some(last); DATA_CENTRES * VMS_PER_DATA_CENTRE]);
}

#[test]
fn an_invalid_document_replaces_nothing() {
    let mut fleet = settled(3, 0);
    fleet.put("{ \"owners\": 7 }".to_owned());
    fleet.run(LIMIT);
    assert_eq!(fleet.revisions(), vec![Some(Revision(1)); DATA_CENTRES * VMS_PER_DATA_CENTRE]);
}

#[test]
fn a_vm_that_starts_while_an_invalid_document_is_stored_pulls_the_last_valid_one() {
    let mut fleet = settled(3, 0);
    fleet.put("{ \"owners\": 7 }".to_owned());
    fleet.inject(Fault::Kill(4), Span::from_secs(1));
    fleet.run(LIMIT);
    assert_eq!(fleet.revisions(), vec![Some(Revision(1)); DATA_CENTRES * VMS_PER_DATA_CENTRE]);
}

/// A delegate that can't reach the store asks another VM to take the watch
/// over. There is only one data centre, so that no VM can learn the document
/// from another one.
#[test]
fn a_delegate_that_cannot_reach_the_store_hands_the_watch_over() {
    let mut fleet = Fleet::new(1, 3, LIMIT, 1);
    fleet.put(document(0, 0));
    fleet.run(LIMIT);
    fleet.inject(Fault::CutDelegate(0), Span::from_secs(60));
    let last = fleet.put(document(1, 0));
    fleet.run(LIMIT);
    assert_eq!(fleet.revisions(), vec![Some(last); 3]);
}

/// A data centre of 60 VMs, the planned size, whose delegate is killed just
/// before a document is written.
#[test]
fn a_large_data_centre_runs_a_document_within_its_limit() {
    let limit = Span::from_secs(13);
    let mut fleet = Fleet::new(1, 60, limit, 1);
    fleet.put(document(0, 0));
    fleet.run(limit);
    fleet.inject(Fault::KillDelegate(0), Span::from_secs(2));
    let last = fleet.put(document(1, 0));
    fleet.run(limit);
    assert_eq!(fleet.revisions(), vec![Some(last); 60]);
}

/// While nothing changes, only the delegate of each data centre calls the
/// store, with one watch every two seconds.
#[test]
fn only_delegates_watch() {
    let mut fleet = settled(5, 0);
    fleet.run(Span::from_secs(10));
    let before = fleet.watches;
    fleet.run(Span::from_secs(60));
    let watches = fleet.watches - before;
    assert!(watches <= 31 * DATA_CENTRES as u64, "{watches} watches in a minute");
}

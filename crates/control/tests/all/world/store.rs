//! A fake of the platform's store, with compare-and-swap and leases.

use std::collections::BTreeMap;

use briarshift_store::{Entry, Error, Expect, Lease, LeaseId, Operation, Reply, Version};

#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<String, (Entry, Option<LeaseId>)>,
    leases: BTreeMap<u64, u64>,
    last_id: u64,
    pub down_until: u64,
}

impl Store {
    pub fn execute(&mut self, now: u64, operation: Operation) -> Result<Reply, Error> {
        let leases = &self.leases;
        let is_alive = |lease: LeaseId| leases.get(&lease.0).is_some_and(|end| now < *end);
        self.rows.retain(|_, (_, lease)| lease.is_none_or(is_alive));
        let version = |store: &Self, key: &str| {
            store.rows.get(key).map_or(Version(0), |(entry, _)| entry.version)
        };
        let check = |store: &Self, key: &str, expect| {
            let current = version(store, key);
            let holds = match expect {
                Expect::Absent => current == Version(0),
                Expect::Version(version) => current == version,
                Expect::Any => true,
            };
            if holds { Ok(()) } else { Err(Error::Conflict(current)) }
        };
        match operation {
            Operation::Get { key } => {
                Ok(Reply::Value(self.rows.get(key.0.as_str()).map(|(entry, _)| entry.clone())))
            }
            Operation::Put { key, value, expect, lease } => {
                check(self, &key.0, expect)?;
                if lease.is_some_and(|lease| !is_alive(lease)) {
                    return Err(Error::LeaseEnded);
                }
                self.last_id += 1;
                let version = Version(self.last_id);
                self.rows.insert(key.to_string(), (Entry { key, value, version }, lease));
                Ok(Reply::Written(version))
            }
            Operation::Delete { key, expect } => {
                check(self, &key.0, expect)?;
                self.rows.remove(key.0.as_str());
                Ok(Reply::Done)
            }
            Operation::Grant { ttl } => {
                self.last_id += 1;
                self.leases.insert(self.last_id, now + ttl.0);
                Ok(Reply::Leased(Lease { id: LeaseId(self.last_id), ttl }))
            }
            _ => Err(Error::Refused("not implemented by the fake store".into())),
        }
    }
}

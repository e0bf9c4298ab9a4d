//! The platform's store in memory, without a clock or network access.

use std::collections::BTreeMap;

use briarshift_store::{Entry, Error, Expect, Key, Lease, LeaseId, Operation, Reply, Version};
use briarshift_units::{Moment, Span};

/// Largest value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone)]
struct Row {
    value: String,
    version: Version,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone, Copy)]
struct LeaseState {
    ttl: Span,
    expires_at: Moment,
}

/// The state of the store. The current time is an argument of its methods, so that property tests can
/// use virtual time.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    rows: BTreeMap<Key, Row>,
    leases: BTreeMap<LeaseId, LeaseState>,
    last_version: Version,
    last_lease: LeaseId,
}

impl MemoryStore {
    /// Executes one operation. A watch returns immediately, with the value if its version is higher
    /// than `after` and with `None` otherwise; the caller does the waiting.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the condition is not met, [`Error::LeaseEnded`] if the lease has ended,
    /// [`Error::Refused`] if the value is larger than [`MAX_VALUE_BYTES`].
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_store::{Expect, Operation, Reply, Version};
    /// use briarshift_standin::store::MemoryStore;
    /// use briarshift_units::Moment;
    /// let mut store = MemoryStore::default();
    /// let key = "a".into();
    /// let put = Operation::Put { key, value: "1".into(), expect: Expect::Absent, lease: None };
    /// assert_eq!(store.execute(Moment(0), put.clone()), Ok(Reply::Written(Version(1))));
    /// assert!(store.execute(Moment(0), put).is_err());
    /// ```
    pub fn execute(&mut self, now: Moment, operation: Operation) -> Result<Reply, Error> {
        self.expire(now);
        match operation {
            Operation::Get { key } => Ok(Reply::Value(self.entry(&key))),
            Operation::List { prefix } => Ok(Reply::Values(self.entries(&prefix))),
            Operation::Put { key, value, expect, lease } => self.put(key, value, expect, lease),
            Operation::Delete { key, expect } => {
                self.check_condition(&key, expect)?;
                self.rows.remove(&key);
                Ok(Reply::Done)
            }
            Operation::Watch { key, after, wait: _ } => {
                Ok(Reply::Value(self.entry(&key).filter(|entry| after < entry.version)))
            }
            Operation::Grant { ttl } => {
                self.last_lease.0 += 1;
                self.leases.insert(self.last_lease, LeaseState { ttl, expires_at: now + ttl });
                Ok(Reply::Leased(Lease { id: self.last_lease, ttl }))
            }
            Operation::Renew { lease } => {
                let state = self.leases.get_mut(&lease).ok_or(Error::LeaseEnded)?;
                state.expires_at = now + state.ttl;
                Ok(Reply::Leased(Lease { id: lease, ttl: state.ttl }))
            }
            Operation::Revoke { lease } => {
                self.leases.remove(&lease).ok_or(Error::LeaseEnded)?;
                self.rows.retain(|_, row| row.lease != Some(lease));
                Ok(Reply::Done)
            }
        }
    }

    /// Ends expired leases and deletes their keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_standin::store::MemoryStore;
    /// use briarshift_units::Moment;
    /// MemoryStore::default().expire(Moment(1));
    /// ```
    pub fn expire(&mut self, now: Moment) {
        self.leases.retain(|_, state| now < state.expires_at);
        let leases = &self.leases;
        self.rows.retain(|_, row| row.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn entry(&self, key: &Key) -> Option<Entry> {
        let row = self.rows.get(key)?;
        Some(Entry { key: key.clone(), value: row.value.clone(), version: row.version })
    }

    fn entries(&self, prefix: &Key) -> Vec<Entry> {
        let rows = self.rows.range(prefix.clone()..);
        rows.take_while(|(key, _)| key.0.starts_with(prefix.0.as_str()))
            .map(|(key, row)| Entry {
                key: key.clone(),
                value: row.value.clone(),
                version: row.version,
            })
            .collect()
    }

    fn check_condition(&self, key: &Key, expect: Expect) -> Result<(), Error> {
        let version = self.rows.get(key).map_or(Version(0), |row| row.version);
        let met = match expect {
            Expect::Absent => version == Version(0),
            Expect::Version(expected) => version == expected,
            Expect::Any => true,
        };
        if met { Ok(()) } else { Err(Error::Conflict(version)) }
    }

    fn put(
        &mut self,
        key: Key,
        value: String,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Reply, Error> {
        if MAX_VALUE_BYTES < value.len() {
            return Err(Error::Refused("the value is above one mebibyte: split it".into()));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Error::LeaseEnded);
        }
        self.check_condition(&key, expect)?;
        self.last_version.0 += 1;
        self.rows.insert(key, Row { value, version: self.last_version, lease });
        Ok(Reply::Written(self.last_version))
    }
}

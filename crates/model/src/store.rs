//! The platform's store, as far as a fleet needs it.

use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_store::registry::{Call, Name, Reply, Row, Value};
use briarshift_store::{Error, Lease, LeaseId, Version};
use briarshift_units::Span;

/// Rows and their versions. Leases do not run out: a model's day is short.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: Vec<Row>,
    version: u64,
    /// Calls answered.
    pub(crate) calls: u64,
}

impl Store {
    pub(crate) fn new(catalog: Catalog) -> Self {
        let mut store = Self::default();
        store.put(Name::Catalog, Some(Value::Catalog(Arc::new(catalog))));
        store
    }

    /// Writes a row, or deletes it.
    pub(crate) fn put(&mut self, name: Name, value: Option<Value>) {
        self.version += 1;
        self.rows.push(Row { name, version: Version(self.version), value });
    }

    pub(crate) fn answer(&mut self, call: &Call) -> Result<Reply, Error> {
        self.calls += 1;
        match call {
            Call::ReadAll { .. } => Ok(self.since(Version(0))),
            Call::ReadCatalog { after } => {
                let is_new = |row: &&Row| row.name == Name::Catalog && *after < row.version;
                let rows = self.rows.iter().filter(is_new);
                let version = Version(self.version);
                Ok(Reply::Rows { rows: rows.cloned().collect(), version })
            }
            Call::ReadChanges { after, .. } => Ok(self.since(*after)),
            Call::Grant { .. } | Call::Renew { .. } => {
                let lease = LeaseId(self.calls);
                Ok(Reply::Leased(Lease { id: lease, ttl: Span::from_secs(30) }))
            }
            Call::Register { member, .. } => {
                let name = Name::Member(member.vm.clone());
                self.put(name, Some(Value::Member(member.clone())));
                Ok(Reply::Done)
            }
            Call::CreateSecret { .. } if self.rows.iter().any(|row| row.name == Name::Secret) => {
                Err(Error::Conflict(Version(self.version)))
            }
            Call::CreateSecret { secret } => {
                self.put(Name::Secret, Some(Value::Secret(secret.clone())));
                Ok(Reply::Done)
            }
            Call::WriteHoldings { holdings } => {
                self.put(Name::Holdings, Some(Value::Holdings(holdings.clone())));
                Ok(Reply::Done)
            }
            Call::Revoke { .. } => Ok(Reply::Done),
        }
    }

    fn since(&self, after: Version) -> Reply {
        let rows = self.rows.iter().filter(|row| after < row.version).cloned().collect();
        Reply::Rows { rows, version: Version(self.version) }
    }
}

//! Simulates the calls to the platform's store that a fleet makes.

use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_store::registry::{Call, Name, Reply, Row, Value};
use briarshift_store::{Error, Lease, LeaseId, Position, Version};
use briarshift_units::Span;

/// Rows and their versions. Leases don't expire, because simulations are short.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: Vec<Row>,
    version: u64,
    /// Number of calls answered.
    pub(crate) calls: u64,
}

impl Store {
    pub(crate) fn new(catalog: Catalog) -> Self {
        let mut store = Self::default();
        store.put(Name::Catalog, Some(Value::Catalog(Arc::new(catalog))));
        store
    }

    /// Writes a row, or deletes it if `value` is `None`.
    pub(crate) fn put(&mut self, name: Name, value: Option<Value>) {
        self.version += 1;
        self.rows.push(Row {
            name,
            version: Position::first(self.version),
            created: Version(1),
            value,
        });
    }

    /// Executes a call of a gateway.
    pub(crate) fn answer(&mut self, call: &Call) -> Result<Reply, Error> {
        self.calls += 1;
        match call {
            Call::ReadAll { .. } => Ok(self.changes_since(Position::first(0))),
            Call::ReadCatalog { after } => {
                let is_new = |row: &&Row| row.name == Name::Catalog && *after < row.version;
                let rows = self.rows.iter().filter(is_new);
                let version = Position::first(self.version);
                Ok(Reply::Rows { rows: rows.cloned().collect(), version })
            }
            Call::ReadChanges { after, .. } => Ok(self.changes_since(*after)),
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

    /// Returns the rows changed after a version.
    fn changes_since(&self, after: Position) -> Reply {
        let rows = self.rows.iter().filter(|row| after < row.version).cloned().collect();
        Reply::Rows { rows, version: Position::first(self.version) }
    }
}

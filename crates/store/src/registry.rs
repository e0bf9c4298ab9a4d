//! The data of a fleet of routed services in a platform's store.
//!
//! The [`Registry`] trait separates the reducer from the platform: an adapter
//! implements it and knows the store's keys and formats, and the reducer emits
//! a [`Call`] as an effect and receives its [`Reply`] as an event. The adapter
//! returns decoded rows. It also returns a row that it can't decode, as
//! [`Value::Unusable`], because that row replaces the previous value.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_units::{DataCentre, MegabitsPerSecond, PoolId, Span, StartNumber, TargetId, VmId};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Era, Error, Lease, LeaseId, Position, Version};

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its requests, then shuts down.
    Leaving,
}

/// The registration of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub status: Status,
    /// Start number of its process, if it registers one. A target that restarts
    /// with the same id has a larger one.
    pub start: Option<StartNumber>,
    /// How long it remained cold when it wrote this; `None` if it does not tell.
    pub warmup_left: Option<Span>,
}

/// The registration of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its peer listener (UDP).
    pub address: SocketAddr,
    /// Bandwidth of its network link; 0 if it is unknown.
    pub link: MegabitsPerSecond,
}

/// The key that authenticates messages between VMs. The first VM of a fleet
/// creates it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The name of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Name {
    /// The configuration, which operators write.
    Catalog,
    /// The registration of a target.
    Target(TargetId),
    /// The registration of an entry VM.
    Member(VmId),
    /// The fleet's secret.
    Secret,
    /// The prompt parts that engines have cached, as a VM believed.
    Holdings,
    /// Operators' word that a data centre's targets get nothing new while this row exists.
    Evacuation(DataCentre),
    /// Any other row, with its key in the store.
    Other(SmolStr),
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalog => f.write_str("catalog"),
            Self::Target(id) => write!(f, "target:{id}"),
            Self::Member(vm) => write!(f, "member:{vm}"),
            Self::Secret => f.write_str("secret"),
            Self::Holdings => f.write_str("holdings"),
            Self::Evacuation(data_centre) => write!(f, "evacuation:{data_centre}"),
            Self::Other(key) => write!(f, "other:{key}"),
        }
    }
}

/// The value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A revision of the configuration.
    Catalog(Arc<Catalog>),
    /// The registration of a target.
    Target(Target),
    /// The registration of an entry VM.
    Member(Member),
    /// The fleet's secret.
    Secret(Secret),
    /// The prompt parts that engines have cached, in the fleet's own encoding.
    Holdings(Vec<u8>),
    /// A data centre is evacuated.
    Evacuation,
    /// A value that can't be decoded, with the reason.
    Unusable(SmolStr),
}

/// A row that was read, written or deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row.
    pub name: Name,
    /// Position at which the row was written with this value, or deleted.
    pub version: Position,
    /// Version at which the row was created, in whichever era. A row that is deleted and
    /// written again has a later one. Zero if the row was deleted, or if the store does not
    /// tell.
    pub created: Version,
    /// Value of the row; `None` if it was deleted.
    pub value: Option<Value>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads all rows. Returns [`Reply::Rows`], whose version may be older than
    /// some of the rows.
    ReadAll {
        /// True to read the newest rows; otherwise the rows may be some seconds
        /// old.
        newest: bool,
    },
    /// Reads what operators have changed: the configuration, and evacuated data centres,
    /// which operators take back by deleting their rows. Returns [`Reply::Rows`], whose
    /// version doesn't cover other rows. If the store has dropped these changes, the reply
    /// has the rows that exist now, and doesn't tell which have been deleted.
    ReadCatalog {
        /// Position after which to look for changes.
        after: Position,
    },
    /// Reads the rows that have changed; if there are none, waits for the first
    /// change. Returns [`Reply::Rows`], [`Error::Compacted`] if the store no longer
    /// has these changes, or [`Error::TooLong`] if they are too long.
    ReadChanges {
        /// Position after which to look for changes.
        after: Position,
        /// Longest time to wait for the first change.
        wait: Span,
    },
    /// Grants a lease. Returns [`Reply::Leased`].
    Grant {
        /// Time to live of the lease.
        ttl: Span,
    },
    /// Renews a lease. Returns [`Reply::Leased`].
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and deletes the rows that were written under it. Returns
    /// [`Reply::Done`].
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Registers this VM under a lease. Returns [`Reply::Done`].
    Register {
        /// Registration of this VM.
        member: Member,
        /// Lease of this VM.
        lease: LeaseId,
    },
    /// Writes the prompt parts that engines have cached. Returns
    /// [`Reply::Done`].
    WriteHoldings {
        /// The holdings, in the fleet's own encoding.
        holdings: Vec<u8>,
    },
    /// Creates the fleet's secret. Returns [`Reply::Done`], or
    /// [`Error::Conflict`] if the fleet has one already.
    CreateSecret {
        /// The secret.
        secret: Secret,
    },
}

/// The result of a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The rows that were read.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// The position up to which the rows are complete. The next
        /// [`Call::ReadChanges`] continues after it.
        version: Position,
    },
    /// The lease that was granted or renewed.
    Leased(Lease),
    /// The call has succeeded and returns no data.
    Done,
}

impl Call {
    /// Returns the position after which the call reads changes.
    pub fn after(&self) -> Option<Position> {
        match self {
            Self::ReadCatalog { after } | Self::ReadChanges { after, .. } => Some(*after),
            _ => None,
        }
    }
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The store's era, of an error too. `None` if the store did not answer.
    pub era: Option<Era>,
    /// The result. After [`Error::Unknown`], a write may have taken effect; after any other
    /// error, it did not.
    pub result: Result<Reply, Error>,
}

/// Executes calls to the store.
pub trait Registry {
    /// Executes one call.
    fn execute(&self, call: Call) -> LocalBoxFuture<'_, Answer>;
}

//! What a fleet of routed services reads and writes in a platform's store.
//!
//! The [`Registry`] trait is the border: behind it stands an adapter that
//! knows the store's keys and formats, and in front of it stands the reducer,
//! which asks for a [`Call`] as an effect and receives a [`Reply`] as an
//! event. Rows arrive decoded. A row that could not be decoded still arrives,
//! as [`Value::Unusable`], because it replaces whatever the row held before.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_units::{DataCentre, MegabitsPerSecond, PoolId, Span, StartNumber, TargetId, VmId};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Error, Lease, LeaseId, Version};

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It does.
    Ready,
    /// It finishes what it has and goes.
    Leaving,
}

/// A target, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool it serves.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub status: Status,
    /// Its start; a target that starts again under its id has a later one.
    pub start: Option<StartNumber>,
}

/// An entry VM, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener (UDP).
    pub address: SocketAddr,
    /// What its link carries; 0 if that is not known.
    pub link: MegabitsPerSecond,
}

/// Authenticates messages between VMs; made by the first VM of a fleet.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// What a row is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Name {
    /// The operators' configuration.
    Catalog,
    /// A target.
    Target(TargetId),
    /// An entry VM.
    Member(VmId),
    /// The fleet's secret.
    Secret,
    /// What engines hold of prompts, as a VM believed it.
    Holdings,
    /// Something else, by its key.
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
            Self::Other(key) => write!(f, "other:{key}"),
        }
    }
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A version of the configuration.
    Catalog(Arc<Catalog>),
    /// A target.
    Target(Target),
    /// An entry VM.
    Member(Member),
    /// The fleet's secret.
    Secret(Secret),
    /// What engines hold, encoded by this fleet.
    Holdings(Vec<u8>),
    /// Bytes that name nothing to use, and why.
    Unusable(SmolStr),
}

/// A row that was read, written or deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What it is about.
    pub name: Name,
    /// Version of this state of it.
    pub version: Version,
    /// What it holds; `None` once it is deleted.
    pub value: Option<Value>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads all rows. Answered by [`Reply::Rows`], whose version may be older
    /// than some of the rows.
    ReadAll {
        /// The rows are to be the newest; else they may be some seconds old.
        newest: bool,
    },
    /// Reads whether the configuration has changed, and nothing else. Answered by
    /// [`Reply::Rows`], whose version says nothing of other rows.
    ReadCatalog {
        /// Changes after this version.
        after: Version,
    },
    /// Reads what has changed, at once if anything has. Answered by
    /// [`Reply::Rows`] or [`Error::Compacted`].
    ReadChanges {
        /// Changes after this version.
        after: Version,
        /// How long to wait for the first one.
        wait: Span,
    },
    /// Takes a lease. Answered by [`Reply::Leased`].
    Grant {
        /// Its time to live.
        ttl: Span,
    },
    /// Renews a lease. Answered by [`Reply::Leased`].
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease, and with it what was written under it.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Registers this VM under a lease. Answered by [`Reply::Done`].
    Register {
        /// This VM.
        member: Member,
        /// Its lease.
        lease: LeaseId,
    },
    /// Writes what engines hold. Answered by [`Reply::Done`].
    WriteHoldings {
        /// As this fleet encodes it.
        holdings: Vec<u8>,
    },
    /// Makes the fleet's secret, unless it has one ([`Error::Conflict`]).
    CreateSecret {
        /// The secret to be.
        secret: Secret,
    },
}

/// What a call answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Rows, and the store's version up to which they are complete.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// Where to go on from.
        version: Version,
    },
    /// A lease, taken or renewed.
    Leased(Lease),
    /// Done.
    Done,
}

/// Carries out calls.
pub trait Registry {
    /// Carries out one call.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] leaves open whether a write took effect; all other
    /// errors mean that it did not.
    fn execute(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, Error>>;
}

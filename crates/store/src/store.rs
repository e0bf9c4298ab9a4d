//! Store operations as data, and the trait that executes them.

use std::fmt;

use briarshift_units::Span;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A key in the store. Its parts are separated by `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub SmolStr);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self(SmolStr::new(text))
    }
}

impl From<String> for Key {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

/// The version of a key's value: the state of one store-wide counter, which
/// each write increments, after the write of this value. 0 for a key that is
/// absent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Identifies a lease in the store. The number increases with each grant, so it
/// is also used as a fencing token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value: UTF-8 text of at most one mebibyte.
    pub value: String,
    /// Version of this value.
    pub version: Version,
}

/// A lease that the store has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Time to live after the grant and after each renewal.
    pub ttl: Span,
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// The key must be absent.
    Absent,
    /// The key must have this version.
    Version(Version),
    /// The write is unconditional.
    Any,
}

/// An operation of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Reads a key.
    Get {
        /// The key.
        key: Key,
    },
    /// Reads all keys with a prefix, in the order of the keys.
    List {
        /// The prefix.
        prefix: Key,
    },
    /// Writes a key.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: String,
        /// Condition of the write.
        expect: Expect,
        /// A lease; the store deletes the key when it ends.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: Key,
        /// Condition of the deletion.
        expect: Expect,
    },
    /// Waits until a key has a version above `after` or the time has passed,
    /// then reads the key.
    Watch {
        /// The key.
        key: Key,
        /// The version that is already known.
        after: Version,
        /// Longest time to wait.
        wait: Span,
    },
    /// Grants a lease.
    Grant {
        /// Its time to live.
        ttl: Span,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and deletes the keys that were written under it.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
}

/// The result of an [`Operation`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry of the key, or `None` if the key is absent or the watch timed
    /// out.
    Value(Option<Entry>),
    /// The entries of all keys with the prefix.
    Values(Vec<Entry>),
    /// The version that the write created.
    Written(Version),
    /// The lease that was granted or renewed.
    Leased(Lease),
    /// The key was deleted, or the lease revoked.
    Done,
}

/// An error of a call to the platform's store or to its list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Error {
    /// The condition did not hold, so nothing was written. The key has this
    /// version.
    #[error("the key has version {}, not the expected one: read the key and try again", .0.0)]
    Conflict(Version),
    /// The lease has expired or was revoked.
    #[error("the lease has ended: stop the work that it covered and request a new lease")]
    LeaseEnded,
    /// The store has compacted the requested changes.
    #[error("the store no longer has these changes: read all rows again")]
    Compacted,
    /// The requested changes are too long to be read. Only the newest of them may be
    /// needed.
    #[error("these changes are too long for one response: read all rows again")]
    TooLong,
    /// The call was rejected, so nothing was written.
    #[error("the platform's service refused the call ({0}): try again later")]
    Refused(SmolStr),
    /// No valid answer arrived. A write may have taken effect, now or later.
    #[error("the platform's service did not answer ({0}): read the key before trying again")]
    Unknown(SmolStr),
}

/// Executes store operations.
pub trait Store {
    /// Executes one operation.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the operation failed. After [`Error::Unknown`], a
    /// write may have taken effect; after any other error, it did not.
    fn execute(&self, operation: Operation) -> LocalBoxFuture<'_, Result<Reply, Error>>;
}

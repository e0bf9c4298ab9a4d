//! What VMs of one data centre tell each other of the platform's store.
//!
//! A few VMs of each data centre read the store's changes; the others ask them.
//! The answer bears the age of its news at the moment of sending, so that the
//! asker knows that its configuration was the newest at its own asking less
//! that age, whatever the way took.

use briarshift_store::registry::Row;
use briarshift_units::{Moment, Span, VmId};
use serde::{Deserialize, Serialize};

/// Asks for the changes since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The asker.
    pub from: VmId,
    /// When it asks, by its own clock; told back to it.
    pub sent_at: Moment,
    /// The store's version that it has.
    pub after: u64,
}

/// The answer to an [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The VM that reads the store.
    pub from: VmId,
    /// The asker's [`Request::sent_at`].
    pub request_sent_at: Moment,
    /// The store's version up to which `rows` are complete.
    pub version: u64,
    /// How long ago that was the newest.
    pub age: Span,
    /// The store has failed the sender a short while ago: what it no longer
    /// names may come back.
    pub store_failing: bool,
    /// What has changed; `None` if the changes since the asker's version are no
    /// longer known here, and it must read the store itself.
    pub rows: Option<Vec<Row>>,
}

//! Sync of the platform's store between the VMs of one data centre.
//!
//! A few VMs of each data centre read the store's changes; the others request
//! the changes from them. The response gives the ages of the sender's configuration
//! and of its rows at the time of sending. The requester subtracts them from the time
//! at which it sent the request, by its own clock, and so gets times at which its
//! configuration and its rows were certainly the newest, however long the datagrams
//! took.

use briarshift_store::Position;
use briarshift_store::registry::Row;
use briarshift_units::{Moment, Span, VmId};
use serde::{Deserialize, Serialize};

/// Requests the changes of the store since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The VM that sends the request.
    pub from: VmId,
    /// Time of sending, by the clock of the requester. The response repeats it.
    pub sent_at: Moment,
    /// The position up to which the requester has all changes.
    pub after: Position,
}

/// The response to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The VM that sends the response.
    pub from: VmId,
    /// [`Request::sent_at`] of the request that this answers.
    pub request_sent_at: Moment,
    /// The position up to which `rows` are complete. In a later era than
    /// [`Request::after`], the rows tell all that differs between the two.
    pub version: Position,
    /// Time since the sender's configuration was known to be the newest.
    pub age: Span,
    /// Time since `version` was known to be the newest. `None` if the sender has read a
    /// snapshot that may be out of date, and nothing since.
    pub rows_age: Option<Span>,
    /// True if a call to the store failed recently, at the sender or at a peer
    /// that responded to it, so that rows that are missing from the store now
    /// may reappear.
    pub store_failing: bool,
    /// Rows that changed since [`Request::after`]. `None` if the sender no
    /// longer has these changes; the requester must then read the store itself.
    pub rows: Option<Vec<Row>>,
}

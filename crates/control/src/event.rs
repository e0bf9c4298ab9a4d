//! Everything that can happen to an entry VM.

use briarshift_store::{Error, ListedVm, Reply};
use briarshift_target::{CacheEvent, Failure, LoadReport, Outcome};
use briarshift_units::{Moment, TargetId, VmId, WallTime};
use briarshift_wire::Message;

use crate::{Ticket, request};

/// One event, with its time and randomness as data.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Monotonic time. Never earlier than the event before.
    pub at: Moment,
    /// Wall-clock time.
    pub wall: WallTime,
    /// Random bits, fresh for each event.
    pub entropy: u64,
    /// What happened.
    pub kind: Kind,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Time passed. Comes every few milliseconds.
    Tick,
    /// Something about a caller's request.
    Request(request::Event),
    /// A peer sent a message.
    Peer {
        /// The sender, authenticated.
        from: VmId,
        /// What it said.
        message: Message,
    },
    /// The platform's store answered.
    Store {
        /// Which operation.
        ticket: Ticket,
        /// What it answered.
        result: Result<Reply, Error>,
    },
    /// The platform's list of VMs was read.
    VmList(Result<Vec<ListedVm>, Error>),
    /// A target's load was read.
    TargetReport {
        /// The target.
        target: TargetId,
        /// What it reported.
        result: Result<LoadReport, Failure>,
    },
    /// A target's cache events were read.
    CacheEvents {
        /// The target.
        target: TargetId,
        /// The events.
        result: Result<Vec<CacheEvent>, Failure>,
    },
    /// A target answered an order.
    OrderAnswered {
        /// The target.
        target: TargetId,
        /// What it said.
        result: Result<Outcome, Failure>,
    },
    /// This VM was told to shut down gracefully.
    Drain,
}

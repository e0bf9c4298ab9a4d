//! Events that an entry VM handles.

use briarshift_store::{Error, ListedVm, Reply};
use briarshift_target::{CacheEvent, Failure, LoadReport, Outcome};
use briarshift_units::{Moment, TargetId, VmId, WallTime};
use briarshift_wire::Message;

use crate::{Ticket, request};

/// An event, together with its time and random bits.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Monotonic time, which is never earlier than that of the previous event.
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
    /// A timer tick, which arrives every few milliseconds.
    Tick,
    /// An event of a caller's request.
    Request(request::Event),
    /// A peer sent a message.
    Peer {
        /// The authenticated sender.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// The platform's store replied.
    Store {
        /// Identifies the operation.
        ticket: Ticket,
        /// The reply.
        result: Result<Reply, Error>,
    },
    /// The platform's list of VMs was read.
    VmList(Result<Vec<ListedVm>, Error>),
    /// A target's load was read.
    TargetReport {
        /// The target.
        target: TargetId,
        /// The report, or why the read failed.
        result: Result<LoadReport, Failure>,
    },
    /// A target's cache events were read.
    CacheEvents {
        /// The target.
        target: TargetId,
        /// The events, or why the read failed.
        result: Result<Vec<CacheEvent>, Failure>,
    },
    /// A target answered an order.
    OrderAnswered {
        /// The target.
        target: TargetId,
        /// The answer, or why there is none.
        result: Result<Outcome, Failure>,
    },
    /// The operator asked this VM to shut down gracefully.
    Drain,
}

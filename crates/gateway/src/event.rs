//! Events that a gateway VM reacts to.

use std::net::SocketAddr;

use briarshift_store::registry::{Answer, Call};
use briarshift_units::{Moment, TargetId};
use briarshift_wire::datagram::Datagram;

use crate::{Bounds, request};

/// An event, including its time and random bits.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time on a clock that keeps counting while the machine is suspended.
    /// Never earlier than that of the previous event.
    pub at: Moment,
    /// Random bits, new for each event.
    pub entropy: u64,
    /// What happened.
    pub kind: Kind,
}

/// What a check of a target's address has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Something listens there.
    Listens,
    /// The machine refuses connections: the target's process is gone.
    Refuses,
    /// Nothing answers: the machine or the way to it is lost, for whatever reason.
    Unreachable,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Time has passed. The driver sends this every few tens of milliseconds.
    Tick,
    /// An event of a caller's request.
    Request(request::Event),
    /// The platform's store replied to a call, or the call failed.
    Store {
        /// The call.
        call: Call,
        /// When it was sent.
        sent: Moment,
        /// What became of it.
        answer: Answer,
    },
    /// The result of [`crate::Effect::CheckTarget`].
    TargetChecked {
        /// The target.
        target: TargetId,
        /// The address that was checked.
        address: SocketAddr,
        /// What was found.
        found: Check,
    },
    /// An authenticated datagram from a peer.
    Datagram(Datagram),
    /// The settings changed.
    Settings(Bounds),
    /// This VM was told to shut down gracefully.
    Drain,
}

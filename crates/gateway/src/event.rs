//! Everything that can happen to a gateway VM.

use std::net::SocketAddr;

use briarshift_store::Error;
use briarshift_store::registry::{Call, Reply};
use briarshift_units::{Moment, TargetId};
use briarshift_wire::datagram::Datagram;

use crate::{Bounds, request};

/// One event, with its time and randomness as data.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time of a clock that counts suspension. Never earlier than the event
    /// before.
    pub at: Moment,
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
    /// The platform's store answered a call, or did not.
    Store {
        /// The call.
        call: Call,
        /// When it was sent.
        sent: Moment,
        /// The answer.
        result: Result<Reply, Error>,
    },
    /// Whether a target still listens.
    TargetChecked {
        /// The target.
        target: TargetId,
        /// Where it was looked for.
        address: SocketAddr,
        /// It does.
        listens: bool,
    },
    /// A peer's datagram arrived, authenticated.
    Datagram(Datagram),
    /// Changed settings were read.
    Settings(Bounds),
    /// This VM was told to shut down gracefully.
    Drain,
}

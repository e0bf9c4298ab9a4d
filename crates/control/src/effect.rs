//! Everything an entry VM can do, as data.

use std::net::SocketAddr;

use briarshift_store::Operation;
use briarshift_target::{Attempt, Order};
use briarshift_units::{PoolId, RequestId, Revision, TargetId, VmId};
use briarshift_wire::Message;

use crate::Record;
use crate::booking::Claim;
use crate::request::Decision;

/// Something for the driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell a traffic worker what to do with its request.
    Decide {
        /// The request.
        request: RequestId,
        /// What to do.
        decision: Decision,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: VmId,
        /// Its peer listener.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the platform's store; answered by [`crate::Kind::Store`].
    Store {
        /// Returned with the answer.
        ticket: Ticket,
        /// The call.
        operation: Operation,
    },
    /// Read the platform's list of VMs; answered by [`crate::Kind::VmList`].
    ReadVmList,
    /// Read a target's load; answered by [`crate::Kind::TargetReport`].
    Poll {
        /// The target.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Read a target's cache events; answered by [`crate::Kind::CacheEvents`].
    ReadCacheEvents {
        /// The target.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// The last sequence number known.
        after: u64,
    },
    /// Order an engine; answered by [`crate::Kind::OrderAnswered`].
    Order {
        /// The engine.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Cancel an attempt whose caller is gone.
    Cancel {
        /// Where the target listens.
        address: SocketAddr,
        /// The attempt.
        id: Attempt,
    },
    /// A document is in force: hand it to whoever shows it.
    InForce(Revision),
    /// Write a log line.
    Log(Record),
    /// No request is in flight after a drain: the process may end.
    Drained,
}

/// Which concern awaits a store operation's answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// The environment document.
    Document,
    /// What the data centre's VMs run.
    Report,
    /// A booking's claim or outcome.
    Booking(Claim),
    /// A pool's order lease.
    Order(PoolId),
    /// This VM's usage counters.
    Usage,
}

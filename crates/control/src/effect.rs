//! Effects that an entry VM asks its driver to carry out.

use std::net::SocketAddr;

use briarshift_store::Operation;
use briarshift_target::{Attempt, Order};
use briarshift_units::{PoolId, RequestId, Revision, TargetId, VmId};
use briarshift_wire::Message;

use crate::Record;
use crate::booking::CallId;
use crate::request::Decision;

/// An action that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Pass a decision to the traffic worker of a request.
    Decide {
        /// The request.
        request: RequestId,
        /// The decision.
        decision: Decision,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: VmId,
        /// The address of its peer listener.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Call the platform's store; answered by [`crate::Kind::Store`].
    Store {
        /// Returned with the reply.
        ticket: Ticket,
        /// The operation.
        operation: Operation,
    },
    /// Read the platform's list of VMs; answered by [`crate::Kind::VmList`].
    ReadVmList,
    /// Read a target's load; answered by [`crate::Kind::TargetReport`].
    Poll {
        /// The target.
        target: TargetId,
        /// The address that it listens on.
        address: SocketAddr,
    },
    /// Read a target's cache events; answered by [`crate::Kind::CacheEvents`].
    ReadCacheEvents {
        /// The target.
        target: TargetId,
        /// The address that it listens on.
        address: SocketAddr,
        /// The last known sequence number.
        after: u64,
    },
    /// Send an order to an engine; answered by [`crate::Kind::OrderAnswered`].
    Order {
        /// The engine.
        target: TargetId,
        /// The address that it listens on.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Cancel an attempt, for example because its caller has disconnected.
    Cancel {
        /// The address that the target listens on.
        address: SocketAddr,
        /// The attempt.
        id: Attempt,
    },
    /// Publish the revision of the document in force.
    InForce(Revision),
    /// Write a log line.
    Log(Record),
    /// Report that a drain is complete and the process may end.
    Drained,
}

/// Identifies a store operation by the component that awaits its reply.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// The environment document.
    Document,
    /// The report about which documents the data centre's VMs use.
    Report,
    /// A booking's claim or response.
    Booking(CallId),
    /// A pool's order lease.
    Order(PoolId),
    /// This VM's usage counters.
    Usage,
}

//! Actions of a gateway VM, as data.

use std::net::SocketAddr;

use briarshift_catalog::Limits;
use briarshift_logging::Record;
use briarshift_store::registry::{Call, Secret};
use briarshift_units::{Moment, RequestId, TargetId};
use briarshift_wire::datagram::Datagram;

use crate::request::Decision;

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell a traffic worker what to do with its request.
    Decide {
        /// The request.
        request: RequestId,
        /// What to do with it.
        decision: Decision,
    },
    /// Call the platform's store. The reply arrives as [`crate::Kind::Store`].
    Call(Call),
    /// Check whether a target still listens. The result arrives as
    /// [`crate::Kind::TargetChecked`].
    CheckTarget {
        /// The target.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
    },
    /// Send a datagram to a peer.
    Send {
        /// The peer's address.
        address: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Send one datagram to many peers.
    Broadcast {
        /// The peers' addresses.
        addresses: Vec<SocketAddr>,
        /// The datagram.
        datagram: Datagram,
    },
    /// Authenticate datagrams with this secret from now on.
    SetSecret(Secret),
    /// Apply these limits to callers from now on.
    SetLimits(Limits),
    /// Publish whether this VM is ready for callers.
    SetReady(bool),
    /// Close the idle connections to a target that is gone.
    CloseConnections(SocketAddr),
    /// Write a log record.
    Log(Record),
    /// The drain is complete: no request is in flight, and the process may exit once callers
    /// have read their answers.
    Drained {
        /// When it exits at the latest.
        end: Moment,
    },
}

//! Everything a gateway VM can do, as data.

use std::net::SocketAddr;

use briarshift_catalog::Limits;
use briarshift_logging::Record;
use briarshift_store::registry::{Call, Secret};
use briarshift_units::{RequestId, TargetId};
use briarshift_wire::datagram::Datagram;

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
    /// Call the platform's store; answered by [`crate::Kind::Store`].
    Call(Call),
    /// See whether a target still listens; answered by [`crate::Kind::TargetChecked`].
    CheckTarget {
        /// The target.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Send a datagram to a peer.
    Send {
        /// The peer's listener.
        address: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Send one datagram to many peers.
    Broadcast {
        /// The peers' listeners.
        addresses: Vec<SocketAddr>,
        /// The datagram.
        datagram: Datagram,
    },
    /// Authenticate datagrams with this secret from now on.
    SetSecret(Secret),
    /// Hold callers to these limits from now on.
    SetLimits(Limits),
    /// Say whether this VM is ready for callers.
    SetReady(bool),
    /// Close the kept connections to a target that is gone.
    CloseConnections(SocketAddr),
    /// Write a log line.
    Log(Record),
    /// No request is in flight after a drain: the process may end.
    Drained,
}

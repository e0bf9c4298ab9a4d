//! Transport between entry VMs: mutual TLS on QUIC, frames, byte budget.
//!
//! The [`Transport`] trait is the border: the daemon hands it messages and
//! receives messages, and whether QUIC or a fake stands behind it makes no
//! difference to the control reducer.
//!
//! [`QuicTransport`] is the transport over QUIC. Each end shows a certificate that names
//! its VM and its fleet ([`name`]), so that a sender is authenticated and
//! another fleet is refused. Small frames travel as datagrams, larger ones each
//! on a stream of its own: no frame waits for a lost one before it. Delivery is
//! not promised; the control reducer repeats what must arrive. The sender alone
//! enforces the budget of control bytes ([`Budget`]), because a receiver can
//! only refuse what has been paid for already.

mod budget;
mod class;
mod config;
mod counters;
mod error;
mod inbound;
mod quic;
mod outbound;
mod queue;
mod shared;
mod table;
mod tls;

pub mod keys;
pub mod name;

pub use budget::{Budget, Decision};
pub use class::{Class, Kind};
pub use config::{Builder, Config};
pub use counters::{Counters, DropReason, Snapshot, Traffic};
pub use error::{Error, Refusal};
pub use queue::{Batch, Queue, QueuedFrame};
pub use quic::{Monitor, QuicTransport};
pub use tls::Tls;

use std::net::SocketAddr;

use briarshift_units::VmId;
use briarshift_wire::Message;

/// A message that arrived, with the authenticated name of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The sender, as its certificate names it.
    pub from: VmId,
    /// The message.
    pub message: Message,
    /// Length of its frame in bytes, 0 for all but the first message of a
    /// frame.
    pub frame_bytes: usize,
}

/// Sends messages to peers.
pub trait Transport: Send {
    /// Sends a message without waiting. It may be lost; what must arrive is
    /// sent again by the control reducer.
    fn send(&self, to: &VmId, address: SocketAddr, message: Message);

    /// Closes all connections.
    fn close(self: Box<Self>);
}

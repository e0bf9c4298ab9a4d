//! Transport between entry VMs: mutual TLS on QUIC, frames, byte budget.
//!
//! The daemon sends messages through the [`Transport`] trait, so that the control reducer does not
//! depend on whether QUIC or a fake implements it.
//!
//! [`QuicTransport`] implements it over QUIC. Both sides present a certificate that names their VM
//! and fleet ([`name`]), which authenticates the sender and excludes other fleets. Small frames are
//! sent as datagrams and larger ones each on its own stream, so that no frame waits for the
//! retransmission of another. Delivery is not guaranteed; the control reducer repeats messages that
//! must arrive. Only the sender enforces the budget of control bytes ([`Budget`]), because bytes
//! that reach a receiver have already used the network.

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

/// A received message and its authenticated sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The VM that the sender's certificate names.
    pub from: VmId,
    /// The message.
    pub message: Message,
    /// Length of the frame in bytes for the first message of a frame, 0 for the others.
    pub frame_bytes: usize,
}

/// Sends messages to peers.
pub trait Transport: Send {
    /// Queues a message and returns without waiting. The message may be lost; the control reducer
    /// repeats messages that must arrive.
    fn send(&self, to: &VmId, address: SocketAddr, message: Message);

    /// Closes all connections.
    fn close(self: Box<Self>);
}

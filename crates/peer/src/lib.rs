//! Transport between entry VMs: mutual TLS on QUIC, frames, byte budget.
//!
//! The [`Transport`] trait is the border: the daemon hands it messages and
//! receives messages, and whether QUIC or a fake stands behind it makes no
//! difference to the control reducer.

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
    /// Length of its frame, in bytes.
    pub bytes: usize,
}

/// Sends messages to peers.
pub trait Transport: Send {
    /// Sends a message without waiting. It may be lost; what must arrive is
    /// sent again by the control reducer.
    fn send(&self, to: &VmId, address: SocketAddr, message: Message);

    /// Closes all connections.
    fn close(self: Box<Self>);
}

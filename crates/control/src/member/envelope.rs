//! An outgoing gossip message, before its content is filled in.

use std::net::SocketAddr;

use briarshift_units::VmId;
use briarshift_wire::gossip::{IndirectAck, Member};

/// What a gossip message is sent for. Decides how long it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Asks the receiver for an acknowledgement.
    Probe,
    /// Acknowledges a probe.
    Ack,
    /// Carries changes to peers without waiting for the next probe.
    Update,
}

impl Purpose {
    /// Returns the maximum length of the encoded message, in bytes. A probe
    /// fills one datagram.
    pub fn max_bytes(self) -> usize {
        match self {
            Self::Probe => 1_100,
            Self::Ack => 700,
            Self::Update => 900,
        }
    }
}

/// The receiver and the purpose of a gossip message that is about to be sent.
/// [`crate::State`] fills the message with the records of each component.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The VM that receives the message.
    pub to: VmId,
    /// The address of the receiver's peer listener.
    pub address: SocketAddr,
    /// What the message is sent for.
    pub purpose: Purpose,
    /// A VM that the receiver is asked to probe for this VM.
    pub indirect_probe: Option<VmId>,
    /// A VM that answered a probe that this VM sent for the receiver.
    pub indirect_ack: Option<IndirectAck>,
    /// A member record that goes into the message before any other.
    pub record: Option<Member>,
}

impl Envelope {
    pub(crate) fn new(member: &Member, purpose: Purpose) -> Self {
        Self {
            to: member.vm.clone(),
            address: member.address,
            purpose,
            indirect_probe: None,
            indirect_ack: None,
            record: None,
        }
    }
}

//! A message of gossip that is due.

use std::net::SocketAddr;

use briarshift_units::VmId;
use briarshift_wire::gossip::{IndirectAck, Member};

/// Why a message is sent, which decides how much it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Asks for an answer.
    Probe,
    /// Answers a probe.
    Ack,
    /// Tells changes to more peers at once.
    Update,
}

impl Purpose {
    /// Most bytes of the encoded message. A probe fills one datagram.
    pub fn max_bytes(self) -> usize {
        match self {
            Self::Probe => 1_100,
            Self::Ack => 700,
            Self::Update => 900,
        }
    }
}

/// A message of gossip that is due. [`crate::State`] fills it with what each
/// concern has to tell.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: VmId,
    /// Its peer listener.
    pub address: SocketAddr,
    /// Why it is sent.
    pub purpose: Purpose,
    /// A VM that the receiver should probe.
    pub relay: Option<VmId>,
    /// A VM that answered this one on the receiver's behalf.
    pub vouch: Option<IndirectAck>,
    /// A record that the receiver must see.
    pub tell: Option<Member>,
}

impl Envelope {
    pub(crate) fn new(member: &Member, purpose: Purpose) -> Self {
        Self {
            to: member.vm.clone(),
            address: member.address,
            purpose,
            relay: None,
            vouch: None,
            tell: None,
        }
    }
}

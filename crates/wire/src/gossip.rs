//! Membership, target load and document heads.
//!
//! A round of gossip must fit one datagram, and every node has a budget of
//! bytes. Each record therefore knows its encoded length ([`Member::encoded_len`],
//! [`Load::encoded_len`]), so that a sender fills a message up to a limit without
//! encoding it twice.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, FencingToken, ModelId, StartNumber, TargetId, VmId};
use serde::{Deserialize, Serialize};

use crate::document::Head;

/// Bytes of a digest, its length included.
const DIGEST: usize = 33;
/// Bytes of a frame beside its records: version, kind, two lengths, flags.
const ENVELOPE: usize = 2 + 2 * 3 + 4;
/// Bytes of a variant, an option's tag or a flag.
const TAG: usize = 1;

/// Encoded length of an integer: seven bits a byte.
fn integer(value: u64) -> usize {
    (64 - value.leading_zeros() as usize).div_ceil(7).max(1)
}

fn text(text: &str) -> usize {
    integer(text.len() as u64) + text.len()
}

fn address(address: &SocketAddr) -> usize {
    let ip = if address.is_ipv4() { 4 } else { 16 };
    TAG + ip + integer(address.port().into())
}

/// What is believed of an entry VM. Later variants win at equal version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers its peers.
    Alive,
    /// Did not answer; may refute by raising its version.
    Suspect,
    /// Is shutting down; sticky for its start number.
    Leaving,
    /// Confirmed gone.
    Dead,
}

/// One entry VM as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener.
    pub address: SocketAddr,
    /// Start number of its process.
    pub start: StartNumber,
    /// Raised by the VM itself to refute a suspicion.
    pub version: u64,
    /// What is believed of it.
    pub health: Health,
}

impl Member {
    /// Whether this record replaces `other`: a larger start, else a higher
    /// version, else the worse health. Only the VM itself raises its version.
    pub fn replaces(&self, other: &Self) -> bool {
        let order = |member: &Self| (member.start, member.version, member.health);
        order(other) < order(self)
    }

    /// Its encoded length, in bytes.
    pub fn encoded_len(&self) -> usize {
        let texts = text(self.vm.as_str()) + text(self.data_centre.as_str());
        let numbers = integer(self.start.0) + integer(self.version);
        texts + address(&self.address) + numbers + TAG
    }
}

/// Whether a target is leaving, and who says so. Later variants win.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Leaving {
    /// It is not.
    #[default]
    No,
    /// The platform's list says so.
    Listed,
    /// The target itself says so.
    Reported,
}

/// One target's load as its polling VM last saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: TargetId,
    /// Start number of the target's process.
    pub start: StartNumber,
    /// Requests running on it.
    pub running: u32,
    /// Requests queued on it.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: Leaving,
    /// It did not answer its poller.
    pub down: bool,
    /// Models it serves.
    pub models: Vec<ModelId>,
    /// Newest fencing number it has seen, if it checks them.
    pub fencing: Option<FencingToken>,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// Its encoded length, in bytes.
    pub fn encoded_len(&self) -> usize {
        let models: usize = self.models.iter().map(|model| text(model.as_str())).sum();
        let models = integer(self.models.len() as u64) + models;
        let counts = [self.running, self.waiting, self.age_ms];
        let counts: usize = counts.into_iter().map(|count| integer(count.into())).sum();
        let fencing = TAG + self.fencing.map_or(0, |fencing| integer(fencing.0));
        let numbers = integer(self.start.0) + counts + fencing;
        text(self.target.as_str()) + numbers + 2 * TAG + models
    }
}

/// Evidence that a VM answered the sender just now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndirectAck {
    /// The VM that answered.
    pub vm: VmId,
    /// Start number of the process that answered.
    pub start: StartNumber,
}

/// One round of gossip.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Members, the sender first.
    pub members: Vec<Member>,
    /// Loads of targets in the sender's view.
    pub loads: Vec<Load>,
    /// The document in force at the sender.
    pub document: Option<Head>,
    /// Whether the receiver should answer with its own round at once.
    pub probe: bool,
    /// A VM that did not answer the sender; the receiver probes it and vouches
    /// for it if it answers.
    pub indirect_probe: Option<VmId>,
    /// Answers [`Message::indirect_probe`].
    pub indirect_ack: Option<IndirectAck>,
}

impl Message {
    /// Its encoded length in a frame, in bytes; at most 8 more than the truth.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_wire::{Frame, Message, gossip};
    /// let message = gossip::Message::default();
    /// let frame = Frame::encode(&Message::Gossip(message.clone())).unwrap();
    /// assert!(frame.as_bytes().len() <= message.max_encoded_len());
    /// ```
    pub fn max_encoded_len(&self) -> usize {
        let members: usize = self.members.iter().map(Member::encoded_len).sum();
        let loads: usize = self.loads.iter().map(Load::encoded_len).sum();
        let head = |head: &Head| integer(head.revision.0) + DIGEST;
        let indirect_probe = self.indirect_probe.as_ref().map_or(0, |vm| text(vm.as_str()));
        let vouched = |vouch: &IndirectAck| text(vouch.vm.as_str()) + integer(vouch.start.0);
        let indirect_ack = self.indirect_ack.as_ref().map_or(0, vouched);
        let document = self.document.as_ref().map_or(0, head);
        ENVELOPE + members + loads + document + indirect_probe + indirect_ack
    }
}

//! Gossip about members, target loads and the document in force.
//!
//! The message of one gossip round must fit into one datagram, and each VM has
//! a budget of bytes that it may send. Each record therefore computes its
//! encoded length ([`Member::encoded_len`], [`Load::encoded_len`]), so that a
//! sender can fill a message up to a limit without encoding it twice.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, FencingToken, ModelId, StartNumber, TargetId, VmId};
use serde::{Deserialize, Serialize};

use crate::document::Head;

/// Upper bound on the encoded length of a digest in bytes: 32 bytes and a
/// length prefix.
const MAX_DIGEST_LEN: usize = 33;
/// Largest encoded length in bytes of a frame without its records: version and
/// message kind, two list lengths of up to three bytes, four option tags and
/// flags.
const MAX_ENVELOPE_LEN: usize = 2 + 2 * 3 + 4;
/// Encoded length in bytes of an enum variant's index, an option's tag or a
/// flag.
const TAG_LEN: usize = 1;

/// Encoded length of an integer in bytes: a varint with seven bits per byte.
fn varint_len(value: u64) -> usize {
    (64 - value.leading_zeros() as usize).div_ceil(7).max(1)
}

fn text_len(text: &str) -> usize {
    varint_len(text.len() as u64) + text.len()
}

fn address_len(address: &SocketAddr) -> usize {
    let ip = if address.is_ipv4() { 4 } else { 16 };
    TAG_LEN + ip + varint_len(address.port().into())
}

/// The sender's view of an entry VM's health. Of two records with the same
/// start number and version, the one with the later variant replaces the
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// The VM answers its peers.
    Alive,
    /// The VM did not answer. It can refute this by raising its version.
    Suspect,
    /// The VM is shutting down. This lasts until it restarts with a larger
    /// start number.
    Leaving,
    /// The VM is gone for certain.
    Dead,
}

/// The record of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Start number of its process.
    pub start: StartNumber,
    /// Version of this record. Only the VM itself raises it, to refute a
    /// suspicion.
    pub version: u64,
    /// Its health, as the sender believes.
    pub health: Health,
}

impl Member {
    /// Returns true if this record replaces `other`: it has the larger start
    /// number or, if these are equal, the higher version or, if these are
    /// equal too, the worse health.
    pub fn replaces(&self, other: &Self) -> bool {
        let order = |member: &Self| (member.start, member.version, member.health);
        order(other) < order(self)
    }

    /// Returns the length of its encoding in bytes.
    pub fn encoded_len(&self) -> usize {
        let texts = text_len(self.vm.as_str()) + text_len(self.data_centre.as_str());
        let numbers = varint_len(self.start.0) + varint_len(self.version);
        texts + address_len(&self.address) + numbers + TAG_LEN
    }
}

/// Whether a target is leaving, and the source of that report. A later variant
/// replaces an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Leaving {
    /// The target is not leaving.
    #[default]
    No,
    /// The platform's list of VMs shows the target as leaving.
    Listed,
    /// The target itself reported that it is leaving.
    Reported,
}

/// The load of one target, as last polled by the VM that polls it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: TargetId,
    /// Start number of the target's process.
    pub start: StartNumber,
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: Leaving,
    /// True if it did not answer the last poll.
    pub down: bool,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Largest fencing token that it has seen. `None` if it doesn't check
    /// fencing tokens.
    pub fencing: Option<FencingToken>,
    /// Age of the poll's result when this record was sent, in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// Returns the length of its encoding in bytes.
    pub fn encoded_len(&self) -> usize {
        let models: usize = self.models.iter().map(|model| text_len(model.as_str())).sum();
        let models = varint_len(self.models.len() as u64) + models;
        let counts = [self.running, self.waiting, self.age_ms];
        let counts: usize = counts.into_iter().map(|count| varint_len(count.into())).sum();
        let fencing = TAG_LEN + self.fencing.map_or(0, |fencing| varint_len(fencing.0));
        let numbers = varint_len(self.start.0) + counts + fencing;
        text_len(self.target.as_str()) + numbers + 2 * TAG_LEN + models
    }
}

/// Result of an indirect probe: the VM has just answered the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndirectAck {
    /// The VM that answered.
    pub vm: VmId,
    /// Start number of the process that answered.
    pub start: StartNumber,
}

/// The message of one gossip round.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Records of members, the sender's own first.
    pub members: Vec<Member>,
    /// Loads of targets that the sender polls or has heard of.
    pub loads: Vec<Load>,
    /// Head of the document in force at the sender.
    pub document: Option<Head>,
    /// True if the receiver should answer at once with a round of its own.
    pub probe: bool,
    /// A VM that did not answer the sender. The receiver probes it and, if it
    /// answers, sends an [`IndirectAck`].
    pub indirect_probe: Option<VmId>,
    /// Answers [`Message::indirect_probe`] of an earlier message.
    pub indirect_ack: Option<IndirectAck>,
}

impl Message {
    /// Returns an upper bound on the length in bytes of a frame with this
    /// message, at most 8 more than its length.
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
        let head_len = |head: &Head| varint_len(head.revision.0) + MAX_DIGEST_LEN;
        let indirect_probe = self.indirect_probe.as_ref().map_or(0, |vm| text_len(vm.as_str()));
        let ack_len = |ack: &IndirectAck| text_len(ack.vm.as_str()) + varint_len(ack.start.0);
        let indirect_ack = self.indirect_ack.as_ref().map_or(0, ack_len);
        let document = self.document.as_ref().map_or(0, head_len);
        MAX_ENVELOPE_LEN + members + loads + document + indirect_probe + indirect_ack
    }
}

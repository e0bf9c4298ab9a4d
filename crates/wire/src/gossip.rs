//! Membership, target load and document heads.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, Start, TargetId, VmId};
use serde::{Deserialize, Serialize};

use crate::document::Head;

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
    pub start: Start,
    /// Raised by the VM itself to refute a suspicion.
    pub version: u64,
    /// What is believed of it.
    pub health: Health,
}

/// One target's load as its polling VM last saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: TargetId,
    /// Start number of the target's process.
    pub start: Start,
    /// Requests running on it.
    pub running: u32,
    /// Requests queued on it.
    pub waiting: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
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
}

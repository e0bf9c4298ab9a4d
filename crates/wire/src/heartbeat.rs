//! What VMs of a fleet of routed services tell each other of their load.
//!
//! A beat is whole: it replaces the beat before it, so that a lost one costs
//! nothing but time. Targets are named by a hash of their id, which keeps a
//! beat over a hundred engines within one datagram; two targets with the same
//! hash would seem more loaded than they are.

use briarshift_units::{Fingerprint, Revision, Span, StartNumber, VmId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A target's name in beats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetHash(pub u32);

impl TargetHash {
    /// The mark of a target's id.
    pub fn of(target: &str) -> Self {
        Self(xxh3_64(target.as_bytes()) as u32)
    }
}

/// What the sender has at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: TargetHash,
    /// Requests that it holds for the sender.
    pub requests: u32,
    /// Prompt tokens of these that it has still to read.
    pub backlog: u64,
}

/// Shared prompt parts that went to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The engine.
    pub target: TargetHash,
    /// Chain and tokens of each shared part.
    pub parts: Vec<(u32, u32)>,
}

/// A request broke off as its target died.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the request.
    pub request: Fingerprint,
    /// The target.
    pub target: TargetHash,
}

/// A target failed the sender since its last beat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The target.
    pub target: TargetHash,
    /// Answers that did not come, or not whole.
    pub count: u8,
    /// It could not be reached when it was last tried.
    pub down: bool,
}

/// What a VM tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Grows with each beat of a process.
    pub sequence: u64,
    /// The configuration that it has in force.
    pub revision: Revision,
    /// How long ago that was the newest; `None` if nothing has shown it.
    pub revision_age: Option<Span>,
    /// Where it has requests.
    pub loads: Vec<Load>,
    /// Targets that failed it.
    pub failures: Vec<Failure>,
    /// Prompts that it has sent since its start.
    pub prompts_sent: u64,
    /// Where the newest of these went, the newest first, repeated for some
    /// beats.
    pub placements: Vec<Placement>,
    /// Its newest strikes, repeated for some beats.
    pub crashes: Vec<Crash>,
}

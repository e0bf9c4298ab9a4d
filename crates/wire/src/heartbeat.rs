//! Heartbeats between the VMs of a fleet of routed services.
//!
//! A heartbeat carries the sender's complete state and replaces the one before
//! it, so that the loss of one only delays an update. It identifies targets by
//! a hash of their id, so that a heartbeat about a hundred engines fits into
//! one datagram. Two targets with the same hash would appear more loaded than
//! they are.

use briarshift_units::{Fingerprint, Revision, Span, StartNumber, VmId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::demand::Demand;

/// Identifies a target in heartbeats by a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetHash(pub u32);

impl TargetHash {
    /// Returns the hash of a target's id.
    pub fn of(target: &str) -> Self {
        Self(xxh3_64(target.as_bytes()) as u32)
    }
}

/// The load that the sender's requests put on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: TargetHash,
    /// Number of the sender's requests that run or wait at the target.
    pub requests: u32,
    /// Prompt tokens of these requests that the target has yet to process.
    pub backlog: u64,
    /// Memory that these requests are expected to need there, in tokens, without the
    /// shared parts of their prompts.
    pub memory: u64,
}

/// Shared prompt parts that were sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The engine.
    pub target: TargetHash,
    /// For each shared part, in order: the hash of the prompt up to its end,
    /// and its length in tokens.
    pub parts: Vec<(u32, u32)>,
}

/// A target went down while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The target.
    pub target: TargetHash,
    /// Start number of the target's process that went down, if the target registers
    /// one. A target may keep its id when it starts again.
    pub start: Option<StartNumber>,
}

/// Failures of one target since the sender's last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The target.
    pub target: TargetHash,
    /// Number of responses that were missing or incomplete.
    pub count: u8,
    /// True if the sender currently skips the target because it could not be
    /// reached.
    pub down: bool,
}

/// The state that a VM sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Number of the heartbeat; increases with each heartbeat of a process.
    pub sequence: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: Revision,
    /// Time since the sender's rows of operators were known to be the newest; `None`
    /// if they never were.
    pub revision_age: Option<Span>,
    /// Loads of the targets that have requests of the sender.
    pub loads: Vec<Load>,
    /// Targets that failed since the last heartbeat.
    pub failures: Vec<Failure>,
    /// Number of prompts that the sender has sent since its start.
    pub prompts_sent: u64,
    /// Targets of the newest of these prompts, the newest first. Each is
    /// repeated in several heartbeats, in case one is lost.
    pub placements: Vec<Placement>,
    /// The newest crashes that the sender saw. Each is repeated in several
    /// heartbeats, in case one is lost.
    pub crashes: Vec<Crash>,
    /// The largest demands of client accounts on pools that the sender sees as short of
    /// room.
    pub demands: Vec<Demand>,
}

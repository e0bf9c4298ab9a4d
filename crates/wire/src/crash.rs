//! Crashes of engines, and the prompt parts that are suspected of them.
//!
//! A VM sends its news at once, without waiting for its next heartbeat, which may be
//! seconds away in a large fleet. All content is idempotent, so that it can be repeated
//! in case a datagram is lost.

use briarshift_units::{Fingerprint, PartId, PartSet, VmId};
use serde::{Deserialize, Serialize};

use crate::heartbeat::{Crash, TargetHash};

/// An engine crashed before its answer to a prompt began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrash {
    /// The engine.
    pub target: TargetHash,
    /// The prompt's parts that other prompts may share, in order.
    pub parts: Vec<PartId>,
}

/// What a VM has learned about crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// Crashes that the sender saw.
    pub crashes: Vec<PromptCrash>,
    /// Suspected parts of prompts whose answers have begun at the sender.
    pub cleared: Vec<PartId>,
    /// Suspected requests that were answered in full at the sender.
    pub answered: Vec<Fingerprint>,
    /// All sets of parts that the sender blocks. Only for a VM that has just started.
    pub blocked: Vec<PartSet>,
    /// Crashes of requests that are sent again. Only for a VM that has just started.
    pub requests: Vec<Crash>,
}

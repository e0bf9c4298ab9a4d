//! What targets say of the speed of their machines at this moment.
//!
//! It changes within a second, and a VM that sends few requests hears of it seldom, so VMs
//! tell each other of slow machines at once. A report that is lost is not repeated: the
//! next answer gives a newer one.

use briarshift_units::{Span, VmId};
use serde::{Deserialize, Serialize};

use crate::heartbeat::TargetHash;

/// What an answer of a target stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slow {
    /// The target.
    pub target: TargetHash,
    /// How long work takes there, in percent of the usual.
    pub percent: u32,
    /// Time since the answer.
    pub age: Span,
}

/// Slow targets of which a VM has just heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// Each target once.
    pub slow: Vec<Slow>,
}

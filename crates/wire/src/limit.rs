//! Limits on requests that targets name in their answers.
//!
//! A VM that sends few requests to a target learns late that its limit has begun, changed
//! or ended, so VMs tell each other. The content is idempotent.

use briarshift_units::{RequestRate, VmId};
use serde::{Deserialize, Serialize};

use crate::heartbeat::TargetHash;

/// What the latest answer of a target said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The target.
    pub target: TargetHash,
    /// Requests that it accepts from all VMs together, if it names a limit.
    pub rate: Option<RequestRate>,
}

/// The limits that a VM has just learned of, or seen again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// Limits, one for each target.
    pub limits: Vec<Limit>,
}

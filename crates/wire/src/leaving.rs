//! Targets that say in their answers that they leave.
//!
//! A VM that gets such an answer tells the others at once, since the store's row may
//! come later, or not at all. The content is idempotent.

use briarshift_units::{StartNumber, VmId};
use serde::{Deserialize, Serialize};

use crate::heartbeat::TargetHash;

/// A target that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The target.
    pub target: TargetHash,
    /// Start number of its process, if it registers one. A later start does not leave.
    pub start: Option<StartNumber>,
}

/// The targets of which a VM has just learned that they leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// The targets.
    pub targets: Vec<Leaving>,
}

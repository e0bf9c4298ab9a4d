//! Requests that crash their targets.
//!
//! A request that was running on a target when it died is suspect, and runs
//! again only as a trial: alone on its target as far as suspects go, and one
//! copy at a time. One VM grants the trials of a pool.

use briarshift_units::{Fingerprint, PoolId, RequestId, TargetId};
use serde::{Deserialize, Serialize};

/// A trial that is wanted, or runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The request.
    pub request: RequestId,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// The pool it is for.
    pub pool: PoolId,
    /// Where it runs already, if it was sent before it became suspect.
    pub running: Option<TargetId>,
}

/// What VMs say about a request's fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A target died while it ran this request.
    Crash {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The target that died.
        target: TargetId,
    },
    /// The request ended well: earlier strikes were another's fault.
    Clear {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
    },
    /// Asks for a trial, or reports one that runs already. Sent again until
    /// it is answered.
    RequestTrial {
        /// The trial.
        trial: Trial,
        /// Targets that died under the request, as the sender knows them.
        crashed_targets: Vec<TargetId>,
    },
    /// Grants a trial.
    Grant {
        /// The request.
        request: RequestId,
        /// Where it may run.
        target: TargetId,
    },
    /// A trial has ended, or is wanted no longer.
    Done {
        /// The request.
        request: RequestId,
        /// Targets that died under it, as the sender knows them.
        crashed_targets: Vec<TargetId>,
    },
}

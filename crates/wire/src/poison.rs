//! Requests that crash the targets that run them.
//!
//! A request that ran on a target when the target went down is suspect. It
//! runs again only as a trial: no other suspect runs on the same target at the
//! time, and only one copy of the request runs at a time. One VM grants the
//! trials of a pool.

use briarshift_units::{Fingerprint, PoolId, RequestId, TargetId};
use serde::{Deserialize, Serialize};

/// A trial that is requested or running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The request.
    pub request: RequestId,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// The target that runs the request already, if it was sent before it
    /// became suspect.
    pub running: Option<TargetId>,
}

/// A message about requests that may crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Reports that a target went down while it ran a request.
    Crash {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The target that went down.
        target: TargetId,
    },
    /// Reports that a request ended without a crash. Earlier crashes must have
    /// had another cause.
    Clear {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Requests a trial, or reports one that runs already. The sender repeats
    /// this message until it is answered.
    RequestTrial {
        /// The trial.
        trial: Trial,
        /// Targets that went down while they ran the request, as far as the
        /// sender knows.
        crashed_targets: Vec<TargetId>,
    },
    /// Grants a trial.
    Grant {
        /// The request.
        request: RequestId,
        /// The target that may run it.
        target: TargetId,
    },
    /// Reports that a trial has ended or is no longer requested.
    Done {
        /// The request.
        request: RequestId,
        /// Targets that went down while they ran the request, as far as the
        /// sender knows.
        crashed_targets: Vec<TargetId>,
    },
}

//! Requests that crash their targets.

use briarshift_units::{Fingerprint, TargetId};
use serde::{Deserialize, Serialize};

/// What VMs say about a request's fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A target died while it ran this request.
    Strike {
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
}

//! What the VMs of a data centre run.

use briarshift_units::{DataCentre, Digest, Revision, VmId, WallTime};
use serde::{Deserialize, Serialize};

use crate::change::text;

/// What a data centre's delegate knows of the VMs there.
///
/// It may count too few, never too many: a VM counts only once it has named
/// this digest itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The VM that wrote the report.
    pub vm: VmId,
    /// The revision in force at that VM.
    pub revision: Revision,
    /// Its digest, as text.
    #[serde(with = "text")]
    pub digest: Digest,
    /// Live VMs of the data centre, the writer included.
    pub live: u32,
    /// Those of them that run this digest.
    pub in_force: u32,
    /// When it was written, by the writer's clock.
    pub at: WallTime,
}

impl Report {
    /// Whether all live VMs run `digest`.
    pub fn is_in_force_everywhere(&self, digest: Digest) -> bool {
        self.digest == digest && self.live <= self.in_force
    }
}

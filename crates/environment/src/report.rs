//! Reports about the documents that VMs run.

use briarshift_units::{DataCentre, Digest, Revision, VmId, WallTime};
use serde::{Deserialize, Serialize};

use crate::change::text;

/// A report about the VMs of a data centre, written by the data centre's
/// delegate (the VM that watches the store for the others).
///
/// The number of VMs that run the document may be too low, but never too high:
/// a VM counts only after it has itself reported this digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The VM that wrote the report.
    pub vm: VmId,
    /// Revision of the document in force at that VM.
    pub revision: Revision,
    /// Digest of that document, serialized as text.
    #[serde(with = "text")]
    pub digest: Digest,
    /// Number of live VMs of the data centre, including the writer.
    pub live: u32,
    /// Number of these VMs that run the document with this digest.
    pub in_force: u32,
    /// Time of the report, by the writer's clock.
    pub at: WallTime,
}

impl Report {
    /// Returns true if all live VMs of the data centre run the document with
    /// this digest.
    pub fn is_in_force_everywhere(&self, digest: Digest) -> bool {
        self.digest == digest && self.live <= self.in_force
    }
}

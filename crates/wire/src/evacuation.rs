//! Data centres that operators evacuate or take back.
//!
//! A VM that learns of it from the store tells the others at once, since their own reads
//! come up to some seconds later. The row's version decides which word is the newer one,
//! so the content is idempotent and may arrive in any order.

use briarshift_store::Position;
use briarshift_units::{DataCentre, VmId};
use serde::{Deserialize, Serialize};

/// The state of a data centre as of a version of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Position of the row, or of its deletion.
    pub version: Position,
    /// True if its targets get nothing new; false if it has been taken back.
    pub is_evacuated: bool,
}

/// The data centres of which a VM has just learned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// The data centres.
    pub evacuations: Vec<Evacuation>,
}

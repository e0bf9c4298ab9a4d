//! Loads that relays sum up, and placements that they pass on, for fleets whose
//! heartbeats are far apart.
//!
//! A VM reports its loads to the relay of its data centre. Relays exchange the
//! sums of their data centres, and each sends the sum of the whole fleet to the
//! VMs of its own. The loads of a message replace those of the previous one of
//! its sender, so that the loss of one only delays an update. Placements are a
//! hint, and are not repeated.

use briarshift_units::{StartNumber, VmId};
use serde::{Deserialize, Serialize};

use crate::demand::Demand;
use crate::heartbeat::{Load, Placement};

/// Loads at targets, as of one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Number of the report; increases with each report of a process.
    pub sequence: u64,
    /// The VMs whose loads are summed.
    pub scope: Scope,
    /// Loads of the targets that have requests of these VMs.
    pub loads: Vec<Load>,
    /// Where prompts of these VMs went since the sender's previous report. Each
    /// is reported once.
    pub placements: Vec<Placement>,
    /// The largest demands of client accounts, by way of these VMs, on pools that are short
    /// of room.
    pub demands: Vec<Demand>,
}

/// The VMs whose loads a report sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender alone. It asks the receiver to serve as its relay.
    Vm,
    /// The sender's data centre.
    DataCentre,
    /// The whole fleet.
    Fleet,
}

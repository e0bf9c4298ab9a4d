//! What a VM reports of itself to operators.

use briarshift_units::{DataCentre, PoolId, Revision, StartNumber, TargetId, VmId};
use briarshift_wire::gossip::Health;
use serde::Serialize;

use crate::{member, target};

/// Numbers for gauges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Revision of the document in force, 0 before the first.
    pub revision: Revision,
    /// Requests in flight.
    pub in_flight: usize,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Live peers.
    pub live_members: usize,
    /// Targets that take new work.
    pub live_targets: usize,
}

/// A VM's whole report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Numbers for gauges.
    #[serde(flatten)]
    pub counts: Counts,
    /// Peers in its view.
    pub members: Vec<Member>,
    /// Targets in its view.
    pub targets: Vec<Target>,
}

/// A peer in a VM's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Start number of its process.
    pub start: StartNumber,
    /// What is believed of it.
    pub health: Health,
}

/// A target in a VM's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The target.
    pub target: TargetId,
    /// Its pool.
    pub pool: PoolId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Requests running on it, as last reported.
    pub running: u32,
}

pub(crate) fn members(state: &member::State) -> Vec<Member> {
    let live = state.live().map(|member| Member {
        vm: member.vm.clone(),
        data_centre: member.data_centre.clone(),
        start: member.start,
        health: member.health,
    });
    live.collect()
}

pub(crate) fn targets(state: &target::State) -> Vec<Target> {
    let all = state.all().map(|target| Target {
        target: target.id.clone(),
        pool: target.pool.clone(),
        start: target.start(),
        takes_work: target.takes_work(),
        running: target.report.as_ref().map_or(0, |report| report.running),
    });
    all.collect()
}

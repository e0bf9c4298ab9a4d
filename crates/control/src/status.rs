//! The status that a VM reports to operators.

use briarshift_units::{DataCentre, PoolId, Revision, StartNumber, TargetId, VmId};
use briarshift_wire::gossip::Health;
use serde::Serialize;

use crate::{member, target};

/// Values of gauge metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Revision of the document in force, 0 if there is none yet.
    pub revision: Revision,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Number of live peers.
    pub live_members: usize,
    /// Number of targets that take new work.
    pub live_targets: usize,
}

/// The status report of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Values of gauge metrics.
    #[serde(flatten)]
    pub counts: Counts,
    /// The live peers that it knows.
    pub members: Vec<Member>,
    /// The targets that it knows.
    pub targets: Vec<Target>,
}

/// A peer as a VM knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Start number of its process.
    pub start: StartNumber,
    /// The health that the VM assigns to it.
    pub health: Health,
}

/// A target as a VM knows it.
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

//! Sums of loads by way of relays.
//!
//! The load that it answers: hundreds of VMs that each send a few requests a
//! second. Heartbeats between all pairs of VMs are then seconds apart, which is
//! longer than most requests run. VMs that decide by such loads all choose the
//! same targets until the next heartbeat shows them as full.
//!
//! The first VM in the ranking of a data centre therefore serves as its relay.
//! The others report their loads to it at a short interval; relays exchange the
//! sums of their data centres and send the sum of the fleet back. A VM thus
//! sends and receives a few datagrams a second, however large the fleet is, and
//! the load of a relay grows with the size of its data centre.
//!
//! Relays pass on where prompts went in the same way, and heartbeats leave it out
//! meanwhile: each placement then crosses to another data centre once instead of
//! once for each VM there, and is known within a second.
//!
//! Nothing depends on a relay: a VM whose relay is silent reports to the next
//! one in the ranking, and any VM that is sent a report serves as a relay. Loads
//! in heartbeats are used while no recent sum is known.

use std::collections::{BTreeMap, VecDeque};

use briarshift_logging::Record;
use briarshift_units::{DataCentre, Moment, VmId};
use briarshift_wire::demand::Demand;
use briarshift_wire::heartbeat::{Load, Placement};

use super::{Demands, Loads};
use crate::limit::{
    MAX_RELAYED_AGE, MAX_REPORTED_PLACEMENTS, RELAY_INTERVAL, RELAY_RETRY_DELAY, RELAY_TIMEOUT,
};
use crate::{Context, Output};

/// A sum of loads and demands from a relay.
#[derive(Debug)]
struct Sum {
    received_at: Moment,
    loads: Loads,
    demands: Demands,
}

impl Sum {
    fn is_recent(&self, now: Moment) -> bool {
        now.since(self.received_at) < MAX_RELAYED_AGE
    }
}

/// The relay that a VM reports to.
#[derive(Debug)]
struct Current {
    vm: VmId,
    /// When its last sum arrived, or when this VM turned to it.
    heard_at: Moment,
}

/// What this VM knows from relays, and its duty as one.
#[derive(Debug, Default)]
pub(super) struct State {
    current: Option<Current>,
    /// Relays that sent no sums, and when that was noticed.
    silent: BTreeMap<VmId, Moment>,
    /// When a VM last reported its loads to this one.
    report_received_at: Option<Moment>,
    /// Sums of other data centres.
    data_centres: BTreeMap<DataCentre, Sum>,
    /// Sum of the loads of all other VMs.
    fleet: Option<Sum>,
    /// The loads that this VM last reported. Sums contain them.
    reported: Vec<Load>,
    reported_demands: Vec<Demand>,
    /// The placements that this VM reported and that its relay has not sent back
    /// yet, the oldest first.
    echoes: VecDeque<Placement>,
    /// As a relay: placements for the relays of other data centres, and for the
    /// VMs of this one.
    for_relays: Vec<Placement>,
    for_vms: Vec<Placement>,
    /// Time of the last round, and the number of reports so far.
    last_round_at: Moment,
    sequence: u64,
}

impl State {
    /// Returns true if a round of reports is due.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        RELAY_INTERVAL <= now.since(self.last_round_at)
    }

    /// Starts a round. Returns false if the process was suspended or delayed
    /// since the last one: what it knows of its peers is then out of date.
    pub(super) fn start_round(&mut self, now: Moment) -> bool {
        let is_in_time = now.since(self.last_round_at) < RELAY_TIMEOUT;
        self.last_round_at = now;
        if !is_in_time && let Some(current) = &mut self.current {
            current.heard_at = now;
        }
        is_in_time
    }

    /// Returns the number of the next report.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Chooses the relay: the first VM in the ranking of the data centre, which
    /// contains this VM, that is not known to be silent.
    pub(super) fn choose(&mut self, ctx: &Context<'_>, ranking: &[VmId], out: &mut Output) -> VmId {
        self.silent.retain(|_, at| ctx.at.since(*at) < RELAY_RETRY_DELAY);
        if let Some(current) = &self.current
            && current.vm != ctx.me.vm
            && RELAY_TIMEOUT <= ctx.at.since(current.heard_at)
        {
            self.silent.insert(current.vm.clone(), ctx.at);
        }
        let usable = ranking.iter().find(|vm| **vm == ctx.me.vm || !self.silent.contains_key(*vm));
        let relay = usable.unwrap_or(&ctx.me.vm).clone();
        let before = self.current.as_ref().map(|current| &current.vm);
        if before != Some(&relay) {
            let before = before.map_or("none", |vm| vm.as_str());
            out.log(Record::new("relay").with("relay", &relay).with("before", before));
            self.current = Some(Current { vm: relay.clone(), heard_at: ctx.at });
        }
        relay
    }

    /// Returns true if this VM is its own relay, or other VMs report to it.
    pub(super) fn serves(&self, me: &VmId, now: Moment) -> bool {
        let is_own = self.current.as_ref().is_some_and(|current| current.vm == *me);
        is_own || self.report_received_at.is_some_and(|at| now.since(at) < RELAY_TIMEOUT)
    }

    /// Records that a VM reported its loads to this one.
    pub(super) fn record_report(&mut self, now: Moment) {
        self.report_received_at = Some(now);
    }

    /// Stores what this VM reports to another one. Sums and placements from there
    /// will contain it.
    pub(super) fn set_reported(
        &mut self,
        loads: Vec<Load>,
        demands: Vec<Demand>,
        placements: &[Placement],
    ) {
        self.reported = loads;
        self.reported_demands = demands;
        self.echoes.extend(placements.iter().cloned());
        let excess = self.echoes.len().saturating_sub(MAX_REPORTED_PLACEMENTS);
        self.echoes.drain(..excess);
    }

    /// Adds placements of VMs of this data centre that are to be passed on.
    pub(super) fn add_local_placements(&mut self, placements: &[Placement]) {
        extend(&mut self.for_relays, placements);
        extend(&mut self.for_vms, placements);
    }

    /// Adds placements of another data centre that are to be passed on.
    pub(super) fn add_remote_placements(&mut self, placements: &[Placement]) {
        extend(&mut self.for_vms, placements);
    }

    /// Returns the placements for the relays of other data centres, and those for
    /// the VMs of this one, since the last call.
    pub(super) fn take_placements(&mut self) -> (Vec<Placement>, Vec<Placement>) {
        (std::mem::take(&mut self.for_relays), std::mem::take(&mut self.for_vms))
    }

    /// Returns the placements in a report of `relay` that this VM does not know:
    /// all but its own, if it reports to this relay. Several relays of a data
    /// centre pass on the same placements.
    pub(super) fn new_placements(
        &mut self,
        relay: &VmId,
        mut placements: Vec<Placement>,
    ) -> Vec<Placement> {
        if self.current.as_ref().is_none_or(|current| current.vm != *relay) {
            return Vec::new();
        }
        placements.retain(|placement| {
            let echo = self.echoes.iter().position(|echo| echo == placement);
            echo.and_then(|index| self.echoes.remove(index)).is_none()
        });
        placements
    }

    /// Stores the sum of another data centre.
    pub(super) fn set_data_centre(
        &mut self,
        data_centre: DataCentre,
        loads: &[Load],
        demands: &[Demand],
        now: Moment,
    ) {
        let (loads, demands) = (Loads::of(loads), Demands::of(demands));
        self.data_centres.insert(data_centre, Sum { received_at: now, loads, demands });
    }

    /// Stores the sum of the fleet that a relay sent.
    pub(super) fn set_fleet(
        &mut self,
        from: &VmId,
        loads: &[Load],
        demands: &[Demand],
        now: Moment,
    ) {
        if let Some(current) = self.current.as_mut().filter(|current| current.vm == *from) {
            current.heard_at = now;
        }
        let mut loads = Loads::of(loads);
        loads.subtract(&self.reported);
        let mut demands = Demands::of(demands);
        demands.subtract(&self.reported_demands);
        self.fleet = Some(Sum { received_at: now, loads, demands });
    }

    /// Returns the recent sums of other data centres.
    pub(super) fn data_centres(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&DataCentre, &Loads, &Demands)> {
        let recent = self.data_centres.iter().filter(move |(_, sum)| sum.is_recent(now));
        recent.map(|(name, sum)| (name, &sum.loads, &sum.demands))
    }

    /// Returns the recent sum of the loads of all other VMs.
    pub(super) fn fleet(&self, now: Moment) -> Option<&Loads> {
        self.fleet.as_ref().filter(|sum| sum.is_recent(now)).map(|sum| &sum.loads)
    }

    /// Returns the recent sum of the demands by way of all other VMs.
    pub(super) fn fleet_demands(&self, now: Moment) -> Option<&Demands> {
        self.fleet.as_ref().filter(|sum| sum.is_recent(now)).map(|sum| &sum.demands)
    }
}

/// Appends placements up to the maximum for one report. The rest is dropped: it
/// would not fit in a datagram, and the others show the same popularity.
fn extend(all: &mut Vec<Placement>, placements: &[Placement]) {
    let room = MAX_REPORTED_PLACEMENTS.saturating_sub(all.len());
    all.extend(placements.iter().take(room).cloned());
}

//! The changes to engines, VMs and load that a scenario's disturbance makes, and their times.

use briarshift_units::{Span, TargetId};
use fastrand::Rng;

use crate::engine::Engine;
use crate::scenario::{Disturbance, Scenario};
use crate::simulation::Simulation;

/// Time between two changes in the churn scenario.
const CHURN_INTERVAL: Span = Span::from_secs(4);
/// Time from an engine's listing to its first answer, in which it loads its model's weights.
const LOAD_TIME: Span = Span::from_secs(3);
/// Time from the moment an engine announces that it leaves to its stop.
const LEAVE_TIME: Span = Span::from_secs(20);
/// Time that an engine has to finish its requests before it is restarted.
const DRAIN_TIME: Span = Span::from_secs(8);
/// Time for which the VMs' lists differ, and time for which they then agree.
const DIVERGENCE_TIME: Span = Span::from_secs(5);
/// Time for which a stopped VM stays in the other VMs' lists.
const DETECTION_TIME: Span = Span::from_secs(2);

/// A change to the simulation.
#[derive(Debug, Clone)]
pub enum Change {
    /// Makes a random engine leave or restart, or adds one.
    Churn,
    /// Starts or restarts an engine.
    Start(TargetId),
    /// Stops an engine; with `true`, also removes it from the platform's list.
    Stop(TargetId, bool),
    /// Makes an engine drain, stop and start again.
    Restart(TargetId),
    /// Makes the VMs' lists differ, or agree again.
    SetDivergence(bool),
    /// Begins or ends the surge.
    SetSurge(bool),
    /// Stops a VM.
    StopVm(usize),
    /// Restarts a VM without its state.
    StartVm(usize),
    /// Gives all VMs the list of live VMs.
    DeliverVmLists,
}

/// All changes of a scenario.
pub struct Schedule {
    /// The changes, with the time of each.
    pub changes: Vec<(Span, Change)>,
}

impl Schedule {
    /// Returns the changes of a scenario.
    pub fn new(scenario: &Scenario, rng: &mut Rng) -> Self {
        let end = scenario.warm_up + scenario.measured;
        let mut changes = Vec::new();
        // Adds changes at a fixed interval, from a start time to the end of the run.
        let mut repeat =
            |interval: Span, start: Span, create: &mut dyn FnMut(usize) -> Option<Change>| {
                let mut at = start;
                let mut index = 0;
                while at < end {
                    changes.extend(create(index).map(|change| (at, change)));
                    at = at + interval;
                    index += 1;
                }
            };
        match scenario.disturbance {
            Disturbance::None | Disturbance::Overnight => {}
            Disturbance::Churn => {
                repeat(CHURN_INTERVAL, scenario.warm_up - CHURN_INTERVAL, &mut |_| {
                    Some(Change::Churn)
                });
            }
            Disturbance::RollingRestart => {
                let interval = Span(scenario.measured.0 / scenario.engines as u64);
                repeat(interval, scenario.warm_up, &mut |index| {
                    let id = format!("e-{index}").parse().ok()?;
                    (index < scenario.engines).then_some(Change::Restart(id))
                });
            }
            Disturbance::DivergentLists => {
                repeat(DIVERGENCE_TIME, scenario.warm_up, &mut |index| {
                    Some(Change::SetDivergence(index % 2 == 0))
                });
            }
            Disturbance::Surge => {
                let third = Span(scenario.measured.0 / 3);
                changes.push((scenario.warm_up + third, Change::SetSurge(true)));
                changes.push((scenario.warm_up + third + third, Change::SetSurge(false)));
            }
            Disturbance::VmCrashes => {
                let mut at = scenario.warm_up + Span::from_secs(3);
                let first = rng.usize(0..scenario.vms);
                for index in 0..scenario.vms {
                    let vm = (first + index) % scenario.vms;
                    changes.push((at, Change::StopVm(vm)));
                    changes.push((at + DETECTION_TIME, Change::DeliverVmLists));
                    changes.push((at + Span::from_secs(5), Change::StartVm(vm)));
                    changes.push((at + Span::from_secs(6), Change::DeliverVmLists));
                    at = at + Span::from_secs(9);
                }
            }
        }
        Self { changes }
    }
}

impl Change {
    /// Makes the change.
    pub fn apply(self, simulation: &mut Simulation<'_>) {
        match self {
            Self::Churn => churn(simulation),
            Self::Start(id) => {
                simulation.fleet_changed_at = Some(simulation.now);
                if let Some(engine) = simulation.engines.get_mut(&id) {
                    engine.restart();
                }
            }
            Self::Stop(id, unlist) => {
                let Some(engine) = simulation.engines.get_mut(&id) else { return };
                engine.listed &= !unlist;
                let interrupted = engine.crash();
                simulation.fleet_changed_at = Some(simulation.now);
                simulation.interrupt(interrupted);
            }
            Self::Restart(id) => {
                let Some(engine) = simulation.engines.get_mut(&id) else { return };
                engine.leaving = true;
                simulation.fleet_changed_at = Some(simulation.now);
                simulation.schedule_change(DRAIN_TIME, Self::Stop(id.clone(), false));
                simulation.schedule_change(DRAIN_TIME + LOAD_TIME, Self::Start(id));
            }
            Self::SetDivergence(divergent) => set_divergence(simulation, divergent),
            Self::SetSurge(active) => simulation.surge_active = active,
            Self::StopVm(vm) => {
                simulation.fleet_changed_at = Some(simulation.now);
                simulation.stop_vm(vm);
            }
            Self::StartVm(vm) => {
                simulation.fleet_changed_at = Some(simulation.now);
                simulation.live_vms[vm] = true;
                simulation.policy.restart_vm(simulation.now, vm);
                simulation.deliver_vm_list(vm);
            }
            Self::DeliverVmLists => {
                simulation.fleet_changed_at = Some(simulation.now);
                for vm in 0..simulation.live_vms.len() {
                    simulation.deliver_vm_list(vm);
                }
            }
        }
    }
}

/// Adds an engine, makes a random one leave, or restarts a random one.
fn churn(simulation: &mut Simulation<'_>) {
    let accepting = simulation.engines.values().filter(|engine| engine.accepts_requests());
    let accepting: Vec<_> = accepting.map(|engine| engine.id.clone()).collect();
    let Some(id) = simulation.rng.choice(&accepting).cloned() else { return };
    match simulation.rng.u8(0..3) {
        0 => {
            let max_contexts = simulation.engines[&id].max_contexts();
            let mut engine = Engine::new(simulation.engines.len(), max_contexts);
            engine.up = false;
            let id = engine.id.clone();
            simulation.engines.insert(id.clone(), engine);
            simulation.schedule_change(LOAD_TIME, Change::Start(id));
        }
        1 => {
            if let Some(engine) = simulation.engines.get_mut(&id) {
                engine.leaving = true;
            }
            simulation.fleet_changed_at = Some(simulation.now);
            simulation.schedule_change(LEAVE_TIME, Change::Stop(id, true));
        }
        _ => {
            Change::Stop(id.clone(), false).apply(simulation);
            let down = Span(simulation.rng.u64(2_000_000..5_000_000));
            simulation.schedule_change(down, Change::Start(id));
        }
    }
}

/// Hides random VMs and engines from each VM's lists, or shows all again.
fn set_divergence(simulation: &mut Simulation<'_>, divergent: bool) {
    simulation.fleet_changed_at = Some(simulation.now);
    let engines: Vec<_> = simulation.engines.keys().cloned().collect();
    for vm in 0..simulation.live_vms.len() {
        let vms = 0..simulation.live_vms.len();
        simulation.hidden_vms[vm] =
            vms.filter(|_| divergent && simulation.rng.u8(0..4) == 0).collect();
        let hidden = engines.iter().filter(|_| divergent && simulation.rng.u8(0..5) == 0);
        simulation.hidden_engines[vm] = hidden.cloned().collect();
        simulation.deliver_vm_list(vm);
    }
}

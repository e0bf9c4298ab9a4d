//! What is done to engines and VMs, and when.

use briarshift_units::{Span, TargetId};
use fastrand::Rng;

use crate::engine::Engine;
use crate::scenario::{Scenario, Trouble};
use crate::world::World;

/// Between two troubles in churn.
const CHURN: Span = Span::from_secs(4);
/// From an engine's listing to its first answer: it loads its weights.
const LOADING: Span = Span::from_secs(3);
/// From an engine's notice to its end.
const LEAVING: Span = Span::from_secs(20);
/// How long an engine of the restart wave is given to finish.
const DRAINING: Span = Span::from_secs(8);
/// How long lists differ, and how long they agree.
const DISAGREEING: Span = Span::from_secs(5);
/// How long a dead VM stays in the lists.
const DETECTION: Span = Span::from_secs(2);

/// Something done to the world.
#[derive(Debug, Clone)]
pub enum Step {
    /// One of join, leave and flap, at random.
    Churn,
    /// An engine starts, or starts again.
    Start(TargetId),
    /// An engine ends.
    Stop(TargetId, bool),
    /// An engine of a wave drains, restarts, and is back.
    Restart(TargetId),
    /// Lists differ, or agree again.
    Disagree(bool),
    /// The surge begins or ends.
    Surge(bool),
    /// A VM dies.
    LoseVm(usize),
    /// A VM starts anew.
    StartVm(usize),
    /// All VMs see who is live.
    TellVms,
}

/// All steps of a scenario.
pub struct Script {
    /// Steps by time.
    pub steps: Vec<(Span, Step)>,
}

impl Script {
    /// The steps of a scenario.
    pub fn new(scenario: &Scenario, rng: &mut Rng) -> Self {
        let end = scenario.warm_up + scenario.measured;
        let mut steps = Vec::new();
        let mut each = |gap: Span, from: Span, make: &mut dyn FnMut(usize) -> Option<Step>| {
            let mut at = from;
            let mut index = 0;
            while at < end {
                steps.extend(make(index).map(|step| (at, step)));
                at = at + gap;
                index += 1;
            }
        };
        match scenario.trouble {
            Trouble::None | Trouble::Overnight => {}
            Trouble::Churn => each(CHURN, scenario.warm_up - CHURN, &mut |_| Some(Step::Churn)),
            Trouble::RestartWave => {
                let gap = Span(scenario.measured.0 / scenario.engines as u64);
                each(gap, scenario.warm_up, &mut |index| {
                    let id = format!("e-{index}").parse().ok()?;
                    (index < scenario.engines).then_some(Step::Restart(id))
                });
            }
            Trouble::Disagreeing => each(DISAGREEING, scenario.warm_up, &mut |index| {
                Some(Step::Disagree(index % 2 == 0))
            }),
            Trouble::Surge => {
                let third = Span(scenario.measured.0 / 3);
                steps.push((scenario.warm_up + third, Step::Surge(true)));
                steps.push((scenario.warm_up + third + third, Step::Surge(false)));
            }
            Trouble::VmDeath => {
                let mut at = scenario.warm_up + Span::from_secs(3);
                let first = rng.usize(0..scenario.vms);
                for index in 0..scenario.vms {
                    let vm = (first + index) % scenario.vms;
                    steps.push((at, Step::LoseVm(vm)));
                    steps.push((at + DETECTION, Step::TellVms));
                    steps.push((at + Span::from_secs(5), Step::StartVm(vm)));
                    steps.push((at + Span::from_secs(6), Step::TellVms));
                    at = at + Span::from_secs(9);
                }
            }
        }
        Self { steps }
    }
}

impl Step {
    /// Does it.
    pub fn apply(self, world: &mut World<'_>) {
        match self {
            Self::Churn => churn(world),
            Self::Start(id) => {
                world.changed_at = Some(world.at);
                if let Some(engine) = world.engines.get_mut(&id) {
                    engine.start();
                }
            }
            Self::Stop(id, unlist) => {
                let Some(engine) = world.engines.get_mut(&id) else { return };
                engine.listed &= !unlist;
                let broken = engine.crash();
                world.changed_at = Some(world.at);
                world.break_off(broken);
            }
            Self::Restart(id) => {
                let Some(engine) = world.engines.get_mut(&id) else { return };
                engine.leaving = true;
                world.changed_at = Some(world.at);
                world.schedule_step(DRAINING, Self::Stop(id.clone(), false));
                world.schedule_step(DRAINING + LOADING, Self::Start(id));
            }
            Self::Disagree(differ) => disagree(world, differ),
            Self::Surge(on) => world.surging = on,
            Self::LoseVm(vm) => {
                world.changed_at = Some(world.at);
                world.lose_vm(vm);
            }
            Self::StartVm(vm) => {
                world.changed_at = Some(world.at);
                world.live_vms[vm] = true;
                world.policy.restart(world.at, vm);
                world.tell_vms(vm);
            }
            Self::TellVms => {
                world.changed_at = Some(world.at);
                for vm in 0..world.live_vms.len() {
                    world.tell_vms(vm);
                }
            }
        }
    }
}

fn churn(world: &mut World<'_>) {
    let open = world.engines.values().filter(|engine| engine.is_open());
    let open: Vec<_> = open.map(|engine| engine.id.clone()).collect();
    let Some(id) = world.rng.choice(&open).cloned() else { return };
    match world.rng.u8(0..3) {
        0 => {
            let capacity = world.engines[&id].capacity();
            let mut engine = Engine::new(world.engines.len(), capacity);
            engine.up = false;
            let id = engine.id.clone();
            world.engines.insert(id.clone(), engine);
            world.schedule_step(LOADING, Step::Start(id));
        }
        1 => {
            if let Some(engine) = world.engines.get_mut(&id) {
                engine.leaving = true;
            }
            world.changed_at = Some(world.at);
            world.schedule_step(LEAVING, Step::Stop(id, true));
        }
        _ => {
            Step::Stop(id.clone(), false).apply(world);
            let down = Span(world.rng.u64(2_000_000..5_000_000));
            world.schedule_step(down, Step::Start(id));
        }
    }
}

fn disagree(world: &mut World<'_>, differ: bool) {
    world.changed_at = Some(world.at);
    let engines: Vec<_> = world.engines.keys().cloned().collect();
    for vm in 0..world.live_vms.len() {
        let vms = 0..world.live_vms.len();
        world.hidden_vms[vm] = vms.filter(|_| differ && world.rng.u8(0..4) == 0).collect();
        let hidden = engines.iter().filter(|_| differ && world.rng.u8(0..5) == 0);
        world.hidden_engines[vm] = hidden.cloned().collect();
        world.tell_vms(vm);
    }
}

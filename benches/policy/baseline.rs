//! Baseline policies: each VM decides alone, from delayed load reports and the requests that it
//! has sent itself.

use std::collections::BTreeMap;
use std::rc::Rc;

use briarshift_routing::{bound, rank};
use briarshift_settings::Document;
use briarshift_units::{Moment, RequestId, TargetId};
use briarshift_wire::reservation::{Denial, Requirements};
use fastrand::Rng;

use crate::policy::{Action, Observation, Policy};

/// The kind of a baseline policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Chooses a random live engine.
    Random,
    /// Chooses the engine with the least estimated load.
    LeastLoaded,
    /// Chooses the one with less estimated load of two random engines.
    TwoChoices,
    /// Chooses the first engine in the chat's rendezvous order.
    Rendezvous,
    /// Chooses the first engine in the chat's rendezvous order whose estimated load is below the
    /// bound.
    BoundedRendezvous,
}

/// A VM's view of an engine.
#[derive(Debug, Default)]
struct Engine {
    live: bool,
    leaving: bool,
    start: u64,
    reported_load: u32,
    taken_at: Moment,
    /// Times of the VM's own sends that the report doesn't include yet.
    sent_at: Vec<Moment>,
}

impl Engine {
    /// Returns the reported load plus the VM's own sends since.
    fn estimated_load(&self) -> u32 {
        self.reported_load + self.sent_at.len() as u32
    }
}

/// A baseline policy for all VMs.
pub struct Baseline {
    kind: Kind,
    rng: Rng,
    vms: Vec<BTreeMap<TargetId, Engine>>,
}

impl Baseline {
    /// Creates the policy; no VM knows an engine yet.
    pub fn create(kind: Kind, vms: usize, _: &Rc<Document>, seed: u64) -> Box<dyn Policy> {
        let vms = (0..vms).map(|_| BTreeMap::new()).collect();
        Box::new(Self { kind, rng: Rng::with_seed(seed), vms })
    }

    /// Chooses an engine for a request; `None` if the VM knows none that may run it.
    fn choose(&mut self, vm: usize, requirements: &Requirements) -> Option<TargetId> {
        let engines = self.vms[vm].iter();
        let live = engines.filter(|(id, engine)| {
            engine.live && !engine.leaving && !requirements.avoid.contains(id)
        });
        let live: Vec<_> = live.collect();
        let random_engine = |rng: &mut Rng| rng.choice(&live).copied();
        let chosen = match self.kind {
            Kind::Random => random_engine(&mut self.rng),
            Kind::LeastLoaded => {
                live.iter().copied().min_by_key(|(_, engine)| engine.estimated_load())
            }
            Kind::TwoChoices => {
                let pair = [random_engine(&mut self.rng), random_engine(&mut self.rng)];
                pair.into_iter().flatten().min_by_key(|(_, engine)| engine.estimated_load())
            }
            Kind::Rendezvous => {
                rank::best(requirements.chat, live.iter().copied(), |(id, _)| id.as_str())
            }
            Kind::BoundedRendezvous => {
                let total_load = live.iter().map(|(_, engine)| engine.estimated_load()).sum();
                let cap = bound::cap(1.25, total_load, live.len() as u32);
                let below_cap =
                    live.iter().copied().filter(|(_, engine)| engine.estimated_load() < cap);
                rank::best(requirements.chat, below_cap, |(id, _)| id.as_str())
            }
        };
        chosen.map(|(id, _)| id.clone())
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.kind {
            Kind::Random => "random",
            Kind::LeastLoaded => "least-loaded",
            Kind::TwoChoices => "two-choices",
            Kind::Rendezvous => "rendezvous",
            Kind::BoundedRendezvous => "bounded-rendezvous",
        }
    }

    fn handle_request(
        &mut self,
        now: Moment,
        vm: usize,
        requirements: Requirements,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.choose(vm, &requirements) else {
            out.push(Action::Deny(requirements.request, Denial::Empty));
            return;
        };
        if let Some(engine) = self.vms[vm].get_mut(&target) {
            engine.sent_at.push(now);
        }
        out.push(Action::Assign(requirements.request, target));
    }

    fn handle_end(&mut self, _: Moment, _vm: usize, _: RequestId, _: &mut Vec<Action>) {}

    fn handle_failure(&mut self, vm: usize, target: &TargetId) {
        if let Some(engine) = self.vms[vm].get_mut(target) {
            engine.live = false;
        }
    }

    fn handle_reports(
        &mut self,
        _: Moment,
        vm: usize,
        observations: &[Observation],
        _: &mut Vec<Action>,
    ) {
        for observation in observations {
            let Some(engine) = self.vms[vm].get_mut(&observation.id) else { continue };
            engine.live = observation.report.is_some();
            let Some(report) = &observation.report else { continue };
            engine.leaving = report.leaving;
            engine.reported_load = report.running;
            engine.taken_at = observation.taken_at;
            engine.start = report.start.0;
            engine.sent_at.retain(|&sent_at| observation.taken_at < sent_at);
        }
    }

    fn handle_engine_list(&mut self, _: Moment, vm: usize, listed: &[(TargetId, bool)]) {
        let engines = &mut self.vms[vm];
        engines.retain(|id, _| listed.iter().any(|(listed, _)| listed == id));
        for (id, leaving) in listed {
            engines.entry(id.clone()).or_default().leaving |= leaving;
        }
    }
}

//! Routers that decide on each VM from lagged reports and their own sends.

use std::collections::BTreeMap;
use std::rc::Rc;

use briarshift_routing::{bound, rank};
use briarshift_settings::Document;
use briarshift_units::{Moment, RequestId, TargetId};
use briarshift_wire::reservation::{Denial, Requirements};
use fastrand::Rng;

use crate::policy::{Action, Known, Policy};

/// Which baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any live engine.
    Random,
    /// The engine with the least estimated load.
    LeastLoaded,
    /// The better of two random engines.
    TwoChoices,
    /// The chat's first engine.
    Rendezvous,
    /// The chat's first engine under the bound by estimate.
    BoundedRendezvous,
}

#[derive(Debug, Default)]
struct Engine {
    live: bool,
    leaving: bool,
    start: u64,
    reported: u32,
    taken_at: Moment,
    sent: Vec<Moment>,
}

impl Engine {
    fn estimate(&self) -> u32 {
        self.reported + self.sent.len() as u32
    }
}

/// One baseline on all VMs.
pub struct Baseline {
    kind: Kind,
    rng: Rng,
    vms: Vec<BTreeMap<TargetId, Engine>>,
}

impl Baseline {
    /// A fleet of VMs that know nothing.
    pub fn make(kind: Kind, vms: usize, _: &Rc<Document>, seed: u64) -> Box<dyn Policy> {
        let vms = (0..vms).map(|_| BTreeMap::new()).collect();
        Box::new(Self { kind, rng: Rng::with_seed(seed), vms })
    }

    fn choose(&mut self, vm: usize, ask: &Requirements) -> Option<TargetId> {
        let engines = self.vms[vm].iter();
        let live = engines
            .filter(|(id, engine)| engine.live && !engine.leaving && !ask.avoid.contains(id));
        let live: Vec<_> = live.collect();
        let one = |rng: &mut Rng| rng.choice(&live).copied();
        let chosen = match self.kind {
            Kind::Random => one(&mut self.rng),
            Kind::LeastLoaded => live.iter().copied().min_by_key(|(_, e)| e.estimate()),
            Kind::TwoChoices => {
                let two = [one(&mut self.rng), one(&mut self.rng)];
                two.into_iter().flatten().min_by_key(|(_, e)| e.estimate())
            }
            Kind::Rendezvous => rank::best(ask.chat, live.iter().copied(), |(id, _)| id.as_str()),
            Kind::BoundedRendezvous => {
                let load = live.iter().map(|(_, e)| e.estimate()).sum();
                let cap = bound::cap(1.25, load, live.len() as u32);
                let open = live.iter().copied().filter(|(_, e)| e.estimate() < cap);
                rank::best(ask.chat, open, |(id, _)| id.as_str())
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

    fn arrive(&mut self, at: Moment, vm: usize, ask: Requirements, out: &mut Vec<Action>) {
        let Some(target) = self.choose(vm, &ask) else {
            out.push(Action::Deny(ask.request, Denial::Empty));
            return;
        };
        if let Some(engine) = self.vms[vm].get_mut(&target) {
            engine.sent.push(at);
        }
        out.push(Action::Place(ask.request, target));
    }

    fn end(&mut self, _: Moment, _vm: usize, _: RequestId, _: &mut Vec<Action>) {}

    fn suspect(&mut self, vm: usize, target: &TargetId) {
        if let Some(engine) = self.vms[vm].get_mut(target) {
            engine.live = false;
        }
    }

    fn reports(&mut self, _: Moment, vm: usize, known: &[Known], _: &mut Vec<Action>) {
        for known in known {
            let Some(engine) = self.vms[vm].get_mut(&known.id) else { continue };
            engine.live = known.report.is_some();
            let Some(report) = &known.report else { continue };
            engine.leaving = report.leaving;
            engine.reported = report.running;
            engine.taken_at = known.taken_at;
            engine.start = report.start.0;
            engine.sent.retain(|&at| known.taken_at < at);
        }
    }

    fn engines(&mut self, _: Moment, vm: usize, listed: &[(TargetId, bool)]) {
        let engines = &mut self.vms[vm];
        engines.retain(|id, _| listed.iter().any(|(listed, _)| listed == id));
        for (id, leaving) in listed {
            engines.entry(id.clone()).or_default().leaving |= leaving;
        }
    }
}

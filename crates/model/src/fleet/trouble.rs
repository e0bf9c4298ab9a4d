//! What goes wrong, and what is planned.

use briarshift_gateway::request::End;
use briarshift_store::registry::{Name, Status};
use briarshift_units::{Moment, PoolId, Span};

use super::{Fleet, LEAD, What};
use crate::results::Outcome;
use crate::scenario::{Disturbance, Episode};

/// How long a leaving engine stays.
const STAY: Span = Span::from_secs(4);

/// The pool of engines, or that of plain services.
pub(super) fn pool(is_engine: bool) -> PoolId {
    if is_engine { "engines" } else { "desks" }.parse().expect("an identifier")
}

impl Fleet<'_> {
    /// What goes wrong now.
    pub(super) fn spells(&self) -> impl Iterator<Item = Disturbance> {
        let now = self.clock.now().since(Moment::default() + LEAD);
        let is_now =
            move |spell: &&Episode| spell.start <= now && now < spell.start + spell.duration;
        self.scenario.episodes.iter().filter(is_now).map(|spell| spell.disturbance)
    }

    pub(super) fn factor(&self) -> f64 {
        let factor = |trouble| if let Disturbance::Burst { x } = trouble { x } else { 1.0 };
        self.spells().map(factor).product()
    }

    pub(super) fn begin(&mut self, spell: usize) {
        match self.scenario.episodes[spell].disturbance {
            Disturbance::Crash { desks, count } => {
                let pool = pool(!desks);
                let of_pool = |target: &usize| self.targets[*target].pool == pool;
                let crashed: Vec<_> = (0..self.targets.len()).filter(of_pool).take(count).collect();
                for &target in &crashed {
                    self.crash(target);
                }
                self.down[spell] = crashed;
            }
            Disturbance::Release { count } => {
                let pause = Span(self.scenario.episodes[spell].duration.0 / count.max(1) as u64);
                self.replace(count, pause);
            }
            Disturbance::Burst { .. } | Disturbance::Popular { .. } => {}
        }
    }

    pub(super) fn end(&mut self, spell: usize) {
        for target in std::mem::take(&mut self.down[spell]) {
            self.targets[target].up = true;
        }
    }

    /// A target ends with all that it has.
    pub(super) fn crash(&mut self, target: usize) {
        let jobs = self.targets[target].jobs();
        self.targets[target].up = false;
        self.targets[target].reset();
        for number in jobs {
            let relayed = self.jobs.get(&number).is_some_and(|job| job.begun);
            let caller = self.jobs.get(&number).map(|job| job.caller);
            self.miss(number, End::Interrupted { reason: "reset".into(), relayed });
            if let Some(caller) = caller.filter(|_| relayed) {
                self.over(caller, Outcome::Failed);
            }
        }
    }

    /// A new engine comes, and the oldest one leaves.
    pub(super) fn replace(&mut self, left: usize, pause: Span) {
        if left == 0 {
            return;
        }
        self.join(true);
        let engines = pool(true);
        let oldest = self.targets.iter().position(|t| t.pool == engines && t.up && !t.leaves);
        if let Some(oldest) = oldest {
            let target = &mut self.targets[oldest];
            target.leaves = true;
            let (name, row) = (Name::Target(target.id.clone()), target.row(Status::Leaving));
            self.store.put(name, Some(row));
            self.clock.after(STAY, What::Gone(oldest));
        }
        self.clock.after(pause, What::Replace(left - 1, pause));
    }

    pub(super) fn gone(&mut self, target: usize) {
        let name = Name::Target(self.targets[target].id.clone());
        self.store.put(name, None);
        self.crash(target);
    }
}

//! Disturbances: faults, changes of the load and planned operations.

use briarshift_gateway::request::End;
use briarshift_store::registry::{Name, Status};
use briarshift_units::{Moment, PoolId, Span};

use super::{Action, Fleet, WARM_UP};
use crate::results::Outcome;
use crate::scenario::{Disturbance, Episode};

/// Time from the announcement that an engine leaves until it stops.
const LEAVE_TIME: Span = Span::from_secs(4);

/// Returns the id of the pool of engines or of that of desk runners.
pub(super) fn pool(is_engine: bool) -> PoolId {
    if is_engine { "engines" } else { "desks" }.parse().expect("an identifier")
}

impl Fleet<'_> {
    /// Returns the disturbances that are in effect now.
    pub(super) fn active_disturbances(&self) -> impl Iterator<Item = Disturbance> {
        let now = self.scheduler.now().since(Moment::default() + WARM_UP);
        let is_active = move |e: &&Episode| e.start <= now && now < e.start + e.duration;
        self.scenario.episodes.iter().filter(is_active).map(|episode| episode.disturbance)
    }

    /// Returns the factor by which request rates are multiplied now.
    pub(super) fn rate_factor(&self) -> f64 {
        let factor = |disturbance| {
            if let Disturbance::Burst { factor } = disturbance { factor } else { 1.0 }
        };
        self.active_disturbances().map(factor).product()
    }

    /// Applies the disturbance of an episode that starts.
    pub(super) fn start_episode(&mut self, episode: usize) {
        match self.scenario.episodes[episode].disturbance {
            Disturbance::Crash { runners, count } => {
                let pool = pool(!runners);
                let of_pool = |target: &usize| self.targets[*target].pool == pool;
                let crashed: Vec<_> = (0..self.targets.len()).filter(of_pool).take(count).collect();
                for &target in &crashed {
                    self.crash(target);
                }
                self.crashed[episode] = crashed;
            }
            Disturbance::Slow { factor, count } => {
                let desks = pool(false);
                let mut of_pool: Vec<_> =
                    (0..self.targets.len()).filter(|it| self.targets[*it].pool == desks).collect();
                self.rng.shuffle(&mut of_pool);
                of_pool.truncate(count);
                for target in of_pool {
                    self.targets[target].slowdown = factor;
                    self.slowed[episode].push(target);
                }
            }
            Disturbance::Release { count } => {
                let interval =
                    Span(self.scenario.episodes[episode].duration.0 / count.max(1) as u64);
                self.replace_engine(count, interval);
            }
            Disturbance::Burst { .. } | Disturbance::Popular { .. } | Disturbance::Shift { .. } => {
            }
        }
    }

    /// Restarts the targets that an episode crashed, and ends the slowness of others.
    pub(super) fn end_episode(&mut self, episode: usize) {
        for target in std::mem::take(&mut self.crashed[episode]) {
            self.targets[target].is_up = true;
        }
        for target in std::mem::take(&mut self.slowed[episode]) {
            self.targets[target].slowdown = 1.0;
        }
    }

    /// Stops a target; its jobs and its cache are lost.
    pub(super) fn crash(&mut self, target: usize) {
        let jobs = self.targets[target].jobs();
        self.targets[target].is_up = false;
        self.targets[target].reset();
        for number in jobs {
            let relayed = self.jobs.get(&number).is_some_and(|job| job.has_begun);
            let caller = self.jobs.get(&number).map(|job| job.caller);
            self.fail_job(number, End::Interrupted { reason: "reset".into(), relayed });
            if let Some(caller) = caller.filter(|_| relayed) {
                self.complete(caller, Outcome::Failed);
            }
        }
    }

    /// Adds an engine, tells the oldest one to leave, and schedules the next
    /// replacement. `left` is the number of engines to replace.
    pub(super) fn replace_engine(&mut self, left: usize, interval: Span) {
        if left == 0 {
            return;
        }
        self.add_target(true);
        let engines = pool(true);
        let oldest =
            self.targets.iter().position(|t| t.pool == engines && t.is_up && !t.is_leaving);
        if let Some(oldest) = oldest {
            let target = &mut self.targets[oldest];
            target.is_leaving = true;
            let (name, row) = (Name::Target(target.id.clone()), target.row(Status::Leaving));
            self.store.put(name, Some(row));
            self.scheduler.schedule(LEAVE_TIME, Action::RemoveTarget(oldest));
        }
        self.scheduler.schedule(interval, Action::ReplaceEngine(left - 1, interval));
    }

    /// Unregisters a target and stops it.
    pub(super) fn remove_target(&mut self, target: usize) {
        let name = Name::Target(self.targets[target].id.clone());
        self.store.put(name, None);
        self.crash(target);
    }
}

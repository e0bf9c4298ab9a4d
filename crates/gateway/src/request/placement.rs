//! Places requests by the memory of engines and the speed of targets.

use briarshift_routing::room::{Memory, can_ever_hold};
use briarshift_routing::selection::{self, Candidate, Prompt};
use briarshift_routing::speed::{self, Loads};
use briarshift_wire::heartbeat::TargetHash;

use super::choice::Denied;
use super::pending::Pending;
use super::view::{Step, View};
use crate::{Context, target};

/// What is known for the placement of one request. By default nothing beyond the loads.
pub(super) struct Placement<'a> {
    ctx: &'a Context<'a>,
    view: &'a View<'a>,
    pending: &'a Pending,
    query: &'a target::Query<'a>,
    /// Memory of each engine of the pool, in tokens, if requests are placed by it.
    memory: Option<u64>,
    by_speed: bool,
}

impl<'a> Placement<'a> {
    /// Collects what is known. Speed counts where the deployment calls for it, or where a
    /// target states its own.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::TooLarge`] if no engine of the pool can ever hold the request.
    pub(super) fn new(
        step: &'a Step<'_, '_>,
        pending: &'a Pending,
        query: &'a target::Query<'a>,
        candidates: &[Candidate<'_>],
    ) -> Result<Self, Denied> {
        let Step { ctx, view, .. } = step;
        let pool = view.catalog.and_then(|catalog| catalog.pool(&pending.pool));
        let engine = pool.and_then(|pool| pool.engine).filter(|_| ctx.me.features.room);
        let memory = engine.map(|engine| engine.memory_tokens);
        let prompt = pending.shared_tokens() + pending.own_tokens();
        if memory.is_some_and(|size| !can_ever_hold(size, prompt)) {
            return Err(Denied::TooLarge);
        }
        let by_speed = ctx.me.features.room || view.targets.state_speed(candidates);
        Ok(Self { ctx, view, pending, query, memory, by_speed })
    }

    /// Returns true if the request is placed by speed.
    pub(super) fn by_speed(&self) -> bool {
        self.by_speed
    }

    /// Selects the engine for a prompt among those that can hold it. `cached` returns how
    /// many tokens of it an engine has cached.
    pub(super) fn select_engine<'c>(
        &self,
        candidates: &[Candidate<'c>],
        prompt: &Prompt,
        cached: impl Fn(&Candidate<'c>) -> u64,
    ) -> Option<usize> {
        let cost = |engine: &Candidate<'c>| {
            let memory = self.memory_of(engine, cached(engine));
            let holds = memory.is_none_or(|it| it.holds(self.pending.memory));
            holds.then(|| f64::from(engine.load + 1) * self.slowness(engine))
        };
        let bound = &self.ctx.me.bounds.engine_load;
        selection::select_engine_by(candidates, prompt, bound, &cached, cost, self.ctx.entropy)
    }

    /// Selects the target of a request without a prompt.
    pub(super) fn select_runner(&self, candidates: &[Candidate<'_>]) -> Option<usize> {
        let loads = match self.view.peers.uses_relays() {
            true => Loads::Old(self.view.peers.data_centre_share(self.ctx.me)),
            false => Loads::Recent,
        };
        let bound = &self.ctx.me.bounds.engine_load;
        let slowness = |runner: &Candidate<'_>| self.slowness(runner);
        let select = |runners: &[Candidate<'_>]| {
            speed::select_runner(runners, slowness, loads, bound, self.ctx.entropy)
        };
        let has_place = |runner: &&Candidate<'_>| self.has_place(runner);
        let open: Vec<_> = candidates.iter().filter(has_place).copied().collect();
        let selected = select(&open).map(|index| open[index].name);
        match selected {
            Some(name) => candidates.iter().position(|runner| runner.name == name),
            // Counts may be older than the answers that have ended since.
            None => select(candidates),
        }
    }

    /// Returns false if a target without memory to plan holds as many requests as it can.
    fn has_place(&self, runner: &Candidate<'_>) -> bool {
        let entry = self.view.targets.get_by_hash(TargetHash::of(runner.name));
        let places = entry.and_then(|(_, entry)| entry.places());
        !self.ctx.me.features.room || places.is_none_or(|places| runner.load < places)
    }

    /// Returns the free memory of an engine in tokens, if requests are placed by it.
    pub(super) fn room(&self, engine: &Candidate<'_>, cached: u64) -> Option<u64> {
        self.memory_of(engine, cached).map(|memory| memory.free(self.pending.memory))
    }

    /// Returns how many times longer than usual work takes at a target, if requests are
    /// placed by that.
    pub(super) fn known_slowness(&self, target: &Candidate<'_>) -> Option<f64> {
        self.by_speed.then(|| self.slowness(target))
    }

    fn slowness(&self, target: &Candidate<'_>) -> f64 {
        let entry = self.view.targets.get_by_hash(TargetHash::of(target.name));
        entry.map_or(1.0, |(_, entry)| entry.slowness(self.ctx.at))
    }

    fn memory_of(&self, engine: &Candidate<'_>, cached: u64) -> Option<Memory> {
        let size = self.memory.filter(|_| !self.pending.parts.is_empty())?;
        let hash = TargetHash::of(engine.name);
        let (_, entry) = self.view.targets.get_by_hash(hash)?;
        let parts = self.pending.shared_parts();
        let shared = self.view.cache.tokens_in_use(hash, parts, engine.load, self.ctx.at);
        let has_prompt = self.pending.shared_tokens() <= cached;
        Some(Memory { has_prompt, ..entry.memory(self.query, size, shared) })
    }
}

//! Second sends of late requests, and which of the two answers counts.
//!
//! The decisions are in [`briarshift_routing::hedge`]. A request that may be hedged waits
//! in an index by the time at which it will be late, so that a tick costs nothing while
//! none is due. The worker keeps the first whole answer, or the stream whose first event
//! comes first, and drops the other send in the same step; the reducer learns of the
//! winner only, and counts the other send as cancelled. A cancelled send says nothing
//! about its target's health.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::hedge::{
    Condition, Denial, Estimate, Waiting, Window, may_hedge, with_room,
};
use briarshift_routing::selection::{Candidate, has_room};
use briarshift_units::{Moment, PoolId, RequestId};
use briarshift_wire::heartbeat::TargetHash;

use super::choice::{Choice, choose_among};
use super::pending::{ActiveSend, Pending};
use super::state::{record_send, remove_send, send};
use super::view::{Step, View};
use super::{Decision, End, SendId, record, work};
use crate::limit::{
    HEDGE_LOG_INTERVAL, HEDGE_RETRY_INTERVAL, MAX_HEDGE_CANDIDATES, MAX_HEDGE_CHECKS,
    MAX_HEDGE_REREAD_TOKENS,
};
use crate::{Context, Effect, Output};

/// The pool and kind of requests that take equally long.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    pool: PoolId,
    is_stream: bool,
}

impl Class {
    fn of(pending: &Pending) -> Self {
        Self { pool: pending.pool.clone(), is_stream: pending.route.kind.is_stream() }
    }
}

/// How long answers take, and the requests that may have to be hedged.
#[derive(Debug, Default)]
pub(super) struct State {
    estimates: BTreeMap<Class, Estimate>,
    window: Window,
    /// Requests by the time at which they are considered for a hedge, also those that have
    /// ended before.
    due: BTreeSet<(Moment, RequestId)>,
    /// Requests that were not hedged, since the last log lines.
    denied: BTreeMap<Denial, u64>,
    logged_at: Moment,
}

impl State {
    /// Counts a request that arrived, for the limit on hedges.
    pub fn record_request(&mut self, ctx: &Context<'_>) {
        let policy = &ctx.me.bounds.hedge;
        if policy.is_on() {
            self.window.record_request(policy, ctx.at);
        }
    }

    /// Notes when a request that has just been sent will be late, if it may be hedged.
    pub fn schedule(&mut self, ctx: &Context<'_>, pending: &Pending) {
        let policy = &ctx.me.bounds.hedge;
        let Some(active) = &pending.active_send else { return };
        let may_run_twice = pending.route.kind.is_idempotent() && !pending.has_begun;
        if !policy.is_on() || !may_run_twice || attempts_left(pending) == 0 {
            return;
        }
        let estimate = self.estimates.get(&Class::of(pending));
        let late_after = estimate.and_then(|it| it.quantile(policy.quantile, ctx.at));
        if let Some(late_after) = late_after {
            self.insert(ctx.at + late_after, active.id.request, pending);
        }
    }

    /// Considers a request at this time, unless it has ended by then.
    fn insert(&mut self, at: Moment, request: RequestId, pending: &Pending) {
        if at < pending.deadline && self.due.len() < MAX_HEDGE_CANDIDATES {
            self.due.insert((at, request));
        }
    }

    /// Returns a request that is due.
    fn take_due(&mut self, now: Moment) -> Option<RequestId> {
        let (at, _) = self.due.first()?;
        if now < *at {
            return None;
        }
        self.due.pop_first().map(|(_, request)| request)
    }

    /// Records the time to the first event of a stream.
    pub fn record_answer(&mut self, ctx: &Context<'_>, pending: &Pending, active: &ActiveSend) {
        if let Some(estimate) = self.estimate(ctx, pending, active) {
            estimate.record_answer(ctx.at.since(active.at), ctx.at);
        }
    }

    /// Records that the answer to a send will not be known.
    pub fn record_unanswered(&mut self, ctx: &Context<'_>, pending: &Pending, active: &ActiveSend) {
        if active.answer_began {
            return;
        }
        if let Some(estimate) = self.estimate(ctx, pending, active) {
            estimate.record_unanswered(ctx.at.since(active.at), ctx.at);
        }
    }

    /// Records how long a send took, or that its answer will not be known.
    pub fn record_end(
        &mut self,
        ctx: &Context<'_>,
        pending: &Pending,
        active: &ActiveSend,
        end: &End,
    ) {
        match end {
            End::Complete { .. } if active.answer_began => {}
            End::Complete { .. } => self.record_answer(ctx, pending, active),
            End::Failed { .. }
            | End::Ambiguous { .. }
            | End::Interrupted { .. }
            | End::AnswerTimeout => {
                self.record_unanswered(ctx, pending, active);
            }
            End::NotSent { .. } | End::NotRun { .. } | End::ConfigExpired => {}
        }
    }

    /// Returns the estimate to which a send counts: only that of a request's first send,
    /// since later ones are mostly those of slow requests.
    fn estimate(
        &mut self,
        ctx: &Context<'_>,
        pending: &Pending,
        active: &ActiveSend,
    ) -> Option<&mut Estimate> {
        let is_used = ctx.me.bounds.hedge.is_on() && pending.route.kind.is_idempotent();
        let is_first = active.id.number == 1;
        (is_used && is_first).then(|| {
            self.estimates.entry(Class::of(pending)).or_insert_with(|| Estimate::new(ctx.at))
        })
    }

    /// Cancels the other send of a request whose answer counts from now on. The worker
    /// has closed its connection.
    pub fn settle(&mut self, step: &mut Step<'_, '_>, pending: &mut Pending, winner: &ActiveSend) {
        if winner.is_hedge {
            step.out.log(record::hedge_won(step.ctx, pending, winner));
        }
        let other = pending.active_sends().find(|send| send.id != winner.id).map(|send| send.id);
        let Some(cancelled) = other.and_then(|id| pending.take_send(id)) else { return };
        remove_send(step, pending, &cancelled);
        step.out.log(record::cancelled(step.ctx, pending, &cancelled, winner));
        self.record_unanswered(step.ctx, pending, &cancelled);
        pending.attempts += 1;
        pending.tried.push(cancelled.target);
    }

    /// Counts a request that is not hedged, and considers it again at `next` if that may
    /// change.
    fn deny(&mut self, request: RequestId, pending: &mut Pending, denial: Denial, next: Moment) {
        if pending.hedge_denial.replace(denial) != Some(denial) {
            *self.denied.entry(denial).or_default() += 1;
        }
        if denial.is_temporary() {
            self.insert(next, request, pending);
        }
    }

    /// Logs why requests were not hedged, and forgets pools that get no requests.
    fn log(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if ctx.at.since(self.logged_at) < HEDGE_LOG_INTERVAL {
            return;
        }
        self.logged_at = ctx.at;
        for (denial, count) in std::mem::take(&mut self.denied) {
            out.log(record::hedge_denied(denial, count));
        }
        self.estimates.retain(|_, estimate| !estimate.is_stale(ctx.at));
    }
}

impl super::State {
    /// Sends late requests a second time, as far as the operators' limit allows.
    pub fn tick_hedges(
        &mut self,
        ctx: &Context<'_>,
        view: &mut View<'_>,
        is_draining: bool,
        out: &mut Output,
    ) {
        if !ctx.me.bounds.hedge.is_on() {
            self.hedging.due.clear();
            return;
        }
        self.hedging.log(ctx, out);
        let step = &mut Step { ctx, view, out };
        let mut checks = 0;
        while checks < MAX_HEDGE_CHECKS
            && let Some(request) = self.hedging.take_due(ctx.at)
        {
            // Most requests have ended by then.
            if self.pending.contains_key(&request) {
                self.hedge(step, request, is_draining);
                checks += 1;
            }
        }
    }

    /// Sends a request a second time, unless something forbids that.
    fn hedge(&mut self, step: &mut Step<'_, '_>, request: RequestId, is_draining: bool) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let Some(first) = pending.active_send.clone() else { return };
        // The first event of a stream came in time.
        if pending.hedge.is_some() || pending.has_begun {
            return;
        }
        let ctx = step.ctx;
        let bounds = &ctx.me.bounds;
        let estimate = self.hedging.estimates.get(&Class::of(pending));
        let quantile = |quantile| estimate.and_then(|it| it.quantile(quantile, ctx.at));
        let condition = Condition {
            is_draining,
            is_fresh: step.view.freshness.is_fresh(ctx.at),
            late_after: quantile(bounds.hedge.quantile),
            typical: quantile(0.5),
            has_left: self.hedging.window.has_left(&bounds.hedge, ctx.at),
        };
        let choice = may_hedge(&waiting(step, pending, &first), &condition)
            .and_then(|()| choose_other(step, pending, &first));
        let window = self.windows.entry(pending.pool.clone()).or_default();
        let vms = step.view.peers.fleet_size();
        let choice = choice.and_then(|choice| {
            let may_retry = window.withdraw(&bounds.retry_budget, vms, ctx.at);
            if may_retry { Ok(choice) } else { Err(Denial::RetryBudget) }
        });
        let choice = match choice {
            Ok(choice) => choice,
            Err(denial) => {
                let late_at = condition.late_after.map(|after| first.at + after);
                let late_at = late_at.filter(|at| ctx.at < *at);
                let next = late_at.unwrap_or(ctx.at + HEDGE_RETRY_INTERVAL);
                return self.hedging.deny(request, pending, denial, next);
            }
        };
        pending.sends += 1;
        let id = SendId { request, number: pending.sends };
        let Some(send) = send(step, pending, &choice, id) else { return };
        self.hedging.window.withdraw(&bounds.hedge, ctx.at);
        let Choice { load, unread_tokens: backlog, .. } = choice;
        let target = choice.target.clone();
        let (at, answer_began, is_hedge) = (ctx.at, false, true);
        let work = work::Active { found_queue: choice.has_queue, ..work::Active::default() };
        let hedge = ActiveSend { id, target, backlog, at, answer_began, is_hedge, load, work };
        let late_after = condition.late_after.unwrap_or_default();
        step.out.log(record::hedged(ctx, pending, &first, &hedge, late_after));
        step.out.log(record::dispatched(step, pending, &choice, &send));
        record_send(step, pending, &choice);
        pending.hedge = Some(hedge);
        step.out.push(Effect::Decide { request, decision: Decision::Send(send) });
    }
}

/// Returns the number of targets that a request may still be sent to. The route's attempts
/// count targets, and each send may have reached another one.
fn attempts_left(pending: &Pending) -> u32 {
    let used = pending.attempts + pending.active_sends().count() as u32;
    pending.route.attempts.saturating_sub(used)
}

fn waiting(step: &Step<'_, '_>, pending: &Pending, first: &ActiveSend) -> Waiting {
    let is_suspect = pending.may_have_run || step.view.poison.is_suspect(&pending.arrival);
    Waiting {
        is_idempotent: pending.route.kind.is_idempotent(),
        has_begun: pending.has_begun,
        is_suspect,
        age: step.ctx.at.since(first.at),
        time_left: pending.deadline.since(step.ctx.at),
        attempts_left: attempts_left(pending),
    }
}

/// Chooses the target of a second send: one that no limit or pause holds back, that has
/// room, and that has cached what other prompts share with this one. It fetches nothing.
fn choose_other(
    step: &Step<'_, '_>,
    pending: &Pending,
    first: &ActiveSend,
) -> Result<Choice, Denial> {
    let Step { ctx, view, .. } = step;
    let mut tried = pending.tried.clone();
    tried.push(first.target.clone());
    let query = view.query(ctx, pending);
    let mut candidates = view.targets.candidates(&query, &pending.pool, &tried);
    candidates.retain(|candidate| {
        let entry = view.targets.get_by_hash(TargetHash::of(candidate.name));
        entry.is_some_and(|(_, entry)| entry.is_ready(ctx.at))
    });
    let mut candidates = with_room(candidates)?;
    let shared = pending.shared_tokens();
    let cached_by = |candidate: &Candidate<'_>| view.held_tokens(ctx, pending, candidate.name);
    candidates.retain(|it| shared.saturating_sub(cached_by(it)) <= MAX_HEDGE_REREAD_TOKENS);
    if candidates.is_empty() {
        return Err(Denial::Reread);
    }
    if !pending.parts.is_empty() {
        let prompt = pending.prompt(view.cache.popularity(pending.shared_parts(), ctx.at));
        if !has_room(&candidates, &prompt, &ctx.me.bounds.engine_load, cached_by) {
            return Err(Denial::NoTarget);
        }
    }
    let choice = choose_among(step, pending, &candidates).map_err(|_| Denial::NoTarget)?;
    let unread_tokens = pending.prompt_tokens().saturating_sub(choice.cached_tokens);
    Ok(Choice { fetch_from: None, unread_tokens, ..choice })
}

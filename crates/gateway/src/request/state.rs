//! All requests in progress, and the decisions on them.

use std::collections::{BTreeMap, HashMap};

use briarshift_routing::retry_window::Window;
use briarshift_units::{Moment, PoolId, RequestId, Span, TargetId};

use super::admit::admit;
use super::choice::{Choice, Denied, answer_deadline, choose};
use super::explain::{self, Answer, Question};
use super::hedge;
use super::pending::{ActiveSend, Pending};
use super::room::Rooms;
use super::view::{Step, View};
use super::{Arrival, Cause, Decision, End, Event, Refusal, Send, SendId, record, work};
use crate::limit::{
    MAX_UNREACHED, RETRY_AFTER_EVACUATED, RETRY_AFTER_LEAVING, RETRY_AFTER_NO_MEMORY,
    RETRY_AFTER_NO_ROOM, RETRY_AFTER_NO_TARGET, RETRY_AFTER_POISON, RETRY_AFTER_STALE,
    RETRY_AFTER_TURNED_AWAY, RETRY_AFTER_UNUSABLE, RETRY_SPREAD_DIVISOR,
};
use crate::target::Report;
use crate::{Context, Effect, Output};

/// All requests in progress.
#[derive(Debug, Default)]
pub struct State {
    pub(super) pending: HashMap<RequestId, Pending>,
    /// Recent requests and retries of each pool, which limit further retries.
    pub(super) windows: BTreeMap<PoolId, Window>,
    pub(super) hedging: hedge::State,
    /// Usage of pools by client accounts, and the requests that wait for room.
    pub(super) rooms: Rooms,
    work: work::State,
}

/// What to do after a send has ended.
enum Action {
    Finish,
    Retry,
    Deliver,
    Refuse(Cause),
}

impl State {
    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns true if no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Applies a worker's report.
    pub fn apply(
        &mut self,
        ctx: &Context<'_>,
        view: &mut View<'_>,
        event: Event,
        out: &mut Output,
    ) {
        let step = &mut Step { ctx, view, out };
        match event {
            Event::Arrived(arrival) => self.handle_arrival(step, &arrival),
            Event::AnswerBegan { id, report } => self.handle_answer_began(step, id, report),
            Event::Streamed { id, events } => {
                let pending = self.pending.get_mut(&id.request);
                if let Some(send) = pending.and_then(|pending| pending.send_mut(id)) {
                    send.work.events = Some(events);
                }
            }
            Event::SendEnded { id, end, report } => self.handle_send_ended(step, id, &end, report),
            Event::CallerLeft(request) => self.handle_caller_left(step, request),
        }
    }

    /// Explains where a request would go now. Changes nothing.
    pub fn explain(&self, ctx: &Context<'_>, view: &mut View<'_>, question: &Question) -> Answer {
        let step = Step { ctx, view, out: &mut Output::default() };
        let answer = explain::answer(&step, question);
        let pool = answer.pool.as_ref().and_then(|id| self.rooms.pools.get(id));
        Answer { waiting: pool.map_or(0, |pool| pool.queue.len()), ..answer }
    }

    /// Ends all requests because the process ends. Their callers are told that they may
    /// have run; a stream that has begun can only be broken off.
    pub fn end_all(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.rooms = Rooms::default();
        let mut pending: Vec<_> = std::mem::take(&mut self.pending).into_iter().collect();
        pending.sort_by_key(|(request, _)| *request);
        for (request, pending) in pending {
            out.log(record::cut_off(ctx, &pending));
            let refusal = Refusal { cause: Cause::Unknown, retry_after: None };
            let decision = match pending.holds_failure {
                true => Decision::Deliver,
                false => Decision::Refuse(refusal),
            };
            out.push(Effect::Decide { request, decision });
        }
    }

    fn handle_arrival(&mut self, step: &mut Step<'_, '_>, arrival: &Arrival) {
        let mut pending = match admit(step, arrival) {
            Ok(pending) => pending,
            Err(cause) => return refuse(step, arrival, cause, Span::ZERO),
        };
        if step.ctx.me.features.room {
            pending.memory = self.work.expected_memory(&pending);
        }
        let window = self.windows.entry(pending.pool.clone()).or_default();
        window.record_request(&step.ctx.me.bounds.retry_budget, step.ctx.at);
        self.hedging.record_request(step.ctx);
        self.pending.insert(arrival.request, pending);
        match step.ctx.me.features.fair_shares {
            true => self.enter(step, arrival.request),
            false => self.dispatch(step, arrival.request),
        }
    }

    /// Sends a request to a target, or refuses it.
    pub(super) fn dispatch(&mut self, step: &mut Step<'_, '_>, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        if pending.deadline <= step.ctx.at {
            return self.refuse_pending(step, request, Cause::Late);
        }
        if pending.has_account() && !step.view.freshness.is_fresh(step.ctx.at) {
            return self.refuse_pending(step, request, Cause::Stale);
        }
        let choice = match choose(step, pending) {
            Ok(choice) => choice,
            Err(denied) => {
                let (cause, wait) = denial(denied, step.ctx.at);
                return self.refuse_pending_after(step, request, cause, wait);
            }
        };
        pending.sends += 1;
        let id = SendId { request, number: pending.sends };
        let Some(send) = send(step, pending, &choice, id) else { return };
        step.out.log(record::dispatched(step, pending, &choice, &send));
        record_send(step, pending, &choice);
        let work = work::Active { found_queue: choice.has_queue, ..work::Active::default() };
        let Choice { target, unread_tokens: backlog, load, .. } = choice;
        let (at, answer_began, is_hedge) = (step.ctx.at, false, false);
        let active = ActiveSend { id, target, backlog, at, answer_began, is_hedge, load, work };
        pending.active_send = Some(active);
        self.hedging.schedule(step.ctx, pending);
        step.out.push(Effect::Decide { request, decision: Decision::Send(send) });
    }

    fn handle_answer_began(&mut self, step: &mut Step<'_, '_>, id: SendId, report: Option<Report>) {
        let Some(pending) = self.pending.get_mut(&id.request) else { return };
        let Some(active) = pending.send_mut(id) else { return };
        active.answer_began = true;
        active.work.began_at = Some(step.ctx.at);
        let backlog = std::mem::take(&mut active.backlog);
        let active = active.clone();
        pending.has_begun = true;
        step.view.poison.record_answer(&pending.arrival, step.out);
        let (targets, at) = (&mut *step.view.targets, step.ctx.at);
        targets.remove_backlog(&active.target, backlog);
        targets.record_answer(&active.target, true, at);
        if let Some(report) = report {
            let vms = step.view.peers.fleet_size();
            targets.set_report(step.ctx, &active.target, report, true, vms, step.out);
        }
        self.hedging.record_answer(step.ctx, pending, &active);
        self.hedging.settle(step, pending, &active);
    }

    fn handle_send_ended(
        &mut self,
        step: &mut Step<'_, '_>,
        id: SendId,
        end: &End,
        report: Option<Report>,
    ) {
        let request = id.request;
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let Some(active) = pending.take_send(id) else { return };
        remove_send(step, pending, &active);
        if let Some(report) = report {
            let ok = matches!(end, End::Complete { ok: true });
            let vms = step.view.peers.fleet_size();
            step.view.targets.set_report(step.ctx, &active.target, report, ok, vms, step.out);
        }
        record_end(step, pending, &active, end, report);
        self.work.record_end(step, pending, &active, end);
        let pool = pending.pool.clone();
        if step.ctx.me.features.fair_shares {
            self.rooms.learn(step, pending, &active, end);
        }
        pending.record_end(&active, end);
        if matches!(end, End::Complete { ok: true }) {
            step.view.poison.record_completion(&pending.arrival, step.out);
        }
        step.out.log(record::ended(step.ctx, pending, &active, end));
        self.hedging.record_end(step.ctx, pending, &active, end);
        if matches!(end, End::Complete { .. }) && !active.answer_began {
            self.hedging.settle(step, pending, &active);
        }
        // The other send may still be answered.
        if pending.active_send.is_some() {
            return self.release(step, &pool, 1);
        }
        match self.next_action(step, request, end) {
            Action::Finish => {
                self.pending.remove(&request);
            }
            Action::Retry => self.dispatch(step, request),
            Action::Deliver => {
                self.pending.remove(&request);
                step.out.push(Effect::Decide { request, decision: Decision::Deliver });
            }
            Action::Refuse(cause) => self.refuse_pending(step, request, cause),
        }
        self.release(step, &pool, 1);
    }

    fn next_action(&mut self, step: &Step<'_, '_>, request: RequestId, end: &End) -> Action {
        let Some(pending) = self.pending.get(&request) else { return Action::Finish };
        let is_idempotent = pending.route.kind.is_idempotent();
        let is_expired = pending.deadline <= step.ctx.at;
        let unreached = pending.sends - pending.attempts;
        match end {
            End::Complete { .. } => Action::Finish,
            End::NotSent { .. } | End::ConfigExpired if unreached <= MAX_UNREACHED => Action::Retry,
            End::NotSent { .. } | End::ConfigExpired => Action::Refuse(Cause::NoTarget),
            End::NotRun { .. } if self.take_retry(step, request) => Action::Retry,
            End::NotRun { .. } => Action::Refuse(Cause::TurnedAway),
            _ if is_idempotent && self.take_retry(step, request) => Action::Retry,
            End::Failed { .. } => Action::Deliver,
            End::Ambiguous { .. } => Action::Refuse(Cause::Unknown),
            End::Interrupted { .. } | End::AnswerTimeout if is_expired => {
                Action::Refuse(Cause::TimedOut)
            }
            End::Interrupted { .. } | End::AnswerTimeout => Action::Refuse(Cause::Unknown),
        }
    }

    /// Returns true if a request may be sent to one more target, and takes the
    /// retry out of the budget in that case.
    fn take_retry(&mut self, step: &Step<'_, '_>, request: RequestId) -> bool {
        let Some(pending) = self.pending.get(&request) else { return false };
        let is_poison = step.view.poison.is_poison(&pending.arrival, step.ctx.at);
        if !pending.may_attempt(step.ctx.at) || is_poison {
            return false;
        }
        let window = self.windows.entry(pending.pool.clone()).or_default();
        window.withdraw(&step.ctx.me.bounds.retry_budget, step.view.peers.fleet_size(), step.ctx.at)
    }

    fn handle_caller_left(&mut self, step: &mut Step<'_, '_>, request: RequestId) {
        let Some(pending) = self.pending.remove(&request) else { return };
        step.out.log(record::caller_left(step.ctx, &pending));
        self.rooms.remove(&pending.pool, request);
        let mut sends = 0;
        for active in pending.active_sends() {
            remove_send(step, &pending, active);
            self.hedging.record_unanswered(step.ctx, &pending, active);
            sends += 1;
        }
        if 0 < sends {
            self.release(step, &pending.pool, sends);
        }
    }

    pub(super) fn refuse_pending(
        &mut self,
        step: &mut Step<'_, '_>,
        request: RequestId,
        cause: Cause,
    ) {
        self.refuse_pending_after(step, request, cause, Span::ZERO);
    }

    /// Refuses a request. The caller should wait at least for `wait` before it sends it
    /// again.
    pub(super) fn refuse_pending_after(
        &mut self,
        step: &mut Step<'_, '_>,
        request: RequestId,
        cause: Cause,
        wait: Span,
    ) {
        let Some(pending) = self.pending.remove(&request) else { return };
        // A target's own failure answer is more informative than a refusal.
        if pending.holds_failure {
            return step.out.push(Effect::Decide { request, decision: Decision::Deliver });
        }
        // A request that a target may have run must not be reported as not run.
        let cause = match cause {
            Cause::Late if pending.may_have_run => Cause::TimedOut,
            cause if pending.may_have_run && cause.is_not_run() => Cause::Unknown,
            cause => cause,
        };
        refuse(step, &pending.arrival, cause, wait);
    }
}

/// Builds the send for a worker. Returns `None` if the target is not known.
pub(super) fn send(
    step: &Step<'_, '_>,
    pending: &Pending,
    choice: &Choice,
    id: SendId,
) -> Option<Send> {
    let Step { ctx, view, .. } = step;
    let pool = view.catalog.and_then(|catalog| catalog.pool(&pending.pool));
    let connections = pool.map_or(u32::MAX, |pool| pool.max_connections);
    Some(Send {
        id,
        target: choice.target.clone(),
        address: view.targets.get(&choice.target)?.target.address,
        is_repeated: pending.tried.contains(&choice.target),
        pool: pending.pool.clone(),
        kind: pending.route.kind,
        deadline: pending.deadline,
        answer_deadline: answer_deadline(ctx, pending),
        config_expires_at: if pending.has_account() { view.freshness.expires_at() } else { None },
        account: pending.account.as_ref().map(|account| account.name.clone()),
        priority: pending.priority(),
        fetch_from: choice.fetch_from.as_ref().map(|holder| holder.address),
        max_connections: (connections / view.peers.fleet_size() as u32).max(1),
        is_hedge: pending.active_send.is_some(),
    })
}

/// Adds a request to the load and the cache of its target.
pub(super) fn record_send(step: &mut Step<'_, '_>, pending: &Pending, choice: &Choice) {
    let view = &mut *step.view;
    let vms = view.peers.fleet_size();
    view.targets.record_send(&choice.target, choice.unread_tokens, vms, step.ctx.at);
    view.targets.add_memory(&choice.target, pending.memory);
    let pool = view.catalog.and_then(|catalog| catalog.pool(&pending.pool));
    let memory = pool.and_then(|pool| pool.engine).map(|engine| engine.memory_tokens);
    if let Some(entry) = view.targets.get(&choice.target) {
        view.cache.record_send(entry.hash, pending.shared_parts(), memory, step.ctx.at);
    }
}

/// Removes a send that has ended, or that nobody waits for, from the load of its target.
pub(super) fn remove_send(step: &mut Step<'_, '_>, pending: &Pending, send: &ActiveSend) {
    step.view.targets.remove_request(&send.target, send.backlog);
    step.view.targets.remove_memory(&send.target, pending.memory);
}

/// Records what the end of a send shows about the target.
fn record_end(
    step: &mut Step<'_, '_>,
    pending: &Pending,
    active: &ActiveSend,
    end: &End,
    report: Option<Report>,
) {
    let asks_for_pause = report.is_some_and(|report| report.pause.is_some());
    let (target, at) = (&active.target, step.ctx.at);
    let targets = &mut *step.view.targets;
    match end {
        End::Complete { ok } => targets.record_answer(target, *ok, at),
        End::NotRun { moved: true, .. } => targets.mark_moved(target, at),
        // A target that asks for a pause is not ill.
        End::NotRun { .. } if asks_for_pause => {}
        End::Failed { .. } | End::Ambiguous { .. } | End::NotRun { .. } => {
            targets.record_answer(target, false, at);
        }
        End::NotSent { .. } | End::AnswerTimeout => {
            targets.record_unreachable(target, at);
            if targets.has_interrupted(target, at) {
                check_target(step, target);
            }
            let targets = &mut *step.view.targets;
            let is_silent = matches!(end, End::AnswerTimeout);
            targets.record_failure(step.ctx, target, is_silent, step.out);
        }
        End::Interrupted { .. } => {
            targets.record_interruption(target, pending.interruption(active, at));
            check_target(step, target);
        }
        End::ConfigExpired => {}
    }
}

/// Asks whether a target's process is gone, which shows that it crashed.
fn check_target(step: &mut Step<'_, '_>, target: &TargetId) {
    if let Some(entry) = step.view.targets.get(target) {
        let (target, address) = (target.clone(), entry.target.address);
        step.out.push(Effect::CheckTarget { target, address });
    }
}

fn refuse(step: &mut Step<'_, '_>, arrival: &Arrival, cause: Cause, wait: Span) {
    let retry_after = retry_after(cause, wait, step.ctx.entropy);
    let refusal = Refusal { cause, retry_after };
    step.out.log(record::refused(step, arrival, &refusal));
    step.out.push(Effect::Decide { request: arrival.request, decision: Decision::Refuse(refusal) });
}

/// Returns why a request that no target can get is refused, and how long its caller
/// should wait at least.
pub(super) fn denial(denied: Denied, now: Moment) -> (Cause, Span) {
    match denied {
        Denied::NoTarget => (Cause::NoTarget, Span::ZERO),
        Denied::Evacuated => (Cause::Evacuated, Span::ZERO),
        Denied::NoMemory => (Cause::NoMemory, Span::ZERO),
        Denied::TooLarge => (Cause::TooLarge, Span::ZERO),
        Denied::Limited(until) => (Cause::TurnedAway, until.since(now)),
    }
}

/// Returns how long the caller should wait, at least for `wait`, randomized so that
/// callers do not all return at once.
pub(super) fn retry_after(cause: Cause, wait: Span, entropy: u64) -> Option<Span> {
    let base = match cause {
        Cause::NotReady | Cause::Stale => RETRY_AFTER_STALE,
        Cause::Leaving => RETRY_AFTER_LEAVING,
        Cause::NoTarget => RETRY_AFTER_NO_TARGET,
        Cause::Evacuated => RETRY_AFTER_EVACUATED,
        Cause::TurnedAway => RETRY_AFTER_TURNED_AWAY,
        Cause::NoRoom | Cause::OverShare => RETRY_AFTER_NO_ROOM,
        Cause::NoMemory => RETRY_AFTER_NO_MEMORY,
        Cause::Unusable => RETRY_AFTER_UNUSABLE,
        Cause::Poison => RETRY_AFTER_POISON,
        _ => return None,
    };
    let wait = base.max(wait);
    let spread = base.0 + wait.0 / RETRY_SPREAD_DIVISOR;
    Some(Span(wait.0.saturating_add(entropy % spread.max(1))))
}

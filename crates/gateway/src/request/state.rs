//! All requests under way, and what is done with each.

use std::collections::{BTreeMap, HashMap};

use briarshift_routing::retry_window::Window;
use briarshift_units::{PoolId, RequestId, Span};

use super::admit::admit;
use super::choice::{Choice, choose, patience};
use super::flight::{Flight, Sent};
use super::view::{Turn, View};
use super::{Arrival, Cause, Decision, End, Event, Refusal, Send, SendId, line};
use crate::limit::{
    MAX_UNSENT_SENDS, RETRY_AFTER_LEAVING, RETRY_AFTER_NO_TARGET, RETRY_AFTER_POISON,
    RETRY_AFTER_STALE, RETRY_AFTER_TURNED_AWAY,
};
use crate::target::Report;
use crate::{Context, Effect, Output};

/// All requests under way.
#[derive(Debug, Default)]
pub struct State {
    flights: HashMap<RequestId, Flight>,
    windows: BTreeMap<PoolId, Window>,
}

/// What follows a send.
enum Next {
    Over,
    Again,
    Deliver,
    Refuse(Cause),
}

impl State {
    /// Number of requests under way.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Applies what a worker told.
    pub fn apply(
        &mut self,
        ctx: &Context<'_>,
        view: &mut View<'_>,
        event: Event,
        out: &mut Output,
    ) {
        let turn = &mut Turn { ctx, view, out };
        match event {
            Event::Arrived(arrival) => self.arrived(turn, &arrival),
            Event::AnswerBegan { id, report } => self.begun(turn, id, report),
            Event::SendEnded { id, end, report } => self.ended(turn, id, &end, report),
            Event::CallerLeft(request) => self.gone(turn, request),
        }
    }

    fn arrived(&mut self, turn: &mut Turn<'_, '_>, arrival: &Arrival) {
        let flight = match admit(turn, arrival) {
            Ok(flight) => flight,
            Err(cause) => return refuse(turn, arrival, cause),
        };
        let window = self.windows.entry(flight.pool.clone()).or_default();
        window.record_request(&turn.ctx.me.bounds.retry_budget, turn.ctx.at);
        self.flights.insert(arrival.request, flight);
        self.place(turn, arrival.request);
    }

    /// Sends a request to a target, or refuses it.
    fn place(&mut self, turn: &mut Turn<'_, '_>, request: RequestId) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        if flight.until <= turn.ctx.at {
            return self.give_up(turn, request, Cause::Late);
        }
        if flight.is_keyed() && !turn.view.fence.is_fresh(turn.ctx.at) {
            return self.give_up(turn, request, Cause::Stale);
        }
        let Some(choice) = choose(turn, flight) else {
            return self.give_up(turn, request, Cause::NoTarget);
        };
        flight.sends += 1;
        let id = SendId { request, number: flight.sends };
        let Some(send) = send(turn, flight, &choice, id) else { return };
        turn.out.log(line::placed(turn, flight, &choice, &send));
        count(turn, flight, &choice);
        let (target, backlog) = (choice.target, choice.unread);
        flight.sent = Some(Sent { id, target, backlog, at: turn.ctx.at, begun: false });
        turn.out.push(Effect::Decide { request, decision: Decision::Send(send) });
    }

    fn begun(&mut self, turn: &mut Turn<'_, '_>, id: SendId, report: Option<Report>) {
        let Some(sent) = self.sent(id) else { return };
        sent.begun = true;
        let backlog = std::mem::take(&mut sent.backlog);
        let (targets, at) = (&mut *turn.view.targets, turn.ctx.at);
        targets.begun(&sent.target, backlog);
        targets.answered(&sent.target, true, at);
        if let Some(report) = report {
            targets.reported(&sent.target, report, at);
        }
    }

    fn ended(&mut self, turn: &mut Turn<'_, '_>, id: SendId, end: &End, report: Option<Report>) {
        if self.sent(id).is_none() {
            return;
        }
        let request = id.request;
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let Some(sent) = flight.sent.take() else { return };
        turn.view.targets.left(&sent.target, sent.backlog);
        if let Some(report) = report {
            turn.view.targets.reported(&sent.target, report, turn.ctx.at);
        }
        learn(turn, flight, &sent, end);
        flight.ended(&sent, end);
        turn.out.log(line::ended(turn.ctx, flight, &sent, end));
        match self.next(turn, request, end) {
            Next::Over => {
                self.flights.remove(&request);
            }
            Next::Again => self.place(turn, request),
            Next::Deliver => {
                self.flights.remove(&request);
                turn.out.push(Effect::Decide { request, decision: Decision::Deliver });
            }
            Next::Refuse(cause) => self.give_up(turn, request, cause),
        }
    }

    fn next(&mut self, turn: &Turn<'_, '_>, request: RequestId, end: &End) -> Next {
        let Some(flight) = self.flights.get(&request) else { return Next::Over };
        let is_idempotent = flight.route.kind.is_idempotent();
        let is_late = flight.until <= turn.ctx.at;
        let misses = flight.sends - flight.attempts;
        match end {
            End::Complete { .. } => Next::Over,
            End::NotSent { .. } | End::Fenced if misses <= MAX_UNSENT_SENDS => Next::Again,
            End::NotSent { .. } | End::Fenced => Next::Refuse(Cause::NoTarget),
            End::NotRun { .. } if self.may_repeat(turn, request) => Next::Again,
            End::NotRun { .. } => Next::Refuse(Cause::TurnedAway),
            _ if is_idempotent && self.may_repeat(turn, request) => Next::Again,
            End::Failed { .. } => Next::Deliver,
            End::Interrupted { .. } | End::AnswerTimeout if is_late => {
                Next::Refuse(Cause::TimedOut)
            }
            End::Interrupted { .. } | End::AnswerTimeout => Next::Refuse(Cause::Unknown),
        }
    }

    /// Whether a request may be sent to one more target, and takes the repeat
    /// from the budget if so.
    fn may_repeat(&mut self, turn: &Turn<'_, '_>, request: RequestId) -> bool {
        let Some(flight) = self.flights.get(&request) else { return false };
        let is_poison = turn.view.poison.is_poison(flight.arrival.fingerprint);
        if !flight.has_attempt(turn.ctx.at) || is_poison {
            return false;
        }
        let window = self.windows.entry(flight.pool.clone()).or_default();
        window.withdraw(&turn.ctx.me.bounds.retry_budget, turn.view.peers.vms(), turn.ctx.at)
    }

    fn gone(&mut self, turn: &mut Turn<'_, '_>, request: RequestId) {
        let Some(flight) = self.flights.remove(&request) else { return };
        turn.out.log(line::left(turn.ctx, &flight));
        if let Some(sent) = flight.sent {
            turn.view.targets.left(&sent.target, sent.backlog);
        }
    }

    fn give_up(&mut self, turn: &mut Turn<'_, '_>, request: RequestId, cause: Cause) {
        let Some(flight) = self.flights.remove(&request) else { return };
        // A target's own answer says more than any refusal.
        if flight.failed {
            return turn.out.push(Effect::Decide { request, decision: Decision::Deliver });
        }
        // What a target may have run is never called not run.
        let cause = match cause {
            Cause::Late if flight.maybe_ran => Cause::TimedOut,
            cause if flight.maybe_ran && cause.is_not_run() => Cause::Unknown,
            cause => cause,
        };
        refuse(turn, &flight.arrival, cause);
    }

    fn sent(&mut self, id: SendId) -> Option<&mut Sent> {
        let sent = self.flights.get_mut(&id.request)?.sent.as_mut()?;
        (sent.id == id).then_some(sent)
    }
}

/// What a worker is told to send; `None` if the target is not known.
fn send(turn: &Turn<'_, '_>, flight: &Flight, choice: &Choice, id: SendId) -> Option<Send> {
    let Turn { ctx, view, .. } = turn;
    let pool = view.catalog.and_then(|catalog| catalog.pool(&flight.pool));
    let connections = pool.map_or(u32::MAX, |pool| pool.max_connections);
    Some(Send {
        id,
        target: choice.target.clone(),
        address: view.targets.get(&choice.target)?.target.address,
        pool: flight.pool.clone(),
        kind: flight.route.kind,
        deadline: flight.until,
        answer_deadline: patience(ctx, flight),
        fence: if flight.is_keyed() { view.fence.expires_at() } else { None },
        account: flight.account.as_ref().map(|account| account.id.clone()),
        priority: flight.priority(),
        fetch_from: choice.fetch.as_ref().map(|holder| holder.address),
        max_connections: (connections / view.peers.vms() as u32).max(1),
    })
}

/// Counts a request where it goes.
fn count(turn: &mut Turn<'_, '_>, flight: &Flight, choice: &Choice) {
    let view = &mut *turn.view;
    view.targets.sent(&choice.target, choice.unread);
    let pool = view.catalog.and_then(|catalog| catalog.pool(&flight.pool));
    let memory = pool.and_then(|pool| pool.engine).map(|engine| engine.memory_tokens);
    if let Some(entry) = view.targets.get(&choice.target) {
        view.cache.sent(entry.mark, flight.shared(), memory, turn.ctx.at);
    }
}

/// What the end of a send says of the target.
fn learn(turn: &mut Turn<'_, '_>, flight: &Flight, sent: &Sent, end: &End) {
    let (target, at) = (&sent.target, turn.ctx.at);
    let targets = &mut *turn.view.targets;
    match end {
        End::Complete { ok } => targets.answered(target, *ok, at),
        End::NotRun { moved: true, .. } => targets.moved(target, at),
        End::Failed { .. } | End::NotRun { .. } => targets.answered(target, false, at),
        End::NotSent { .. } | End::AnswerTimeout => {
            for strike in targets.unreachable(target, at) {
                turn.view.poison.strike(turn.ctx, strike, turn.out);
            }
        }
        End::Interrupted { .. } => {
            targets.broke(target, flight.arrival.fingerprint, at);
            if let Some(entry) = targets.get(target) {
                let (target, address) = (target.clone(), entry.target.address);
                turn.out.push(Effect::CheckTarget { target, address });
            }
        }
        End::Fenced => {}
    }
}

fn refuse(turn: &mut Turn<'_, '_>, arrival: &Arrival, cause: Cause) {
    let retry_after = retry_after(cause, turn.ctx.entropy);
    let refusal = Refusal { cause, retry_after };
    turn.out.log(line::refused(turn, arrival, &refusal));
    turn.out.push(Effect::Decide { request: arrival.request, decision: Decision::Refuse(refusal) });
}

/// When to come back, spread so that not all come back at once.
fn retry_after(cause: Cause, entropy: u64) -> Option<Span> {
    let base = match cause {
        Cause::NotReady | Cause::Stale => RETRY_AFTER_STALE,
        Cause::Leaving => RETRY_AFTER_LEAVING,
        Cause::NoTarget => RETRY_AFTER_NO_TARGET,
        Cause::TurnedAway => RETRY_AFTER_TURNED_AWAY,
        Cause::Poison => RETRY_AFTER_POISON,
        _ => return None,
    };
    Some(Span(base.0 + entropy % base.0.max(1)))
}

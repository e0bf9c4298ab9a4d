//! Requests in flight on this VM, from their arrival until an attempt is sent.

use std::collections::BTreeMap;

use briarshift_routing::retry::Budget;
use briarshift_routing::token::Token;
use briarshift_settings::{Document, Priority};
use briarshift_units::{Fingerprint, PoolId, RequestId, Span};
use briarshift_wire::reservation::Denial;

use super::in_flight::{Class, Request, TrialState};
use super::resolve::{authenticate, fingerprint, resolve};
use super::{Arrival, Decision, Event, Outcome, Reason, Refusal, Send, Tokens};
use crate::poison::Status;
use crate::usage::Return;
use crate::{Context, Effect, Output, Record, Signal, booking, poison, reservation, target};

/// `Retry-After` of refusals for temporary reasons.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Maximum age of a claim when its booking is sent. A VM that was paused in
/// between must not send a booking that its caller has given up on.
const MAX_CLAIM_AGE: Span = Span::from_secs(15);

/// The state of other components that requests depend on.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The document in force, if any.
    pub document: Option<&'a Document>,
    /// The targets and their loads.
    pub targets: &'a target::State,
    /// The crashes recorded for fingerprints.
    pub poison: &'a poison::State,
}

/// Requests in flight on this VM.
#[derive(Debug, Default)]
pub struct State {
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) budgets: BTreeMap<PoolId, Budget>,
    draining: bool,
}

impl State {
    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns true if the VM is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Refuses all new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Applies a worker's event.
    pub fn apply(&mut self, ctx: &Context<'_>, view: View<'_>, event: Event, out: &mut Output) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(ctx, view, &arrival, out),
            Event::Ended { id, end } => self.attempt_ended(ctx, view, id, end, out),
            Event::CallerLeft(request) => self.caller_left(request, out),
        }
    }

    /// Handles the decision about a reservation.
    pub fn handle_reservation(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        decision: reservation::Decision,
        out: &mut Output,
    ) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else {
            out.signal(Signal::Release(id));
            return;
        };
        match decision.result {
            Ok(target) => {
                request.target = Some(target);
                request.reserved_at.get_or_insert(ctx.at);
                let unclaimed = request.claimed_at.is_none();
                match request.booking().filter(|_| unclaimed) {
                    Some(booking) => {
                        request.claimed_at = Some(ctx.at);
                        out.signal(Signal::Claim(booking));
                    }
                    None => self.send(ctx, view, id, out),
                }
            }
            Err(denial) => {
                let reason = match denial {
                    Denial::Empty => Reason::NoTarget,
                    Denial::Full | Denial::NotAdmitting => Reason::Full,
                    Denial::Limit { retry_after_ms } => {
                        Reason::Limit(Span::from_millis(u64::from(retry_after_ms)))
                    }
                };
                self.deny(id, reason, out);
            }
        }
    }

    /// Handles the decision about a booking's claim.
    pub fn handle_claim(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        decision: booking::Decision,
        out: &mut Output,
    ) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else {
            if decision.status == booking::Status::Claimed {
                out.signal(Signal::DropClaim(id));
            }
            return;
        };
        if decision.status == booking::Status::Claimed {
            self.send(ctx, view, id, out);
            return;
        }
        request.claimed_at = None;
        match decision.status {
            booking::Status::Claimed => {}
            // The booking won't run here, so its reservation is released.
            booking::Status::Pending => release(request, out),
            booking::Status::Completed(response) => {
                self.remove(id, out);
                out.log(Record::new("replayed").with("request", id));
                let decision = Decision::Replay(response);
                out.push(Effect::Decide { request: id, decision });
            }
            booking::Status::ResponseLost => {
                self.remove(id, out);
                refuse(id, Reason::ResponseLost, Outcome::Ran, out);
            }
            booking::Status::Unknown => {
                request.may_have_run = true;
                self.give_up(id, Reason::OutcomeUnknown, out);
            }
            booking::Status::KeyReused => self.give_up(id, Reason::KeyReused, out),
            booking::Status::Unavailable => self.give_up(id, Reason::ClaimFailed, out),
            booking::Status::Unclaimed => {
                let reason = request.denial_reason.take().unwrap_or(Reason::Full);
                self.give_up(id, reason, out);
            }
        }
    }

    /// Handles the decision about a suspect request's trial.
    pub fn handle_trial(&mut self, view: View<'_>, decision: poison::Decision, out: &mut Output) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else {
            out.signal(Signal::EndTrial(id));
            return;
        };
        match decision.target {
            Ok(target) => {
                let budget = self.budgets.entry(request.pool.clone()).or_default();
                if let Some(reason) = request.denial_reason.take().filter(|_| !budget.withdraw()) {
                    self.give_up(id, reason, out);
                    return;
                }
                let pool = view.targets.all().filter(|row| row.pool == request.pool);
                let others = pool.filter(|row| row.id != target);
                request.avoid = others.map(|row| row.id.clone()).collect();
                request.trial_state = TrialState::Granted(target);
                out.signal(Signal::Reserve(request.requirements()));
            }
            Err(poison::Denial::Refused) => self.deny(id, Reason::Poison, out),
            Err(poison::Denial::TimedOut) => self.deny(id, Reason::Suspect, out),
        }
    }

    /// Handles a new crash of a fingerprint: requests with this fingerprint that
    /// are running count as its trials.
    pub fn handle_crash(&mut self, fingerprint: Fingerprint, out: &mut Output) {
        let copies =
            self.requests.values_mut().filter(|request| request.fingerprint == fingerprint);
        for request in copies.filter(|request| request.trial_state == TrialState::NotNeeded) {
            let Some(target) = request.target.clone().filter(|_| request.sent_at.is_some()) else {
                continue;
            };
            request.trial_state = TrialState::Granted(target.clone());
            out.signal(Signal::RequestTrial(request.trial(Some(target))));
        }
    }

    fn handle_arrival(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        arrival: &Arrival,
        out: &mut Output,
    ) {
        match self.validate(ctx, view, arrival) {
            Ok(request) => {
                self.requests.insert(arrival.request, request);
                self.request_reservation(ctx, view, arrival.request, out);
            }
            Err(reason) => refuse(arrival.request, reason, Outcome::NotRun, out),
        }
    }

    fn validate(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        arrival: &Arrival,
    ) -> Result<Request, Reason> {
        if self.draining {
            return Err(Reason::Draining);
        }
        let document = view.document.ok_or(Reason::NotReady)?;
        let account = authenticate(document, arrival.credential)?;
        let resolved = resolve(ctx, document, account, &arrival.work)?;
        let pool = resolved.pool;
        self.budgets.entry(pool.id.clone()).or_default().deposit(pool.retry_share);
        Ok(Request {
            id: arrival.request,
            account: account.id.clone(),
            owner: account.owner.clone(),
            pool: pool.id.clone(),
            class: resolved.class,
            fingerprint: fingerprint(&account.id, arrival.digest),
            digest: arrival.digest,
            overnight: account.priority == Priority::Overnight,
            max_duration: resolved.max_duration,
            arrived_at: ctx.at,
            reserved_at: None,
            attempt: 0,
            target: None,
            sent_at: None,
            avoid: Vec::new(),
            trial_state: TrialState::NotNeeded,
            claimed_at: None,
            denial_reason: None,
            may_have_run: false,
            resumes: 0,
            caller_left: false,
        })
    }

    /// Asks for a reservation, or for a trial first if the request is suspect.
    pub(super) fn request_reservation(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: RequestId,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match view.poison.status(ctx, request.fingerprint) {
            Status::Clean => out.signal(Signal::Reserve(request.requirements())),
            Status::Suspect => request_trial(request, out),
            Status::Refused => self.deny(id, Reason::Poison, out),
        }
    }

    /// Sends an attempt to the target that the request has a reservation on.
    fn send(&mut self, ctx: &Context<'_>, view: View<'_>, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.claimed_at.is_some_and(|at| MAX_CLAIM_AGE < ctx.at.since(at)) {
            self.give_up(id, Reason::ClaimFailed, out);
            return;
        }
        let clean = view.poison.status(ctx, request.fingerprint) == Status::Clean;
        if !clean && request.trial_state == TrialState::NotNeeded {
            release(request, out);
            self.request_reservation(ctx, view, id, out);
            return;
        }
        let target = request.target.as_ref().and_then(|target| view.targets.get(target));
        let Some(target) = target else {
            self.give_up(id, Reason::NoTarget, out);
            return;
        };
        request.attempt += 1;
        request.sent_at = Some(ctx.at);
        request.resumes = 0;
        let chat = match &request.class {
            Class::Chat { chat, .. } => Some(*chat),
            _ => None,
        };
        let token = chat.map(|chat| {
            let token = Token { chat, target: target.id.clone(), start: target.start() };
            token.sign(&ctx.me.token_key, &request.account).into()
        });
        let line = Record::new("route").with("request", id).with("account", &request.account);
        let line = line.with("pool", &request.pool).with("target", &target.id);
        out.log(line.with("attempt", request.attempt));
        let send = Send {
            id: request.attempt(),
            target: target.id.clone(),
            address: target.address,
            chat,
            token,
            overnight: request.overnight,
            buffered: request.is_booking(),
            send_by: request.claimed_at.map(|at| at + MAX_CLAIM_AGE),
        };
        out.push(Effect::Decide { request: id, decision: Decision::Send(send) });
    }

    /// Refuses a request that waits for a reservation or a trial. If it is a
    /// booking that can't have run yet, its key is looked up first, because its
    /// response may be stored, and because a resend must not be answered with
    /// "not run" if the first request may have run.
    pub(super) fn deny(&mut self, id: RequestId, reason: Reason, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let unclaimed = request.claimed_at.is_none() && !request.may_have_run;
        let Some(booking) = request.booking().filter(|_| unclaimed) else {
            self.give_up(id, reason, out);
            return;
        };
        request.denial_reason = Some(reason);
        release(request, out);
        out.signal(Signal::LookUpClaim(booking));
    }

    /// Removes a request and refuses it.
    pub(super) fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Output) {
        let Some(request) = self.remove(id, out) else { return };
        if request.claimed_at.is_some() && !request.may_have_run {
            out.signal(Signal::DropClaim(id));
        }
        let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        let mut sample = request.sample(Span::ZERO, Tokens::default());
        sample.refused = true;
        sample.returning = Return::NotReturning;
        out.signal(Signal::CountUsage(sample));
        refuse(id, reason, outcome, out);
    }

    /// Removes a request and releases all that it holds.
    pub(super) fn remove(&mut self, id: RequestId, out: &mut Output) -> Option<Request> {
        let mut request = self.requests.remove(&id)?;
        release(&mut request, out);
        Some(request)
    }
}

/// Releases a request's reservation and ends its trial.
pub(super) fn release(request: &mut Request, out: &mut Output) {
    request.target = None;
    request.sent_at = None;
    out.signal(Signal::Release(request.id));
    if std::mem::replace(&mut request.trial_state, TrialState::NotNeeded) != TrialState::NotNeeded {
        out.signal(Signal::EndTrial(request.id));
    }
}

/// Requests a trial for a suspect request.
pub(super) fn request_trial(request: &mut Request, out: &mut Output) {
    request.trial_state = TrialState::Waiting;
    out.signal(Signal::RequestTrial(request.trial(None)));
}

fn refuse(request: RequestId, reason: Reason, outcome: Outcome, out: &mut Output) {
    let line = Record::new("refused").with("request", request).with("code", reason.code());
    out.log(line.with("outcome", outcome));
    let retry_after = match reason {
        Reason::Limit(wait) => Some(wait),
        _ => matches!(reason.status(), 409 | 429 | 503).then_some(RETRY_AFTER),
    };
    let decision = Decision::Refuse(Refusal { reason, outcome, retry_after });
    out.push(Effect::Decide { request, decision });
}

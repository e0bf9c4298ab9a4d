//! Requests in flight on this VM, up to the send of an attempt.

use std::collections::BTreeMap;

use briarshift_routing::retry::Budget;
use briarshift_routing::token::Token;
use briarshift_settings::{Document, Priority};
use briarshift_units::{Fingerprint, PoolId, RequestId, Span};
use briarshift_wire::reservation::Denial;

use super::life::{Flavour, Request, Suspicion};
use super::resolve::{authenticate, fingerprint, resolve};
use super::{Arrival, Decision, Event, Outcome, Reason, Refusal, Send, Tokens};
use crate::poison::Standing;
use crate::usage::Return;
use crate::{Context, Effect, Output, Record, Signal, booking, poison, reservation, target};

/// `Retry-After` of refusals that pass soon.
const RETRY_AFTER: Span = Span::from_secs(1);
/// How old a claim may be when its booking is sent. A VM that was paused in
/// between sends nothing that its caller has long given up.
const CLAIM_LIFE: Span = Span::from_secs(15);

/// What a request looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The document in force, if any.
    pub document: Option<&'a Document>,
    /// Targets.
    pub targets: &'a target::State,
    /// Strikes.
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
    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether the VM is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Takes no new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Applies a worker's event.
    pub fn apply(&mut self, ctx: &Context<'_>, view: View<'_>, event: Event, out: &mut Output) {
        match event {
            Event::Arrived(arrival) => self.arrive(ctx, view, &arrival, out),
            Event::Ended { id, end } => self.end(ctx, view, id, end, out),
            Event::CallerGone(request) => self.gone(request, out),
        }
    }

    /// Takes a place, or its denial.
    pub fn placed(
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
                request.placed.get_or_insert(ctx.at);
                let unclaimed = request.claimed.is_none();
                match request.booking().filter(|_| unclaimed) {
                    Some(booking) => {
                        request.claimed = Some(ctx.at);
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

    /// Takes what became of a booking's claim.
    pub fn claimed(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        decision: booking::Decision,
        out: &mut Output,
    ) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else {
            if decision.claim == booking::Answer::Claimed {
                out.signal(Signal::DropClaim(id));
            }
            return;
        };
        if decision.claim == booking::Answer::Claimed {
            self.send(ctx, view, id, out);
            return;
        }
        request.claimed = None;
        match decision.claim {
            booking::Answer::Claimed => {}
            // It will not run here, so another may have the place.
            booking::Answer::Waiting => release(request, out),
            booking::Answer::Settled(response) => {
                self.leave(id, out);
                out.log(Record::new("replayed").with("request", id));
                let decision = Decision::Replay(response);
                out.push(Effect::Decide { request: id, decision });
            }
            booking::Answer::Ran => {
                self.leave(id, out);
                refuse(id, Reason::AnswerLost, Outcome::Ran, out);
            }
            booking::Answer::Unsettled => {
                request.may_have_run = true;
                self.give_up(id, Reason::Unsettled, out);
            }
            booking::Answer::Reused => self.give_up(id, Reason::KeyReused, out),
            booking::Answer::Unavailable => self.give_up(id, Reason::NoClaim, out),
            booking::Answer::Absent => {
                let reason = request.denied.take().unwrap_or(Reason::Full);
                self.give_up(id, reason, out);
            }
        }
    }

    /// Takes where a suspect request may run, if anywhere.
    pub fn tried(&mut self, view: View<'_>, decision: poison::Decision, out: &mut Output) {
        let id = decision.request;
        let Some(request) = self.requests.get_mut(&id) else {
            out.signal(Signal::EndTrial(id));
            return;
        };
        match decision.target {
            Ok(target) => {
                let budget = self.budgets.entry(request.pool.clone()).or_default();
                if let Some(reason) = request.denied.take().filter(|_| !budget.withdraw()) {
                    self.give_up(id, reason, out);
                    return;
                }
                let pool = view.targets.all().filter(|row| row.pool == request.pool);
                let others = pool.filter(|row| row.id != target);
                request.avoid = others.map(|row| row.id.clone()).collect();
                request.suspicion = Suspicion::Tried(target);
                out.signal(Signal::Reserve(request.ask()));
            }
            Err(poison::Denial::Refused) => self.deny(id, Reason::Poison, out),
            Err(poison::Denial::Late) => self.deny(id, Reason::Suspect, out),
        }
    }

    /// A fingerprint has a new strike: copies that run already count as its
    /// trials.
    pub fn struck(&mut self, fingerprint: Fingerprint, out: &mut Output) {
        let copies = self.requests.values_mut().filter(|row| row.fingerprint == fingerprint);
        for request in copies.filter(|request| request.suspicion == Suspicion::Clean) {
            let Some(target) = request.target.clone().filter(|_| request.sent.is_some()) else {
                continue;
            };
            request.suspicion = Suspicion::Tried(target.clone());
            out.signal(Signal::StartTrial(request.trial(Some(target))));
        }
    }

    fn arrive(&mut self, ctx: &Context<'_>, view: View<'_>, arrival: &Arrival, out: &mut Output) {
        match self.check(ctx, view, arrival) {
            Ok(request) => {
                self.requests.insert(arrival.request, request);
                self.start(ctx, view, arrival.request, out);
            }
            Err(reason) => refuse(arrival.request, reason, Outcome::NotRun, out),
        }
    }

    fn check(
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
            flavour: resolved.flavour,
            fingerprint: fingerprint(&account.id, arrival.digest),
            body: arrival.digest,
            overnight: account.priority == Priority::Overnight,
            limit: resolved.limit,
            arrived: ctx.at,
            placed: None,
            attempt: 0,
            target: None,
            sent: None,
            avoid: Vec::new(),
            suspicion: Suspicion::Clean,
            claimed: None,
            denied: None,
            may_have_run: false,
            resumes: 0,
            detached: false,
        })
    }

    /// Asks for a place; for a suspect request, for a trial first.
    pub(super) fn start(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: RequestId,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match view.poison.standing(ctx, request.fingerprint) {
            Standing::Clean => out.signal(Signal::Reserve(request.ask())),
            Standing::Suspect => want_trial(request, out),
            Standing::Refused => self.deny(id, Reason::Poison, out),
        }
    }

    fn send(&mut self, ctx: &Context<'_>, view: View<'_>, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.claimed.is_some_and(|at| CLAIM_LIFE < ctx.at.since(at)) {
            self.give_up(id, Reason::NoClaim, out);
            return;
        }
        let clean = view.poison.standing(ctx, request.fingerprint) == Standing::Clean;
        if !clean && request.suspicion == Suspicion::Clean {
            release(request, out);
            self.start(ctx, view, id, out);
            return;
        }
        let target = request.target.as_ref().and_then(|target| view.targets.get(target));
        let Some(target) = target else {
            self.give_up(id, Reason::NoTarget, out);
            return;
        };
        request.attempt += 1;
        request.sent = Some(ctx.at);
        request.resumes = 0;
        let chat = match &request.flavour {
            Flavour::Chat { chat, .. } => Some(*chat),
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
            send_by: request.claimed.map(|at| at + CLAIM_LIFE),
        };
        out.push(Effect::Decide { request: id, decision: Decision::Send(send) });
    }

    /// Refuses a request that was not sent. A booking's key is looked up
    /// before: its outcome may be there, and "not run" must not be said of a
    /// resend whose first send may have run.
    pub(super) fn deny(&mut self, id: RequestId, reason: Reason, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let unclaimed = request.claimed.is_none() && !request.may_have_run;
        let Some(booking) = request.booking().filter(|_| unclaimed) else {
            self.give_up(id, reason, out);
            return;
        };
        request.denied = Some(reason);
        release(request, out);
        out.signal(Signal::LookUpClaim(booking));
    }

    pub(super) fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Output) {
        let Some(request) = self.leave(id, out) else { return };
        if request.claimed.is_some() && !request.may_have_run {
            out.signal(Signal::DropClaim(id));
        }
        let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        let mut sample = request.sample(Span::ZERO, Tokens::default());
        sample.refused = true;
        sample.returning = Return::NotReturning;
        out.signal(Signal::CountUsage(sample));
        refuse(id, reason, outcome, out);
    }

    /// Takes a request out, with all that it holds.
    pub(super) fn leave(&mut self, id: RequestId, out: &mut Output) -> Option<Request> {
        let mut request = self.requests.remove(&id)?;
        release(&mut request, out);
        Some(request)
    }
}

/// Gives back a request's place and trial.
pub(super) fn release(request: &mut Request, out: &mut Output) {
    request.target = None;
    request.sent = None;
    out.signal(Signal::Release(request.id));
    if std::mem::replace(&mut request.suspicion, Suspicion::Clean) != Suspicion::Clean {
        out.signal(Signal::EndTrial(request.id));
    }
}

pub(super) fn want_trial(request: &mut Request, out: &mut Output) {
    request.suspicion = Suspicion::Waiting;
    out.signal(Signal::StartTrial(request.trial(None)));
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

//! Requests in flight on this VM.

use std::collections::BTreeMap;

use briarshift_routing::token::Token;
use briarshift_settings::{Account, Document, Kind, Pool, Priority};
use briarshift_target::{Attempt, Failure};
use briarshift_units::{
    AccountId, BookingKey, ChatKey, Digest, Fingerprint, ModelId, Moment, OwnerId, PoolId,
    RequestId, Span, Start, TargetId,
};
use briarshift_wire::place::{Ask, Denial};
use smol_str::SmolStr;

use super::{Arrival, Decision, End, Event, Outcome, Reason, Refusal, Send, Tokens, Work};
use crate::{Context, Effect, Output, Record, Signal, booking, place, poison, target, usage};

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// `Retry-After` of refusals that pass soon.
const RETRY_AFTER: Span = Span::from_secs(1);

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

#[derive(Debug, Clone, PartialEq, Eq)]
enum Flavour {
    Chat { chat: ChatKey, held_on: Option<(TargetId, Start)>, model: SmolStr },
    Repeatable,
    Booking(BookingKey),
}

#[derive(Debug)]
struct Request {
    account: AccountId,
    owner: OwnerId,
    pool: PoolId,
    flavour: Flavour,
    fingerprint: Fingerprint,
    body: Digest,
    overnight: bool,
    arrived: Moment,
    placed: Option<Moment>,
    attempt: u32,
    target: Option<TargetId>,
    avoid: Vec<TargetId>,
    claimed: bool,
    may_have_run: bool,
}

/// Requests in flight on this VM.
#[derive(Debug, Default)]
pub struct State {
    requests: BTreeMap<RequestId, Request>,
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
            Event::Ended { id, end } => self.end(ctx, id, end, out),
            Event::Gone(request) => self.gone(request, out),
        }
    }

    /// Takes a place, or its denial.
    pub fn placed(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        verdict: place::Verdict,
        out: &mut Output,
    ) {
        let id = verdict.request;
        let Some(request) = self.requests.get_mut(&id) else {
            out.signal(Signal::Release(id));
            return;
        };
        match verdict.place {
            Ok(target) => {
                request.target = Some(target);
                request.placed.get_or_insert(ctx.at);
            }
            Err(denial) => {
                let reason = match denial {
                    Denial::Empty => Reason::NoTarget,
                    Denial::Full | Denial::NotAdmitting => Reason::Full,
                    Denial::Limit { .. } => Reason::Limit,
                };
                self.give_up(id, reason, out);
                return;
            }
        }
        match &request.flavour {
            Flavour::Booking(key) if !request.claimed => {
                out.signal(Signal::Claim(booking::Booking {
                    request: id,
                    account: request.account.clone(),
                    pool: request.pool.clone(),
                    key: key.clone(),
                    body: request.body,
                }));
            }
            _ => self.send(ctx, view, id, out),
        }
    }

    /// Takes what became of a booking's claim.
    pub fn claimed(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        verdict: booking::Verdict,
        out: &mut Output,
    ) {
        let id = verdict.request;
        let Some(request) = self.requests.get_mut(&id) else {
            if verdict.claim == booking::Answer::Claimed {
                out.signal(Signal::Unclaim(id));
            }
            return;
        };
        match verdict.claim {
            booking::Answer::Claimed => {
                request.claimed = true;
                self.send(ctx, view, id, out);
            }
            booking::Answer::Settled(outcome) => {
                self.requests.remove(&id);
                out.signal(Signal::Release(id));
                let decision = Decision::Replay(outcome);
                out.push(Effect::Decide { request: id, decision });
            }
            booking::Answer::Unsettled => {
                request.may_have_run = true;
                self.give_up(id, Reason::Unsettled, out);
            }
            booking::Answer::Reused => self.give_up(id, Reason::KeyReused, out),
            booking::Answer::Unavailable => self.give_up(id, Reason::NoClaim, out),
        }
    }

    fn arrive(&mut self, ctx: &Context<'_>, view: View<'_>, arrival: &Arrival, out: &mut Output) {
        match self.check(ctx, view, arrival) {
            Ok(request) => {
                out.signal(Signal::Ask(ask(arrival.request, &request)));
                self.requests.insert(arrival.request, request);
            }
            Err(reason) => refuse(arrival.request, reason, Outcome::NotRun, out),
        }
    }

    fn check(
        &self,
        ctx: &Context<'_>,
        view: View<'_>,
        arrival: &Arrival,
    ) -> Result<Request, Reason> {
        if self.draining {
            return Err(Reason::Draining);
        }
        let document = view.document.ok_or(Reason::NotReady)?;
        let account = authenticate(document, arrival.credential)?;
        let (pool, flavour) = resolve(ctx, document, account, &arrival.work)?;
        let fingerprint = fingerprint(&account.id, arrival.body);
        if view.poison.refused(ctx, fingerprint) {
            return Err(Reason::Poison);
        }
        Ok(Request {
            account: account.id.clone(),
            owner: account.owner.clone(),
            pool: pool.id.clone(),
            flavour,
            fingerprint,
            body: arrival.body,
            overnight: account.priority == Priority::Overnight,
            arrived: ctx.at,
            placed: None,
            attempt: 0,
            target: None,
            avoid: Vec::new(),
            claimed: false,
            may_have_run: false,
        })
    }

    fn send(&mut self, ctx: &Context<'_>, view: View<'_>, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let target = request.target.as_ref().and_then(|target| view.targets.get(target));
        let Some(target) = target else {
            self.give_up(id, Reason::NoTarget, out);
            return;
        };
        request.attempt += 1;
        let chat = match &request.flavour {
            Flavour::Chat { chat, .. } => Some(*chat),
            _ => None,
        };
        let token = chat.map(|chat| {
            let token = Token { chat, target: target.id.clone(), start: target.start() };
            token.seal(&ctx.me.token_key, &request.account).into()
        });
        let line = Record::new("route").with("request", id).with("account", &request.account);
        let line = line.with("pool", &request.pool).with("target", &target.id);
        out.log(line.with("attempt", request.attempt));
        let send = Send {
            id: Attempt { request: id, number: request.attempt },
            target: target.id.clone(),
            address: target.address,
            chat,
            token,
            overnight: request.overnight,
            whole: matches!(request.flavour, Flavour::Booking(_)),
        };
        out.signal(Signal::Sent(request.pool.clone()));
        out.push(Effect::Decide { request: id, decision: Decision::Send(send) });
    }

    fn end(&mut self, ctx: &Context<'_>, id: Attempt, end: End, out: &mut Output) {
        let Some(request) = self.requests.get(&id.request) else { return };
        if request.attempt != id.number {
            return;
        }
        match end {
            End::Whole { tokens, outcome } => self.whole(ctx, id.request, tokens, outcome, out),
            End::Refused => self.again(id.request, "refused", out),
            End::Failed { failure, relayed } => self.failed(id.request, &failure, relayed, out),
        }
    }

    fn whole(
        &mut self,
        ctx: &Context<'_>,
        id: RequestId,
        tokens: Tokens,
        outcome: Option<booking::Outcome>,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        out.signal(Signal::Release(id));
        out.signal(Signal::Clear(request.fingerprint));
        let booked = outcome.is_some();
        if let Some(outcome) = outcome {
            out.signal(Signal::Settle(id, outcome));
        }
        let model = match request.flavour {
            Flavour::Chat { model, .. } => Some(model),
            _ => None,
        };
        let queued = request.placed.unwrap_or(ctx.at).since(request.arrived);
        let line = Record::new("answered").with("request", id).with("account", &request.account);
        out.log(line.with("attempt", request.attempt).with("queued", queued));
        out.signal(Signal::Use(usage::Sample {
            owner: request.owner,
            account: request.account,
            pool: request.pool,
            model,
            tokens,
            queued,
            booked,
            refused: false,
        }));
    }

    fn failed(&mut self, id: RequestId, failure: &Failure, relayed: bool, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let sent = !matches!(failure, Failure::NotSent(_));
        if let Some(target) = &request.target {
            if matches!(failure, Failure::NotSent(_) | Failure::Broken(_)) {
                out.signal(Signal::Suspect(target.clone()));
            }
            if matches!(failure, Failure::Broken(_)) {
                out.signal(Signal::Strike(request.fingerprint, target.clone()));
            }
        }
        request.may_have_run |= sent;
        let repeatable = !matches!(request.flavour, Flavour::Booking(_));
        if relayed || (sent && !repeatable) {
            let reason = Reason::Target(failure.to_string().into());
            self.give_up(id, reason, out);
            return;
        }
        self.again(id, &failure.to_string(), out);
    }

    fn again(&mut self, id: RequestId, why: &str, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if MAX_ATTEMPTS <= request.attempt {
            self.give_up(id, Reason::Target(why.into()), out);
            return;
        }
        out.log(Record::new("retry").with("request", id).with("why", why));
        request.avoid.extend(request.target.take());
        out.signal(Signal::Release(id));
        out.signal(Signal::Ask(ask(id, request)));
    }

    fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Output) {
        let Some(request) = self.requests.remove(&id) else { return };
        out.signal(Signal::Release(id));
        if request.claimed && !request.may_have_run {
            out.signal(Signal::Unclaim(id));
        }
        let outcome = if request.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        refuse(id, reason, outcome, out);
    }

    fn gone(&mut self, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.remove(&id) else { return };
        out.log(Record::new("caller_gone").with("request", id));
        out.signal(Signal::Release(id));
        if let Some(target) = request.target.filter(|_| 0 < request.attempt) {
            let attempt = Attempt { request: id, number: request.attempt };
            out.signal(Signal::Cancel(target, attempt));
        }
    }
}

fn refuse(request: RequestId, reason: Reason, outcome: Outcome, out: &mut Output) {
    let line = Record::new("refused").with("request", request).with("code", reason.code());
    out.log(line.with("outcome", outcome));
    let retry_after = matches!(reason.status(), 429 | 503).then_some(RETRY_AFTER);
    let decision = Decision::Refuse(Refusal { reason, outcome, retry_after });
    out.push(Effect::Decide { request, decision });
}

fn ask(id: RequestId, request: &Request) -> Ask {
    let (chat, held_on) = match &request.flavour {
        Flavour::Chat { chat, held_on, .. } => (*chat, held_on.clone()),
        _ => (ChatKey(id.0), None),
    };
    Ask {
        request: id,
        pool: request.pool.clone(),
        account: request.account.clone(),
        chat,
        held_on,
        overnight: request.overnight,
        avoid: request.avoid.clone(),
    }
}

fn authenticate(document: &Document, credential: Option<Digest>) -> Result<&Account, Reason> {
    let digest = credential.ok_or(Reason::Unauthenticated)?.to_string();
    let mut accounts = document.accounts.iter();
    accounts.find(|account| account.key_sha256 == digest).ok_or(Reason::Unauthenticated)
}

fn resolve<'a>(
    ctx: &Context<'_>,
    document: &'a Document,
    account: &Account,
    work: &Work,
) -> Result<(&'a Pool, Flavour), Reason> {
    match work {
        Work::Chat { model, token, chat } => {
            let unknown = || Reason::UnknownModel(model.clone());
            let id: ModelId = model.parse().map_err(|_| unknown())?;
            let row = document.models.iter().find(|row| row.id == id).ok_or_else(unknown)?;
            let mut pools = document.pools.iter();
            let pool = pools.find(|pool| pool.id == row.pool).ok_or_else(unknown)?;
            let token = token.as_deref();
            let token = token.and_then(|text| Token::open(text, &ctx.me.token_key, &account.id));
            let (chat, held_on) = match token {
                Some(token) => (token.chat, Some((token.target, token.start))),
                None => (*chat, None),
            };
            Ok((pool, Flavour::Chat { chat, held_on, model: model.clone() }))
        }
        Work::Desk { pool, call, key } => {
            let unknown = || Reason::UnknownDesk(pool.clone());
            let mut pools = document.pools.iter();
            let row = pools.find(|row| row.id.as_str() == pool).ok_or_else(unknown)?;
            let Kind::Runner(runner) = &row.kind else { return Err(unknown()) };
            if runner.repeatable.contains(call) {
                return Ok((row, Flavour::Repeatable));
            }
            let key = key.as_ref().ok_or(Reason::KeyMissing)?;
            let key = key.parse().map_err(|err: briarshift_units::IdError| {
                Reason::KeyInvalid(err.to_string().into())
            })?;
            Ok((row, Flavour::Booking(key)))
        }
    }
}

fn fingerprint(account: &AccountId, body: Digest) -> Fingerprint {
    use sha2::{Digest as _, Sha256};
    let hash = Sha256::new().chain_update(account.as_str()).chain_update(body.0).finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    Fingerprint(u64::from_be_bytes(bytes))
}

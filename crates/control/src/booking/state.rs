//! Claims of the bookings in flight on this VM.

use std::collections::BTreeMap;

use briarshift_store::{Error, Expect, Operation, Reply};
use briarshift_units::{RequestId, Span};

use super::claim::{Action, Claim, Phase, Transition};
use super::{Booking, CallId, Decision, Response, Status, lease, row};
use crate::{Context, Effect, Output, Record, Signal, Ticket};

/// Time after which a store call without a reply counts as one with unknown
/// effect.
const CALL_TIMEOUT: Span = Span::from_secs(1);
/// How long a resend waits for the response to the earlier request.
const RESPONSE_WAIT: Span = Span::from_secs(2);
/// How long this VM waits for the response to a claimed booking before it removes
/// the claim from its state.
const MAX_RUN_TIME: Span = Span::from_secs(3_600);
/// Maximum number of orphaned claims searched for at once. Further ones stay in
/// the store without a response.
const MAX_ORPHAN_LOOKUPS: usize = 64;
/// Number of consecutive writes of claims that got no reply, or that the store
/// rejected, after which only one claim at a time is attempted and the others
/// are refused at once.
const MAX_FAILURES: u32 = 3;

/// Claims of the bookings in flight on this VM.
#[derive(Debug, Default)]
pub struct State {
    claims: BTreeMap<RequestId, Claim>,
    leases: lease::State,
    failures: u32,
}

impl State {
    /// Claims a booking. A [`Decision`] follows as a signal within three seconds,
    /// even if the store doesn't reply.
    pub fn claim(&mut self, ctx: &Context<'_>, booking: Booking, out: &mut Output) {
        let probing = self.claims.values().any(|claim| claim.phase == Phase::Write);
        if MAX_FAILURES <= self.failures && probing {
            report(&booking, Status::Unavailable, out);
            return;
        }
        self.open(ctx, booking, Phase::Write, out);
    }

    /// Looks up whether a booking is claimed, without claiming it. A
    /// [`Decision`] follows as a signal.
    pub fn look_up(&mut self, ctx: &Context<'_>, booking: Booking, out: &mut Output) {
        self.open(ctx, booking, Phase::LookUp, out);
    }

    /// Stores the response of a booking that ran. The write is repeated until it
    /// succeeds, and the caller's answer doesn't wait for it.
    pub fn store_response(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        response: Response,
        out: &mut Output,
    ) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        let Phase::Held(version) = claim.phase else { return };
        claim.enter(Phase::StoreResponse(version, response));
        self.call(ctx, request, out);
    }

    /// Deletes the claim of a booking that was certainly not sent.
    pub fn drop_claim(&mut self, ctx: &Context<'_>, request: RequestId, out: &mut Output) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        let Phase::Held(version) = claim.phase else { return };
        claim.enter(Phase::Delete(version));
        self.call(ctx, request, out);
    }

    /// Returns the number of responses that are not stored yet.
    pub fn pending_responses(&self) -> usize {
        let storing = |claim: &&Claim| {
            matches!(claim.phase, Phase::StoreResponse(..) | Phase::VerifyResponse(..))
        };
        self.claims.values().filter(storing).count()
    }

    /// Handles a reply of the store. A reply that arrives after the timeout of
    /// its call is dropped, because the call already counts as one with unknown
    /// effect.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        id: CallId,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(claim) = self.claims.get(&id.request) else { return };
        if claim.awaited && claim.call == id.call {
            self.handle_result(ctx, id.request, result, out);
        }
    }

    /// Runs periodic work: expires calls without a reply and repeats calls that
    /// are due.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let due = self.claims.iter().filter(|(_, claim)| claim.due <= ctx.at);
        let due: Vec<_> = due.map(|(id, claim)| (*id, claim.awaited)).collect();
        for (request, awaited) in due {
            if awaited {
                let unanswered = Error::Unknown("the store did not reply in time".into());
                self.handle_result(ctx, request, Err(unanswered), out);
            } else {
                self.call(ctx, request, out);
            }
        }
    }

    fn open(&mut self, ctx: &Context<'_>, booking: Booking, phase: Phase, out: &mut Output) {
        let request = booking.request;
        self.claims.insert(request, Claim::new(booking, phase));
        self.call(ctx, request, out);
    }

    fn handle_result(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        claim.awaited = false;
        let call_failed = matches!(result, Err(Error::Unknown(_) | Error::Refused(_)));
        if !call_failed {
            self.failures = 0;
        } else if claim.phase == Phase::Write {
            self.failures = self.failures.saturating_add(1);
        }
        if matches!(claim.phase, Phase::StoreResponse(..)) {
            self.leases.handle_reply(claim.booking.retention, &result);
        }
        if let Err(err) = &result
            && call_failed
        {
            let line = Record::new("booking_call_failed").with("request", request);
            out.log(line.with("account", &claim.booking.account).with("error", err));
        }
        let transition = claim.handle_reply(result);
        self.apply(ctx, request, transition, out);
    }

    fn apply(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        transition: Transition,
        out: &mut Output,
    ) {
        let orphan_count =
            self.claims.values().filter(|claim| claim.phase == Phase::FindOrphan).count();
        let Some(claim) = self.claims.get_mut(&request) else { return };
        if let Some(status) = transition.status {
            report(&claim.booking, status, out);
        }
        let unsent = matches!(claim.phase, Phase::Delete(_) | Phase::FindOrphan);
        match transition.action {
            Action::Call => self.call(ctx, request, out),
            Action::Retry
                if claim.phase == Phase::FindOrphan && MAX_ORPHAN_LOOKUPS < orphan_count =>
            {
                self.claims.remove(&request);
            }
            Action::Retry => claim.due = ctx.at + claim.retry_delay(),
            Action::Hold => claim.due = ctx.at + MAX_RUN_TIME,
            Action::Remove => {
                if unsent {
                    out.log(Record::new("booking_claim_dropped").with("request", request));
                }
                self.claims.remove(&request);
            }
        }
    }

    /// Makes the call of the claim's phase.
    fn call(&mut self, ctx: &Context<'_>, request: RequestId, out: &mut Output) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        let key = row::key(&claim.booking);
        let retention = claim.booking.retention;
        let mut limit = CALL_TIMEOUT;
        let operation = match &claim.phase {
            Phase::Write => Operation::Put {
                key,
                value: row::claim_value(ctx, &claim.booking),
                expect: Expect::Absent,
                lease: None,
            },
            Phase::ReadConflict | Phase::LookUp | Phase::VerifyResponse(..) | Phase::FindOrphan => {
                Operation::Get { key }
            }
            Phase::AwaitResponse(version) => {
                limit = RESPONSE_WAIT + CALL_TIMEOUT;
                Operation::Watch { key, after: *version, wait: RESPONSE_WAIT }
            }
            // No response arrived in time. A resend is answered as unknown.
            Phase::Held(_) => {
                self.claims.remove(&request);
                return;
            }
            Phase::StoreResponse(version, response) => match self.leases.get(ctx.at, retention) {
                Some(lease) => Operation::Put {
                    key,
                    value: row::response_value(ctx, &claim.booking, response),
                    expect: Expect::Version(*version),
                    lease: Some(lease),
                },
                None if self.leases.start_grant(ctx.at, retention, CALL_TIMEOUT) => {
                    Operation::Grant { ttl: lease::ttl(retention) }
                }
                None => {
                    claim.due = ctx.at + claim.retry_delay();
                    return;
                }
            },
            Phase::Delete(version) => Operation::Delete { key, expect: Expect::Version(*version) },
        };
        claim.call += 1;
        claim.awaited = true;
        claim.due = ctx.at + limit;
        let id = CallId { request, call: claim.call };
        out.push(Effect::Store { ticket: Ticket::Booking(id), operation });
    }
}

fn report(booking: &Booking, status: Status, out: &mut Output) {
    let line = Record::new("booking").with("request", booking.request);
    let line = line.with("account", &booking.account).with("pool", &booking.pool);
    out.log(line.with("key", &booking.key).with("claim", status.name()));
    out.signal(Signal::ClaimDecided(Decision { request: booking.request, status }));
}

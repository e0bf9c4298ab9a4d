//! Claims of bookings in flight on this VM.

use std::collections::BTreeMap;

use briarshift_store::{Error, Expect, Operation, Reply};
use briarshift_units::{RequestId, Span};

use super::open::{Next, Open, Phase, Then};
use super::{Answer, Booking, Claim, Decision, Response, lease, row};
use crate::{Context, Effect, Output, Record, Signal, Ticket};

/// How long one store call may take before its fate counts as unknown.
const CALL_LIMIT: Span = Span::from_secs(1);
/// How long a resend waits for the outcome of the send before it.
const OUTCOME_WAIT: Span = Span::from_secs(2);
/// How long a claim waits for its outcome before this VM forgets it.
const OUTCOME_LIMIT: Span = Span::from_secs(3_600);
/// Most stray claims looked for at once; the others stay unsettled.
const MAX_STRAYS: usize = 64;
/// Claims in a row without an answer, after which one probes and the others
/// are refused at once.
const MAX_FAILURES: u32 = 3;

/// Claims of bookings in flight on this VM.
#[derive(Debug, Default)]
pub struct State {
    open: BTreeMap<RequestId, Open>,
    leases: lease::State,
    failures: u32,
}

impl State {
    /// Writes a claim. A [`Decision`] follows, within three seconds even when
    /// the store is silent.
    pub fn claim(&mut self, ctx: &Context<'_>, booking: Booking, out: &mut Output) {
        let probing = self.open.values().any(|open| open.phase == Phase::Write);
        if MAX_FAILURES <= self.failures && probing {
            tell(&booking, Answer::Unavailable, out);
            return;
        }
        self.begin(ctx, booking, Phase::Write, out);
    }

    /// Reads whether a booking was claimed, without claiming it. A
    /// [`Decision`] follows.
    pub fn look(&mut self, ctx: &Context<'_>, booking: Booking, out: &mut Output) {
        self.begin(ctx, booking, Phase::Look, out);
    }

    /// Stores the outcome of a booking that ran. It is tried until it is
    /// stored; the caller's answer does not wait for it.
    pub fn settle(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        response: Response,
        out: &mut Output,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Phase::Held(version) = open.phase else { return };
        open.turn(Phase::Settle(version, response));
        self.call(ctx, request, out);
    }

    /// Drops the claim of a booking that was certainly not sent.
    pub fn unclaim(&mut self, ctx: &Context<'_>, request: RequestId, out: &mut Output) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Phase::Held(version) = open.phase else { return };
        open.turn(Phase::Drop(version));
        self.call(ctx, request, out);
    }

    /// Outcomes not stored yet.
    pub fn unsettled(&self) -> usize {
        let settling = |open: &&Open| matches!(open.phase, Phase::Settle(..) | Phase::Verify(..));
        self.open.values().filter(settling).count()
    }

    /// Takes a store answer. One that comes after its time limit is dropped:
    /// its call counts as unknown by then.
    pub fn store(
        &mut self,
        ctx: &Context<'_>,
        claim: Claim,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(open) = self.open.get(&claim.request) else { return };
        if open.awaited && open.call == claim.call {
            self.answered(ctx, claim.request, result, out);
        }
    }

    /// Periodic work: time limits and further tries.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let due = self.open.iter().filter(|(_, open)| open.due <= ctx.at);
        let due: Vec<_> = due.map(|(id, open)| (*id, open.awaited)).collect();
        for (request, awaited) in due {
            if awaited {
                let silent = Error::Unknown("no answer in time".into());
                self.answered(ctx, request, Err(silent), out);
            } else {
                self.call(ctx, request, out);
            }
        }
    }

    fn begin(&mut self, ctx: &Context<'_>, booking: Booking, phase: Phase, out: &mut Output) {
        let request = booking.request;
        self.open.insert(request, Open::new(booking, phase));
        self.call(ctx, request, out);
    }

    fn answered(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.awaited = false;
        let silent = matches!(result, Err(Error::Unknown(_) | Error::Refused(_)));
        if !silent {
            self.failures = 0;
        } else if open.phase == Phase::Write {
            self.failures = self.failures.saturating_add(1);
        }
        if matches!(open.phase, Phase::Settle(..)) {
            self.leases.answered(open.booking.retention, &result);
        }
        if let Err(err) = &result
            && silent
        {
            let line = Record::new("booking_call_failed").with("request", request);
            out.log(line.with("account", &open.booking.account).with("error", err));
        }
        let next = open.step(result);
        self.follow(ctx, request, next, out);
    }

    fn follow(&mut self, ctx: &Context<'_>, request: RequestId, next: Next, out: &mut Output) {
        let strays = self.open.values().filter(|open| open.phase == Phase::Stray).count();
        let Some(open) = self.open.get_mut(&request) else { return };
        if let Some(answer) = next.answer {
            tell(&open.booking, answer, out);
        }
        let unused = matches!(open.phase, Phase::Drop(_) | Phase::Stray);
        match next.then {
            Then::Call => self.call(ctx, request, out),
            Then::Pause if open.phase == Phase::Stray && MAX_STRAYS < strays => {
                self.open.remove(&request);
            }
            Then::Pause => open.due = ctx.at + open.pause(),
            Then::Hold => open.due = ctx.at + OUTCOME_LIMIT,
            Then::Forget => {
                if unused {
                    out.log(Record::new("booking_claim_dropped").with("request", request));
                }
                self.open.remove(&request);
            }
        }
    }

    /// Makes the call that the phase asks for.
    fn call(&mut self, ctx: &Context<'_>, request: RequestId, out: &mut Output) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let key = row::key(&open.booking);
        let retention = open.booking.retention;
        let mut limit = CALL_LIMIT;
        let operation = match &open.phase {
            Phase::Write => Operation::Put {
                key,
                value: row::open(ctx, &open.booking),
                expect: Expect::Absent,
                lease: None,
            },
            Phase::Read | Phase::Look | Phase::Verify(..) | Phase::Stray => Operation::Get { key },
            Phase::Wait(version) => {
                limit = OUTCOME_WAIT + CALL_LIMIT;
                Operation::Watch { key, after: *version, wait: OUTCOME_WAIT }
            }
            // No outcome came: a resend is answered as unknown.
            Phase::Held(_) => {
                self.open.remove(&request);
                return;
            }
            Phase::Settle(version, response) => match self.leases.get(ctx.at, retention) {
                Some(lease) => Operation::Put {
                    key,
                    value: row::settled(ctx, &open.booking, response),
                    expect: Expect::Version(*version),
                    lease: Some(lease),
                },
                None if self.leases.begin(ctx.at, retention, CALL_LIMIT) => {
                    Operation::Grant { ttl: lease::ttl(retention) }
                }
                None => {
                    open.due = ctx.at + open.pause();
                    return;
                }
            },
            Phase::Drop(version) => Operation::Delete { key, expect: Expect::Version(*version) },
        };
        open.call += 1;
        open.awaited = true;
        open.due = ctx.at + limit;
        let claim = Claim { request, call: open.call };
        out.push(Effect::Store { ticket: Ticket::Booking(claim), operation });
    }
}

fn tell(booking: &Booking, claim: Answer, out: &mut Output) {
    let line = Record::new("booking").with("request", booking.request);
    let line = line.with("account", &booking.account).with("pool", &booking.pool);
    out.log(line.with("key", &booking.key).with("claim", claim.name()));
    out.signal(Signal::ClaimDecided(Decision { request: booking.request, claim }));
}

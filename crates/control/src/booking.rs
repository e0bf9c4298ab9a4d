//! Bookings run at most once.
//!
//! Before the first byte of a booking leaves for a runner, its claim is
//! created in the platform's store, on condition that the key is absent. A
//! resend finds the claim: with the outcome, which is replayed, or without,
//! which is answered as unknown. The claim names the request that made it, so
//! that a lost answer to the write is told apart from a rival's claim.

use std::collections::BTreeMap;

use briarshift_platform::{Entry, Error, Expect, Key, Operation, Reply, Version};
use briarshift_units::{AccountId, BookingKey, Digest, PoolId, RequestId, Start, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Context, Effect, Output, Record, Signal, Ticket};

/// A booking to be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// The request that wants to run it.
    pub request: RequestId,
    /// Whose booking it is.
    pub account: AccountId,
    /// The desk.
    pub pool: PoolId,
    /// The caller's key.
    pub key: BookingKey,
    /// SHA-256 of its body.
    pub body: Digest,
}

/// Which step of which claim a store answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// The request.
    pub request: RequestId,
    /// The step.
    pub step: Step,
}

/// A step of a claim's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The claim is written.
    Write,
    /// The key is read back.
    Read,
    /// The outcome is stored.
    Settle,
    /// The claim is dropped.
    Drop,
}

/// A booking's answer as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type, if given.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Vec<u8>,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Ours: the booking may be sent.
    Claimed,
    /// It ran before.
    Settled(Outcome),
    /// It was claimed before; whether it ran is not known.
    Unsettled,
    /// The key belongs to another body.
    Reused,
    /// The store did not answer; nothing was sent.
    Unavailable,
}

/// Tells a request what became of its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: RequestId,
    /// What became of it.
    pub claim: Answer,
}

/// A claim as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    request: RequestId,
    vm: VmId,
    start: Start,
    body: String,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Open {
    booking: Booking,
    version: Version,
    reads: u32,
}

/// Claims of bookings in flight on this VM.
#[derive(Debug, Default)]
pub struct State {
    open: BTreeMap<RequestId, Open>,
}

fn key(booking: &Booking) -> Key {
    Key::from(format!("bookings/{}/{}/{}", booking.pool, booking.account, booking.key))
}

fn row(ctx: &Context<'_>, booking: &Booking, outcome: Option<Outcome>) -> Row {
    Row {
        request: booking.request,
        vm: ctx.me.vm.clone(),
        start: ctx.me.start,
        body: booking.body.to_string(),
        outcome,
    }
}

fn encode(row: &Row) -> String {
    serde_json::to_string(row).expect("a claim is plain data")
}

fn call(request: RequestId, step: Step, operation: Operation, out: &mut Output) {
    out.push(Effect::Store { ticket: Ticket::Booking(Claim { request, step }), operation });
}

/// Reads of a claim whose write was not answered, before it is given up.
const MAX_READS: u32 = 2;

impl State {
    /// Writes a claim. A [`Verdict`] follows.
    pub fn claim(&mut self, ctx: &Context<'_>, booking: Booking, out: &mut Output) {
        let operation = Operation::Put {
            key: key(&booking),
            value: encode(&row(ctx, &booking, None)),
            expect: Expect::Absent,
            lease: None,
        };
        call(booking.request, Step::Write, operation, out);
        let open = Open { version: Version(0), reads: 0, booking };
        self.open.insert(open.booking.request, open);
    }

    /// Stores the outcome of a booking that ran.
    pub fn settle(
        &mut self,
        ctx: &Context<'_>,
        request: RequestId,
        outcome: Outcome,
        out: &mut Output,
    ) {
        let Some(open) = self.open.get(&request) else { return };
        let operation = Operation::Put {
            key: key(&open.booking),
            value: encode(&row(ctx, &open.booking, Some(outcome))),
            expect: Expect::Version(open.version),
            lease: None,
        };
        call(request, Step::Settle, operation, out);
    }

    /// Drops the claim of a booking that was certainly not sent.
    pub fn unclaim(&mut self, request: RequestId, out: &mut Output) {
        let Some(open) = self.open.get(&request) else { return };
        let operation =
            Operation::Delete { key: key(&open.booking), expect: Expect::Version(open.version) };
        call(request, Step::Drop, operation, out);
    }

    /// Takes a store answer.
    pub fn store(
        &mut self,
        _ctx: &Context<'_>,
        claim: Claim,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        match claim.step {
            Step::Write => self.written(claim.request, &result, out),
            Step::Read => self.read(claim.request, result, out),
            Step::Settle | Step::Drop => {
                self.open.remove(&claim.request);
                if let Err(err) = result {
                    let line = Record::new("claim_update_failed").with("request", claim.request);
                    out.log(line.with("error", err));
                }
            }
        }
    }

    fn written(&mut self, request: RequestId, result: &Result<Reply, Error>, out: &mut Output) {
        let Some(open) = self.open.get_mut(&request) else { return };
        match result {
            Ok(Reply::Written(version)) => {
                open.version = *version;
                verdict(request, Answer::Claimed, out);
            }
            Err(Error::Conflict(_) | Error::Unknown(_)) => self.read_back(request, out),
            Ok(_) | Err(_) => self.abandon(request, Answer::Unavailable, out),
        }
    }

    fn read_back(&mut self, request: RequestId, out: &mut Output) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.reads += 1;
        if MAX_READS < open.reads {
            self.abandon(request, Answer::Unavailable, out);
            return;
        }
        let operation = Operation::Get { key: key(&open.booking) };
        call(request, Step::Read, operation, out);
    }

    fn read(&mut self, request: RequestId, result: Result<Reply, Error>, out: &mut Output) {
        let Some(open) = self.open.get_mut(&request) else { return };
        match result {
            Ok(Reply::Value(Some(entry))) => match judge(&open.booking, &entry) {
                Answer::Claimed => {
                    open.version = entry.version;
                    verdict(request, Answer::Claimed, out);
                }
                answer => self.abandon(request, answer, out),
            },
            Err(Error::Unknown(_)) => self.read_back(request, out),
            Ok(_) | Err(_) => self.abandon(request, Answer::Unavailable, out),
        }
    }

    fn abandon(&mut self, request: RequestId, answer: Answer, out: &mut Output) {
        self.open.remove(&request);
        verdict(request, answer, out);
    }
}

fn verdict(request: RequestId, claim: Answer, out: &mut Output) {
    out.signal(Signal::Claimed(Verdict { request, claim }));
}

fn judge(booking: &Booking, entry: &Entry) -> Answer {
    let Ok(row) = serde_json::from_str::<Row>(&entry.value) else { return Answer::Unsettled };
    if row.request == booking.request {
        return Answer::Claimed;
    }
    if row.body != booking.body.to_string() {
        return Answer::Reused;
    }
    row.outcome.map_or(Answer::Unsettled, Answer::Settled)
}

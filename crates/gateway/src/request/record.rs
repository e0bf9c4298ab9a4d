//! Log records of requests.

use briarshift_logging::Record;
use briarshift_routing::hedge::Denial;
use briarshift_units::{Moment, Span};

use super::choice::Choice;
use super::pending::{ActiveSend, Pending};
use super::room::Found;
use super::view::Step;
use super::{Arrival, End, Refusal, Send};
use crate::Context;
use crate::limit::MAX_LOGGED_PARTS;

/// Returns the record of a refused request.
pub(super) fn refused(step: &Step<'_, '_>, arrival: &Arrival, refusal: &Refusal) -> Record {
    let Refusal { cause, retry_after } = *refusal;
    let line = Record::new("refused")
        .with("request", &arrival.attempt)
        .with("cause", cause.label())
        .with("outcome", if cause.is_not_run() { "not_run" } else { "unknown" })
        .with("host", &arrival.host)
        .with("path", &arrival.path)
        .with("after", step.ctx.at.since(arrival.at))
        .with("retry_after", retry_after.unwrap_or_default());
    with_configuration(step, line)
}

/// Returns the record of a request that waits for room, or is turned away because there is
/// none.
pub(super) fn short(event: &'static str, pending: &Pending, found: &Found) -> Record {
    let account = pending.account.as_ref().map_or("none", |account| account.id.as_str());
    Record::new(event)
        .with("request", &pending.arrival.attempt)
        .with("pool", &pending.pool)
        .with("account", account)
        .with("position", found.position)
        .with("load", found.room.load)
        .with("slots", found.room.slots)
        .with("demand", format!("{:.3}", found.demand))
        .with("level", format!("{:.3}", found.level))
        .with("over", found.is_over())
        .with("returns", found.returns)
        .with("expected", found.expected)
}

/// Returns the record of a request that leaves the queue to be sent.
pub(super) fn waited(ctx: &Context<'_>, pending: &Pending, since: Moment) -> Record {
    Record::new("waited")
        .with("request", &pending.arrival.attempt)
        .with("pool", &pending.pool)
        .with("for", ctx.at.since(since))
}

/// Returns the record of a caller that left before the end.
pub(super) fn caller_left(ctx: &Context<'_>, pending: &Pending) -> Record {
    unfinished("caller_left", ctx, pending)
}

/// Returns the record of a request that the end of this process cuts off.
pub(super) fn cut_off(ctx: &Context<'_>, pending: &Pending) -> Record {
    unfinished("cut_off", ctx, pending)
}

fn unfinished(event: &'static str, ctx: &Context<'_>, pending: &Pending) -> Record {
    let line = Record::new(event)
        .with("request", &pending.arrival.attempt)
        .with("after", ctx.at.since(pending.arrival.at));
    match &pending.active_send {
        Some(active) => line.with("target", &active.target).with("begun", active.answer_began),
        None => line,
    }
}

/// Adds the configuration revision used, and how long ago it was confirmed.
fn with_configuration(step: &Step<'_, '_>, line: Record) -> Record {
    let Step { ctx, view, .. } = step;
    let revision = view.catalog.map(|catalog| catalog.revision()).unwrap_or_default();
    let age = view.freshness.confirmed_at().map(|at| ctx.at.since(at));
    let line = line.with("catalog", revision);
    match age {
        Some(age) => line.with("confirmed_ms_ago", age.as_millis()),
        None => line.with("confirmed_ms_ago", "never"),
    }
}

/// Returns the record of a request that is sent to a target.
pub(super) fn dispatched(
    step: &Step<'_, '_>,
    pending: &Pending,
    choice: &Choice,
    send: &Send,
) -> Record {
    let line = Record::new("placed")
        .with("request", &pending.arrival.attempt)
        .with("send", send.id.number)
        .with("route", &pending.route.id)
        .with("kind", pending.route.kind.label())
        .with("pool", &pending.pool)
        .with("target", &choice.target)
        .with("load", choice.load)
        .with("backlog", choice.backlog)
        .with("seats", choice.candidates)
        .with("held", choice.cached_tokens)
        .with("shared", pending.shared_tokens())
        .with("fetch", choice.fetch_from.as_ref().map_or("none", |holder| holder.target.as_str()))
        .with("unread", choice.unread_tokens)
        .with("prompt", pending.prompt_key())
        .with("left", send.deadline.since(step.ctx.at));
    let line = match choice.room {
        Some(room) => line.with("need", pending.memory).with("room", room),
        None => line,
    };
    let line = match choice.slowness {
        Some(slowness) => line.with("slow", format_args!("{slowness:.2}")),
        None => line,
    };
    with_configuration(step, with_hedge(line, send.is_hedge))
}

/// Returns the record of a send that has ended.
pub(super) fn ended(
    ctx: &Context<'_>,
    pending: &Pending,
    active: &ActiveSend,
    end: &End,
) -> Record {
    let line = Record::new("ended")
        .with("request", &pending.arrival.attempt)
        .with("send", active.id.number)
        .with("target", &active.target)
        .with("took", ctx.at.since(active.at));
    let line = with_hedge(line, active.is_hedge);
    match end {
        End::Complete { ok } => line.with("end", if *ok { "whole" } else { "whole_failure" }),
        End::Failed { status } => line.with("end", "failed").with("status", status),
        End::Ambiguous { status } => line.with("end", "ambiguous").with("status", status),
        End::NotSent { reason } => line.with("end", "not_sent").with("reason", reason),
        End::ConfigExpired => line.with("end", "fenced"),
        End::NotRun { status, moved } => {
            line.with("end", "not_run").with("status", status).with("moved", moved)
        }
        End::Interrupted { reason, relayed } => line
            .with("end", "broken")
            .with("reason", reason)
            .with("relayed", relayed)
            .with("parts", part_ids(&pending.arrival)),
        End::AnswerTimeout => line.with("end", "silent"),
    }
}

/// Marks the record of a second send.
fn with_hedge(line: Record, is_hedge: bool) -> Record {
    if is_hedge { line.with("hedge", true) } else { line }
}

/// Returns the record of a second send.
pub(super) fn hedged(
    ctx: &Context<'_>,
    pending: &Pending,
    first: &ActiveSend,
    hedge: &ActiveSend,
    late_after: Span,
) -> Record {
    Record::new("hedged")
        .with("request", &pending.arrival.attempt)
        .with("send", hedge.id.number)
        .with("target", &hedge.target)
        .with("first", first.id.number)
        .with("first_target", &first.target)
        .with("after", ctx.at.since(first.at))
        .with("late_after", late_after)
}

/// Returns the record of an answer that came from a second send.
pub(super) fn hedge_won(ctx: &Context<'_>, pending: &Pending, hedge: &ActiveSend) -> Record {
    Record::new("hedge_won")
        .with("request", &pending.arrival.attempt)
        .with("send", hedge.id.number)
        .with("target", &hedge.target)
        .with("took", ctx.at.since(hedge.at))
}

/// Returns the record of a send that was cancelled because the other send of its request
/// was answered, with the time that its target worked in vain and the prompt tokens that
/// it was to read.
pub(super) fn cancelled(
    ctx: &Context<'_>,
    pending: &Pending,
    cancelled: &ActiveSend,
    winner: &ActiveSend,
) -> Record {
    let line = Record::new("ended")
        .with("request", &pending.arrival.attempt)
        .with("send", cancelled.id.number)
        .with("target", &cancelled.target)
        .with("took", ctx.at.since(cancelled.at));
    with_hedge(line, cancelled.is_hedge)
        .with("end", "cancelled")
        .with("unread", cancelled.backlog)
        .with("answered", winner.id.number)
}

/// Returns the record of requests that were not hedged for the same reason.
pub(super) fn hedge_denied(denial: Denial, count: u64) -> Record {
    Record::new("hedge_denied").with("reason", denial).with("requests", count)
}

/// Returns the ids of the first parts of a prompt, which tell what interrupted requests
/// have in common.
fn part_ids(arrival: &Arrival) -> String {
    let ids = arrival.parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",")
}

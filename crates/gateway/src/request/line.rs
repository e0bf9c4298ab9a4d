//! Log lines of requests.

use briarshift_logging::Record;

use super::choice::Choice;
use super::flight::{Flight, Sent};
use super::view::Turn;
use super::{Arrival, End, Refusal, Send};
use crate::Context;

/// A request is refused.
pub(super) fn refused(turn: &Turn<'_, '_>, arrival: &Arrival, refusal: &Refusal) -> Record {
    let Refusal { cause, retry_after } = *refusal;
    let line = Record::new("refused")
        .with("request", &arrival.attempt)
        .with("cause", cause.label())
        .with("outcome", if cause.is_not_run() { "not_run" } else { "unknown" })
        .with("host", &arrival.host)
        .with("path", &arrival.path)
        .with("after", turn.ctx.at.since(arrival.at))
        .with("retry_after", retry_after.unwrap_or_default());
    configuration(turn, line)
}

/// A caller left before the end.
pub(super) fn left(ctx: &Context<'_>, flight: &Flight) -> Record {
    let line = Record::new("caller_left")
        .with("request", &flight.arrival.attempt)
        .with("after", ctx.at.since(flight.arrival.at));
    match &flight.sent {
        Some(sent) => line.with("target", &sent.target).with("begun", sent.begun),
        None => line,
    }
}

/// Adds the configuration that decided, and how long ago it was the newest.
fn configuration(turn: &Turn<'_, '_>, line: Record) -> Record {
    let Turn { ctx, view, .. } = turn;
    let revision = view.catalog.map(|catalog| catalog.revision()).unwrap_or_default();
    let age = view.fence.confirmed_at().map(|at| ctx.at.since(at));
    let line = line.with("catalog", revision);
    match age {
        Some(age) => line.with("confirmed_ms_ago", age.as_millis()),
        None => line.with("confirmed_ms_ago", "never"),
    }
}

/// A request is sent to a target.
pub(super) fn placed(turn: &Turn<'_, '_>, flight: &Flight, choice: &Choice, send: &Send) -> Record {
    let line = Record::new("placed")
        .with("request", &flight.arrival.attempt)
        .with("send", send.id.number)
        .with("route", &flight.route.id)
        .with("kind", flight.route.kind.label())
        .with("pool", &flight.pool)
        .with("target", &choice.target)
        .with("load", choice.load)
        .with("backlog", choice.backlog)
        .with("seats", choice.seats)
        .with("held", choice.held)
        .with("shared", flight.shared_tokens())
        .with("fetch", choice.fetch.as_ref().map_or("none", |holder| holder.target.as_str()))
        .with("unread", choice.unread)
        .with("prompt", flight.key())
        .with("left", send.deadline.since(turn.ctx.at));
    configuration(turn, line)
}

/// A send has ended.
pub(super) fn ended(ctx: &Context<'_>, flight: &Flight, sent: &Sent, end: &End) -> Record {
    let line = Record::new("ended")
        .with("request", &flight.arrival.attempt)
        .with("send", sent.id.number)
        .with("target", &sent.target)
        .with("took", ctx.at.since(sent.at));
    match end {
        End::Complete { ok } => line.with("end", if *ok { "whole" } else { "whole_failure" }),
        End::Failed { status } => line.with("end", "failed").with("status", status),
        End::NotSent { reason } => line.with("end", "not_sent").with("reason", reason),
        End::Fenced => line.with("end", "fenced"),
        End::NotRun { status, moved } => {
            line.with("end", "not_run").with("status", status).with("moved", moved)
        }
        End::Interrupted { reason, relayed } => {
            line.with("end", "broken").with("reason", reason).with("relayed", relayed)
        }
        End::AnswerTimeout => line.with("end", "silent"),
    }
}

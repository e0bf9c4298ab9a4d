//! Where a request goes.

use std::net::SocketAddr;

use briarshift_routing::selection::{self, Candidate};
use briarshift_units::{Moment, Span, TargetId};
use briarshift_wire::heartbeat::TargetHash;

use super::flight::Flight;
use super::view::Turn;
use crate::Context;
use crate::limit::{ANSWER_TIMEOUT_FACTOR, MIN_FETCH_TOKENS};

/// Where a request goes, and what it brings there.
pub(super) struct Choice {
    pub target: TargetId,
    /// Prompt tokens that the target has to read.
    pub unread: u64,
    /// Prompt tokens that it holds.
    pub held: u64,
    /// Requests that it holds, from all VMs.
    pub load: u32,
    /// Prompt tokens that it has still to read.
    pub backlog: u64,
    /// Targets that it was chosen from.
    pub seats: usize,
    /// Where the parts that it lacks are held.
    pub fetch: Option<Holder>,
}

/// A target that holds more of a prompt than the one it goes to.
pub(super) struct Holder {
    pub target: TargetId,
    pub address: SocketAddr,
    held: u64,
}

/// The target for a request; `None` if its pool has none.
pub(super) fn choose(turn: &Turn<'_, '_>, flight: &Flight) -> Option<Choice> {
    let Turn { ctx, view, .. } = turn;
    let glance = view.glance(ctx);
    let mut seats = view.targets.seats(&glance, &flight.pool, &flight.tried);
    // A target that it could not reach, or that broke off, may be the only one.
    if seats.is_empty() {
        seats = view.targets.seats(&glance, &flight.pool, &[]);
    }
    let held =
        |seat: &Candidate<'_>| view.cache.held(TargetHash::of(seat.name), flight.shared(), ctx.at);
    let seat = if flight.parts.is_empty() {
        selection::select_runner(&seats, ctx.entropy)
    } else {
        let prompt = flight.prompt(view.cache.share(flight.shared(), ctx.at));
        selection::select_engine(&seats, &prompt, &ctx.me.bounds.engine_load, held, ctx.entropy)
    };
    let seat = &seats[seat?];
    let Candidate { name, load, backlog, .. } = *seat;
    let held = held(seat);
    let target: TargetId = name.parse().ok()?;
    let fetch = holder(turn, flight, &target, held);
    let there = fetch.as_ref().map_or(held, |holder| holder.held);
    let unread = flight.tokens().saturating_sub(there);
    Some(Choice { target, unread, held, load, backlog, seats: seats.len(), fetch })
}

/// A target that holds most of a prompt, if that is worth a transfer beside the
/// `held` tokens of where the prompt goes: one of the same data centre if there
/// is one, and not always the same, since transfers from one target queue. A
/// leaving target can still give.
fn holder(turn: &Turn<'_, '_>, flight: &Flight, to: &TargetId, held: u64) -> Option<Holder> {
    let Turn { ctx, view, .. } = turn;
    let entry = |mark| view.targets.marked(mark);
    let centre = &view.targets.get(to)?.target.data_centre;
    let usable = |mark| {
        entry(mark).is_some_and(|(_, entry)| {
            entry.target.pool == flight.pool && !entry.health.is_paused(ctx.at)
        })
    };
    let holders = view.cache.holders(flight.shared(), usable, ctx.at);
    let order = |&(mark, held): &(TargetHash, u64)| {
        let near = entry(mark).is_some_and(|(_, entry)| entry.target.data_centre == *centre);
        (held, near, mark.0.wrapping_mul(ctx.entropy as u32 | 1))
    };
    let (mark, most) = holders.into_iter().max_by_key(order)?;
    let (id, entry) = entry(mark)?;
    let is_worth = held + MIN_FETCH_TOKENS <= most;
    is_worth.then(|| Holder { target: id.clone(), address: entry.target.address, held: most })
}

/// When to try another target, where one may be tried.
pub(super) fn patience(ctx: &Context<'_>, flight: &Flight) -> Option<Moment> {
    let repeats = flight.route.kind.is_idempotent() && flight.attempts + 1 < flight.route.attempts;
    repeats.then(|| ctx.at + Span(flight.route.latency_goal.0 * ANSWER_TIMEOUT_FACTOR))
}

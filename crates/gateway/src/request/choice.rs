//! Where a request goes.

use std::net::SocketAddr;

use briarshift_routing::seat::{self, Seat};
use briarshift_units::{Moment, Span, TargetId};
use briarshift_wire::beat::Mark;

use super::pending::Pending;
use super::view::Step;
use crate::Context;
use crate::limit::{ANSWER_TIMEOUT_FACTOR, MIN_FETCH_TOKENS};

/// Where a request goes, and what it brings there.
pub(super) struct Choice {
    pub target: TargetId,
    /// Prompt tokens that the target has to read.
    pub unread_tokens: u64,
    /// Prompt tokens that it holds.
    pub cached_tokens: u64,
    /// Requests that it holds, from all VMs.
    pub load: u32,
    /// Prompt tokens that it has still to read.
    pub backlog: u64,
    /// Targets that it was chosen from.
    pub candidates: usize,
    /// Where the parts that it lacks are held.
    pub fetch_from: Option<Holder>,
}

/// A target that holds more of a prompt than the one it goes to.
pub(super) struct Holder {
    pub target: TargetId,
    pub address: SocketAddr,
    cached_tokens: u64,
}

/// The target for a request; `None` if its pool has none.
pub(super) fn choose(step: &Step<'_, '_>, pending: &Pending) -> Option<Choice> {
    let Step { ctx, view, .. } = step;
    let query = view.query(ctx);
    let mut candidates = view.targets.candidates(&query, &pending.pool, &pending.tried);
    // A target that it could not reach, or that broke off, may be the only one.
    if candidates.is_empty() {
        candidates = view.targets.candidates(&query, &pending.pool, &[]);
    }
    let cached_by = |candidate: &Seat<'_>| {
        view.cache.cached_tokens(Mark::of(candidate.name), pending.shared_parts(), ctx.at)
    };
    let index = if pending.parts.is_empty() {
        seat::runner(&candidates, ctx.entropy)
    } else {
        let prompt = pending.prompt(view.cache.popularity(pending.shared_parts(), ctx.at));
        seat::engine(&candidates, &prompt, &ctx.me.bounds.engine_load, cached_by, ctx.entropy)
    };
    let candidate = &candidates[index?];
    let Seat { name, load, backlog, .. } = *candidate;
    let cached_tokens = cached_by(candidate);
    let target: TargetId = name.parse().ok()?;
    let fetch_from = find_holder(step, pending, &target, cached_tokens);
    let available = fetch_from.as_ref().map_or(cached_tokens, |holder| holder.cached_tokens);
    let unread_tokens = pending.prompt_tokens().saturating_sub(available);
    Some(Choice {
        target,
        unread_tokens,
        cached_tokens,
        load,
        backlog,
        candidates: candidates.len(),
        fetch_from,
    })
}

/// A target that holds most of a prompt, if that is worth a transfer beside the
/// `held` tokens of where the prompt goes: one of the same data centre if there
/// is one, and not always the same, since transfers from one target queue. A
/// leaving target can still give.
fn find_holder(
    step: &Step<'_, '_>,
    pending: &Pending,
    to: &TargetId,
    cached_tokens: u64,
) -> Option<Holder> {
    let Step { ctx, view, .. } = step;
    let entry = |mark| view.targets.get_by_mark(mark);
    let centre = &view.targets.get(to)?.target.data_centre;
    let usable = |mark| {
        entry(mark).is_some_and(|(_, entry)| {
            entry.target.pool == pending.pool && !entry.health.is_paused(ctx.at)
        })
    };
    let holders = view.cache.holders(pending.shared_parts(), usable, ctx.at);
    let rank = |&(mark, held): &(Mark, u64)| {
        let near = entry(mark).is_some_and(|(_, entry)| entry.target.data_centre == *centre);
        (held, near, mark.0.wrapping_mul(ctx.entropy as u32 | 1))
    };
    let (mark, most) = holders.into_iter().max_by_key(rank)?;
    let (id, entry) = entry(mark)?;
    let is_worthwhile = cached_tokens + MIN_FETCH_TOKENS <= most;
    is_worthwhile.then(|| Holder {
        target: id.clone(),
        address: entry.target.address,
        cached_tokens: most,
    })
}

/// When to try another target, where one may be tried.
pub(super) fn answer_deadline(ctx: &Context<'_>, pending: &Pending) -> Option<Moment> {
    let may_retry =
        pending.route.kind.is_idempotent() && pending.attempts + 1 < pending.route.attempts;
    may_retry.then(|| ctx.at + Span(pending.route.aim.0 * ANSWER_TIMEOUT_FACTOR))
}

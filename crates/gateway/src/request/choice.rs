//! Chooses the target for a request.

use std::net::SocketAddr;

use briarshift_routing::selection::{self, Candidate};
use briarshift_routing::spread;
use briarshift_units::{Moment, Span, TargetId};
use briarshift_wire::heartbeat::TargetHash;

use super::pending::Pending;
use super::placement::Placement;
use super::view::Step;
use crate::Context;
use crate::limit::{ANSWER_TIMEOUT_FACTOR, MIN_FETCH_TOKENS};

/// The chosen target, and how much of the prompt it has to read.
pub(super) struct Choice {
    pub target: TargetId,
    /// Prompt tokens that neither the target nor the holder has cached.
    pub unread_tokens: u64,
    /// Prompt tokens that the target has cached.
    pub cached_tokens: u64,
    /// Requests at the target, from all VMs.
    pub load: u32,
    /// Prompt tokens that the target has still to read, for all VMs.
    pub backlog: u64,
    /// Number of targets to choose from.
    pub candidates: usize,
    /// More requests are known at the target than it runs at the same time.
    pub has_queue: bool,
    /// Memory that was free at the target, in tokens, if requests are placed by it.
    pub room: Option<u64>,
    /// How many times longer than usual work takes at the target, if requests are placed
    /// by that.
    pub slowness: Option<f64>,
    /// Where to fetch parts that the target lacks.
    pub fetch_from: Option<Holder>,
}

/// A target that has cached more of a prompt than the chosen one.
pub(super) struct Holder {
    pub target: TargetId,
    pub address: SocketAddr,
    cached_tokens: u64,
}

/// Why no target can get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denied {
    /// Its pool has no target.
    NoTarget,
    /// Operators evacuate the data centres of the targets that its pool has.
    Evacuated,
    /// Targets have reached the limits that they name, until this time, and the others
    /// have no room.
    Limited(Moment),
    /// No target has memory for the request.
    NoMemory,
    /// The prompt is larger than the memory of each target of its pool.
    TooLarge,
}

/// Chooses the target for a request.
///
/// # Errors
///
/// Returns why there is none.
pub(super) fn choose(step: &Step<'_, '_>, pending: &Pending) -> Result<Choice, Denied> {
    let Step { ctx, view, .. } = step;
    let query = view.query(ctx, pending);
    let mut candidates = view.targets.candidates(&query, &pending.pool, &pending.tried);
    // All targets of the pool may have failed this request; one of them has to
    // be tried again.
    if candidates.is_empty() {
        candidates = view.targets.candidates(&query, &pending.pool, &[]);
    }
    choose_among(step, pending, &candidates)
}

/// Chooses one of these targets for a request.
///
/// # Errors
///
/// Returns why there is none.
pub(super) fn choose_among(
    step: &Step<'_, '_>,
    pending: &Pending,
    candidates: &[Candidate<'_>],
) -> Result<Choice, Denied> {
    let Step { ctx, view, .. } = step;
    let query = view.query(ctx, pending);
    let cached_by = |candidate: &Candidate<'_>| view.held_tokens(ctx, pending, candidate.name);
    let limited_until = view.targets.limited_until(&query, &pending.pool);
    let denied = match limited_until {
        Some(until) => Denied::Limited(until),
        None if candidates.is_empty() && view.targets.has_evacuated_of(&pending.pool) => {
            Denied::Evacuated
        }
        None => Denied::NoTarget,
    };
    let placement = Placement::new(step, pending, &query, candidates)?;
    let index = if pending.parts.is_empty() {
        match placement.by_speed() {
            true => placement.select_runner(candidates),
            false => select_runner(step, candidates),
        }
    } else {
        let prompt = pending.prompt(view.cache.popularity(pending.shared_parts(), ctx.at));
        let bound = &ctx.me.bounds.engine_load;
        // What engines at their limits do not get must not drown the others.
        if limited_until.is_some() && !selection::has_room(candidates, &prompt, bound, cached_by) {
            return Err(denied);
        }
        match placement.by_speed() {
            true => placement.select_engine(candidates, &prompt, cached_by),
            false => selection::select_engine(candidates, &prompt, bound, cached_by, ctx.entropy),
        }
    };
    let without = if candidates.is_empty() { denied } else { Denied::NoMemory };
    let candidate = &candidates[index.ok_or(without)?];
    let Candidate { name, load, backlog, .. } = *candidate;
    let cached_tokens = cached_by(candidate);
    let target: TargetId = name.parse().map_err(|_| denied)?;
    let room = placement.room(candidate, cached_tokens);
    let slowness = placement.known_slowness(candidate);
    let has_queue = candidate.slots <= load;
    let fetch_from = find_holder(step, pending, &target, cached_tokens);
    let available = fetch_from.as_ref().map_or(cached_tokens, |holder| holder.cached_tokens);
    let unread_tokens = pending.prompt_tokens().saturating_sub(available);
    Ok(Choice {
        target,
        unread_tokens,
        cached_tokens,
        load,
        backlog,
        candidates: candidates.len(),
        has_queue,
        room,
        slowness,
        fetch_from,
    })
}

/// Selects the target of a request without a prompt, by the age of the known
/// loads.
fn select_runner(step: &Step<'_, '_>, candidates: &[Candidate<'_>]) -> Option<usize> {
    let Step { ctx, view, .. } = step;
    if view.peers.uses_relays() {
        let vm_share = view.peers.data_centre_share(ctx.me);
        return spread::select_runner(candidates, vm_share, ctx.entropy);
    }
    selection::select_runner(candidates, ctx.entropy)
}

/// Returns the target that has the most tokens of a prompt cached, if a transfer
/// to the `chosen` target, which has `cached_tokens` of them, is worthwhile.
/// Among targets with equally many, prefers those in the chosen target's data
/// centre, then picks at random, since transfers from the same target queue up.
/// A leaving target still serves transfers, and so does one in an evacuated data centre.
fn find_holder(
    step: &Step<'_, '_>,
    pending: &Pending,
    chosen: &TargetId,
    cached_tokens: u64,
) -> Option<Holder> {
    let Step { ctx, view, .. } = step;
    let entry = |hash| view.targets.get_by_hash(hash);
    let data_centre = &view.targets.get(chosen)?.target.data_centre;
    let usable = |hash| {
        entry(hash).is_some_and(|(_, entry)| {
            entry.target.pool == pending.pool && !entry.health.is_paused(ctx.at)
        })
    };
    let holders = view.cache.holders(pending.shared_parts(), usable, ctx.at);
    let rank = |&(hash, cached): &(TargetHash, u64)| {
        let local = entry(hash).is_some_and(|(_, entry)| entry.target.data_centre == *data_centre);
        (cached, local, hash.0.wrapping_mul(ctx.entropy as u32 | 1))
    };
    let (hash, most) = holders.into_iter().max_by_key(rank)?;
    let (id, entry) = entry(hash)?;
    let is_worthwhile = cached_tokens + MIN_FETCH_TOKENS <= most;
    is_worthwhile.then(|| Holder {
        target: id.clone(),
        address: entry.target.address,
        cached_tokens: most,
    })
}

/// Returns when to give up waiting for the beginning of an answer, if the
/// request may be sent to another target.
pub(super) fn answer_deadline(ctx: &Context<'_>, pending: &Pending) -> Option<Moment> {
    let attempts = pending.attempts + pending.active_sends().count() as u32;
    let may_retry = pending.route.kind.is_idempotent() && attempts + 1 < pending.route.attempts;
    may_retry.then(|| ctx.at + Span(pending.route.latency_goal.0 * ANSWER_TIMEOUT_FACTOR))
}

//! Lets requests go to a target, wait for room, or turns them away.
//!
//! A request goes at once while a slot of its pool is known to be free. Else it goes if its
//! account's share suffices for it and the queues at the targets are short; what does not go
//! waits here, where the order is by priority and shares, and goes when a request of this
//! VM ends or the known loads fall. See `docs/design/fair-shares.md`.

use briarshift_routing::waiting::{Bound, Item, goes, patience, places};
use briarshift_units::{Moment, PoolId, RequestId, Span};

use super::admit::admit;
use super::pending::Pending;
use super::room::{Found, Pool, Room, tokens};
use super::view::{Leaving, Step, View};
use super::{Cause, State, record};
use crate::limit::{MAX_WAITING, MAX_WAITING_TOKENS};
use crate::{Context, Output};

/// Bound on the queue of a pool.
const BOUND: Bound = Bound { requests: MAX_WAITING, tokens: MAX_WAITING_TOKENS };

impl State {
    /// Returns the number of requests that wait for room.
    pub fn waiting_count(&self) -> usize {
        self.rooms.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Returns the demands of accounts on pools that are short of room, for reports.
    pub fn demands(&self, now: Moment) -> Vec<briarshift_wire::demand::Demand> {
        self.rooms.demands(now)
    }

    /// Lets a request that has arrived go, wait for room, or turns it away.
    pub(super) fn enter(&mut self, step: &mut Step<'_, '_>, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else { return };
        let now = step.ctx.at;
        let room = Room::of(step, pending);
        let returns = self.rooms.returns.take(pending.arrival.fingerprint, now);
        let id = pending.pool.clone();
        let pool = self.rooms.pool(&id, now);
        pool.record(pending, now);
        pool.note_shortage(room, now);
        let is_free = room.is_half_free() || room.is_free() && !pool.is_short(now);
        if room.slots == 0 || is_free && pool.queue.is_empty() {
            return self.dispatch(step, request);
        }
        let found = pool.judge(step, pending, room, returns);
        let limit = limit(pool, pending, room, found.is_over());
        let goes = match found.is_over() {
            true => 0.0 < room.below(limit) && pool.take_allowance(step, room.below(limit)),
            false => goes(room.load, limit, step.view.peers.uses_relays(), step.ctx.entropy),
        };
        if goes && found.position == 0 {
            return self.dispatch(step, request);
        }
        match wait_time(pool, pending, &found, now) {
            Some(wait) => self.wait(step, &found, request, wait),
            None => {
                step.out.log(record::short("denied", pending, &found));
                self.turn_away(step, request, found.is_over(), found.expected);
            }
        }
        // Who waits goes before who comes, but what comes finds the same free slot.
        self.release(step, &id, u32::from(is_free || goes));
    }

    /// Adds a request to the queue. If that is full, the newest request of the account most
    /// over its share is turned away.
    fn wait(&mut self, step: &mut Step<'_, '_>, found: &Found, request: RequestId, wait: Span) {
        let Some(pending) = self.pending.get(&request) else { return };
        let now = step.ctx.at;
        let item = Item {
            request,
            account: pending.account.as_ref().map(|account| account.id.clone()),
            priority: pending.priority(),
            excess: found.excess(),
            returns: found.returns,
            tokens: tokens(pending),
            since: now,
            until: now + wait,
            deadline: pending.deadline,
        };
        step.out.log(record::short("waits", pending, found));
        for evicted in self.rooms.pool(&pending.pool, now).queue.push(item, &BOUND) {
            self.turn_away(step, evicted.request, evicted.is_over(), found.expected);
        }
    }

    /// Refuses a request for which there is no room.
    fn turn_away(
        &mut self,
        step: &mut Step<'_, '_>,
        request: RequestId,
        is_over: bool,
        expected: Span,
    ) {
        let Some(pending) = self.pending.get(&request) else { return };
        let now = step.ctx.at;
        let wait = self.rooms.pool(&pending.pool, now).return_time(pending, expected, now);
        self.rooms.returns.insert(pending.arrival.fingerprint, now + wait, now);
        let cause = if is_over { Cause::OverShare } else { Cause::NoRoom };
        self.refuse_pending_after(step, request, cause, wait);
    }

    /// Gives up the requests that have waited as long as they may, or that this VM no longer
    /// serves, and sends others if there is room.
    pub fn poll(&mut self, ctx: &Context<'_>, view: &mut View<'_>, out: &mut Output) {
        let step = &mut Step { ctx, view, out };
        let ids: Vec<_> = self.rooms.pools.keys().cloned().collect();
        for id in ids {
            let Some(pool) = self.rooms.pools.get_mut(&id) else { continue };
            for item in pool.queue.remove_expired(ctx.at) {
                let expected = item.until.since(item.since);
                self.turn_away(step, item.request, item.is_over(), expected);
            }
            if step.view.leaving != Leaving::No {
                self.refuse_unserved(step, &id);
            }
            self.release(step, &id, 0);
        }
    }

    /// Refuses the waiting requests that this VM no longer serves because it shuts down.
    fn refuse_unserved(&mut self, step: &mut Step<'_, '_>, id: &PoolId) {
        let Some(pool) = self.rooms.pools.get(id) else { return };
        let waiting: Vec<_> =
            pool.queue.in_order(step.ctx.at).into_iter().map(|item| item.request).collect();
        for request in waiting {
            let Some(pending) = self.pending.get(&request) else { continue };
            if let Err(cause) = admit(step, &pending.arrival) {
                self.rooms.remove(id, request);
                self.refuse_pending(step, request, cause);
            }
        }
    }

    /// Sends waiting requests of a pool while there is room: as many as this VM's part of it,
    /// and `extra` for slots that its own requests have just left.
    pub(super) fn release(&mut self, step: &mut Step<'_, '_>, id: &PoolId, extra: u32) {
        let mut extra = extra;
        loop {
            let Some(pool) = self.rooms.pools.get_mut(id) else { return };
            if pool.queue.is_empty() {
                return;
            }
            let Some((request, free)) = next(step, &self.pending, pool) else { return };
            if 0 < extra {
                extra -= 1;
            } else if !pool.take_allowance(step, free) {
                return;
            }
            self.leave_queue(step, id, request);
        }
    }

    /// Sends a request that has waited, if it would still be accepted.
    fn leave_queue(&mut self, step: &mut Step<'_, '_>, id: &PoolId, request: RequestId) {
        let Some(pool) = self.rooms.pools.get_mut(id) else { return };
        let Some(item) = pool.queue.serve(request) else { return };
        let Some(pending) = self.pending.get(&request) else { return };
        step.out.log(record::waited(step.ctx, pending, item.since));
        match admit(step, &pending.arrival) {
            Ok(pending) => {
                self.pending.insert(request, pending);
                self.dispatch(step, request);
            }
            Err(cause) => self.refuse_pending(step, request, cause),
        }
    }
}

/// Returns the first request in the order of the queue that there is room for, and how far
/// the load is below its limit.
fn next(
    step: &Step<'_, '_>,
    pending: &std::collections::HashMap<RequestId, Pending>,
    pool: &Pool,
) -> Option<(RequestId, f64)> {
    let items = pool.queue.in_order(step.ctx.at);
    // Targets differ only by pool, so all requests of the queue see the same room.
    let room = items.iter().find_map(|item| pending.get(&item.request));
    let room = room.map(|pending| Room::of(step, pending))?;
    items.into_iter().find_map(|item| {
        let pending = pending.get(&item.request)?;
        // Without targets, the request is refused at once.
        let free = match room.slots {
            0 => f64::INFINITY,
            _ => room.below(limit(pool, pending, room, item.is_over())),
        };
        (0.0 < free).then_some((item.request, free))
    })
}

/// Returns the load up to which a request goes.
fn limit(pool: &Pool, pending: &Pending, room: Room, is_over: bool) -> f64 {
    let goal = pending.route.latency_goal;
    let overload = is_over.then(|| pool.overload());
    let is_urgent = pool.is_urgent(pending.priority());
    places(room.slots, goal, pool.slot_time(pending), is_urgent, overload)
}

/// Returns how long a request waits for its turn. `None` if it is turned away at once.
fn wait_time(pool: &Pool, pending: &Pending, found: &Found, now: Moment) -> Option<Span> {
    let left = pending.deadline.since(now);
    patience(pending.route.latency_goal, found.expected, left, pool.slot_time(pending))
}

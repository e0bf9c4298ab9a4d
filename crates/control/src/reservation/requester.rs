//! Requests reservations for the requests that this VM received.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_units::{Moment, PoolId, RequestId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Denial, Message, Peer, Requirements, Reservation};

use super::{Decision, Incoming, Key, Partitioning, Step};
use crate::{Output, Record, Signal, target::Target};

/// A request for a reservation that isn't answered within this time is sent to
/// the next VM.
const RESERVE_TIMEOUT: Span = Span::from_millis(100);
/// Time after which the request for a reservation is repeated for a queued
/// request, in case the admitting VM has failed.
const QUEUE_TIMEOUT: Span = Span::from_millis(1000);
/// Longest delay of a release, which is sent along with the next request for a
/// reservation if there is one.
const MAX_RELEASE_DELAY: Span = Span::from_millis(20);
/// Unanswered requests for a reservation after which this VM admits locally.
const MAX_RESERVE_TIMEOUTS: u32 = 2;
/// Redirects and refused grants after which this VM admits locally.
const MAX_HOPS: u32 = 8;

/// A request that waits for a reservation.
#[derive(Debug)]
struct Pending {
    key: Key,
    requirements: Requirements,
    since: Moment,
    /// The VM that was asked last, `-` before the first.
    to: VmId,
    sent_at: Moment,
    /// Whether the request waits in that VM's queue.
    queued: bool,
    /// Number of unanswered requests for the reservation.
    timeouts: u32,
    /// Number of redirects and refused grants.
    hops: u32,
    /// The last VM that did not answer.
    unresponsive: Option<VmId>,
}

/// A reservation that this VM was granted and holds.
#[derive(Debug)]
struct Grant {
    pool: PoolId,
    target: TargetId,
    granted_by: VmId,
    overnight: bool,
}

impl Grant {
    fn key(&self, partitioning: &Partitioning) -> Key {
        Key { pool: self.pool.clone(), slice: partitioning.slice_of(&self.pool, &self.target) }
    }
}

/// Releases to be sent to one VM together.
#[derive(Debug)]
struct Batch {
    since: Moment,
    requests: Vec<RequestId>,
}

/// Requests of this VM that hold a reservation or wait for one.
#[derive(Debug, Default)]
pub struct State {
    pending: BTreeMap<RequestId, Pending>,
    held: BTreeMap<RequestId, Grant>,
    load: BTreeMap<TargetId, u32>,
    releases: BTreeMap<VmId, Batch>,
}

impl State {
    /// Adds a request that needs a reservation.
    pub fn add(&mut self, at: Moment, key: Key, requirements: Requirements) {
        let pending = Pending {
            key,
            since: at,
            to: "-".parse().expect("a hyphen is an identifier"),
            sent_at: at,
            queued: false,
            timeouts: 0,
            hops: 0,
            unresponsive: None,
            requirements,
        };
        self.pending.insert(pending.requirements.request, pending);
    }

    /// Removes a request. Returns its slice and the VM that was asked for the
    /// reservation or granted it.
    pub fn remove(
        &mut self,
        partitioning: &Partitioning,
        request: RequestId,
    ) -> Option<(Key, VmId)> {
        if let Some(pending) = self.pending.remove(&request) {
            return Some((pending.key, pending.to));
        }
        let grant = self.held.remove(&request)?;
        if let Some(load) = self.load.get_mut(&grant.target) {
            *load -= 1;
        }
        Some((grant.key(partitioning), grant.granted_by))
    }

    /// Handles the message that a request waits in the admitting VM's queue.
    pub fn handle_queued(&mut self, at: Moment, request: RequestId) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.queued = true;
            pending.sent_at = at;
        }
    }

    /// Lets the requests that wait for a reservation of a slice be redirected again. The VM
    /// that admits for it is known by its own word.
    pub fn reset_hops(&mut self, key: &Key) {
        for pending in self.pending.values_mut().filter(|pending| pending.key == *key) {
            pending.hops = 0;
        }
    }

    /// Handles the denial of a reservation.
    pub fn handle_denial(&mut self, request: RequestId, reason: Denial, out: &mut Output) {
        if self.pending.remove(&request).is_some() {
            out.signal(Signal::ReservationDecided(Decision { request, result: Err(reason) }));
        }
    }

    /// Adds a release to the batch for a VM.
    pub fn release_later(&mut self, at: Moment, vm: &VmId, request: RequestId) {
        let batch = Batch { since: at, requests: Vec::new() };
        let batch = self.releases.entry(vm.clone()).or_insert(batch);
        batch.requests.push(request);
    }

    /// Removes and returns the batches of releases that are due.
    pub fn due_releases(&mut self, at: Moment) -> Vec<(VmId, Vec<RequestId>)> {
        let due =
            self.releases.extract_if(.., |_, batch| MAX_RELEASE_DELAY <= at.since(batch.since));
        due.map(|(vm, batch)| (vm, batch.requests)).collect()
    }

    /// Returns the requests that got no answer in time. A request queued at a VM
    /// that became unresponsive gets the short timeout.
    pub fn overdue(&self, at: Moment, is_unresponsive: impl Fn(&VmId) -> bool) -> Vec<RequestId> {
        let overdue = self.pending.iter().filter(|(_, pending)| {
            let waits = pending.queued && !is_unresponsive(&pending.to);
            let timeout = if waits { QUEUE_TIMEOUT } else { RESERVE_TIMEOUT };
            timeout <= at.since(pending.sent_at)
        });
        overdue.map(|(request, _)| *request).collect()
    }

    /// Returns the slices in which this VM holds reservations.
    pub fn slices(&self, partitioning: &Partitioning) -> BTreeSet<Key> {
        self.held.values().map(|grant| grant.key(partitioning)).collect()
    }

    /// Returns the reservations held in one slice.
    pub fn held(&self, key: &Key) -> Vec<Reservation> {
        let held = self.held.iter();
        let held = held.filter(|(_, grant)| grant.pool == key.pool && key.contains(&grant.target));
        let held = held.map(|(request, grant)| Reservation {
            request: *request,
            target: grant.target.clone(),
            overnight: grant.overnight,
        });
        held.collect()
    }

    /// Returns the number of reservations held on a target.
    pub fn load(&self, target: &TargetId) -> u32 {
        self.load.get(target).copied().unwrap_or(0)
    }
}

impl super::State {
    /// Asks the admitting VM of the request's slice for a reservation.
    pub(super) fn send_reserve(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(pending) = self.requester.pending.get_mut(&request) else { return };
        let admit_locally = MAX_RESERVE_TIMEOUTS <= pending.timeouts || MAX_HOPS <= pending.hops;
        if admit_locally {
            self.admitters.admit_locally(step.ctx.at, &pending.key);
        }
        pending.key.slice = self.partitioning.choose_slice(step.view, &pending.requirements);
        pending.to = self.admitters.admitting_vm(step.ctx, step.view, &pending.key).clone();
        pending.sent_at = step.ctx.at;
        pending.queued = false;
        let (key, requirements, unresponsive) =
            (pending.key.clone(), pending.requirements.clone(), pending.unresponsive.clone());
        let waited = step.ctx.at.since(pending.since);
        let to = pending.to.clone();
        let context_target =
            requirements.cached_on.as_ref().and_then(|(id, _)| step.view.targets.get(id));
        let context_target_available = context_target.is_some_and(Target::takes_work);
        if to == step.ctx.me.vm {
            let request = Incoming {
                from: to,
                key,
                requirements,
                waited,
                context_target_available,
                unresponsive,
            };
            self.handle_reserve(step, request);
            return;
        }
        self.announce_to(step, &key, &to);
        let released = self.requester.releases.remove(&to).map(|batch| batch.requests);
        let released = released.unwrap_or_default();
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        let slice = key.slice;
        let message = Message::Reserve {
            requirements,
            slice,
            waited_ms,
            context_target_available,
            unresponsive,
            released,
        };
        self.send(step, &to, message);
    }

    /// Repeats a request for a reservation that was not answered in time. Unless
    /// the request waits in a queue, marks the VM that was asked as unresponsive,
    /// so that the next one is asked. Denies the request if it has waited longer
    /// than its queue allows.
    pub(super) fn retry_reserve(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(pending) = self.requester.pending.get_mut(&request) else { return };
        let to = pending.to.clone();
        if to == step.ctx.me.vm {
            pending.sent_at = step.ctx.at;
            return;
        }
        let pool = step.view.document.pools.iter().find(|pool| pool.id == pending.key.pool);
        let limit = pool.map_or(0, |pool| pool.queue_wait_ms) + QUEUE_TIMEOUT.as_millis();
        if Span::from_millis(limit) < step.ctx.at.since(pending.since) {
            self.requester.handle_denial(request, Denial::NotAdmitting, step.out);
            self.requester.release_later(step.ctx.at, &to, request);
            return;
        }
        if !pending.queued {
            pending.timeouts += 1;
            pending.unresponsive = Some(to.clone());
            step.out.log(Record::new("ask_timeout").with("request", request).with("to", &to));
            self.admitters.mark_unresponsive(step.ctx, &to);
        }
        self.send_reserve(step, request);
    }

    /// Handles a VM's answer that another VM admits.
    pub(super) fn handle_redirect(&mut self, step: &mut Step<'_>, request: RequestId, to: Peer) {
        let Some(pending) = self.requester.pending.get_mut(&request) else { return };
        pending.hops += 1;
        let key = pending.key.clone();
        // If this VM has just stepped down, it doesn't take the slice back
        // because a third VM hasn't learned of the change yet.
        if to.vm != step.ctx.me.vm || !self.admitters.another_admits(step.ctx, &key) {
            self.admitters.record_admitter(step.ctx.at, &key, to);
        }
        self.send_reserve(step, request);
    }

    /// Handles a granted reservation. Releases it again if the request no longer
    /// waits, or if the target is unknown here or leaving.
    pub(super) fn handle_grant(
        &mut self,
        step: &mut Step<'_>,
        from: &VmId,
        request: RequestId,
        target: TargetId,
    ) {
        let pending = self.requester.pending.remove(&request);
        let Some(mut pending) = pending else {
            // Another VM has granted a reservation meanwhile, or the caller is
            // gone.
            let holds_grant =
                self.requester.held.get(&request).is_some_and(|grant| grant.granted_by == *from);
            if !holds_grant && *from != step.ctx.me.vm {
                self.requester.release_later(step.ctx.at, from, request);
            }
            return;
        };
        // A target that this VM considers dead is tried nevertheless, because
        // the admitting VM may have newer information and a failed connection
        // costs little.
        if step.view.targets.get(&target).is_none_or(|target| target.leaving.is_some()) {
            step.out
                .log(Record::new("grant_refused").with("request", request).with("target", &target));
            pending.requirements.avoid.push(target);
            pending.hops += 1;
            let gave_up = MAX_HOPS < pending.hops;
            self.requester.pending.insert(request, pending);
            if *from == step.ctx.me.vm {
                self.handle_releases(step, &[request]);
            } else {
                self.requester.release_later(step.ctx.at, from, request);
            }
            if gave_up {
                self.requester.handle_denial(request, Denial::Empty, step.out);
            } else {
                self.send_reserve(step, request);
            }
            return;
        }
        *self.requester.load.entry(target.clone()).or_default() += 1;
        let overnight = pending.requirements.overnight;
        let (pool, target_id, granted_by) =
            (pending.requirements.pool, target.clone(), from.clone());
        let grant = Grant { pool, target: target_id, granted_by, overnight };
        self.requester.held.insert(request, grant);
        step.out.signal(Signal::ReservationDecided(Decision { request, result: Ok(target) }));
    }
}

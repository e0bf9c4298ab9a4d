//! Reservations: the right to run one request on one target.
//!
//! The bound on a target's load can only be enforced by a VM that knows the
//! load exactly. Each slice of a pool (today the whole pool) therefore has one
//! admitting VM, chosen by rendezvous hashing over the live VMs, which counts
//! every reservation from its grant to its release. The VM that received a
//! request asks the admitting VM for a reservation ([`requester`]), and the
//! admitting VM grants or denies it ([`admission`]). If VMs disagree about
//! which VM admits, or if the admitting VM fails, [`admitter`] lets another VM
//! take over without granting more than the bound.

mod admission;
mod admitter;
mod chat_targets;
mod in_transit;
mod partition;
mod requester;
mod unaccounted;

use std::collections::BTreeMap;

use briarshift_settings::Document;
use briarshift_units::{Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::Message as Frame;
use briarshift_wire::reservation::{Denial, Message, Peer, Requirements};

use crate::{Effect, cache, limit, member, target};
use admission::{Answer, Phase, Waiting};
use partition::{Key, Partitioning};

/// A longer time between two events means that this VM was paused, and that
/// another VM may have taken over its slices meanwhile.
const MAX_EVENT_GAP: Span = Span::from_millis(300);

/// The answer to the [`Requirements`] of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// The target that the request may run on, or why it got none.
    pub result: Result<TargetId, Denial>,
}

/// The state of other components that reservations depend on.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The targets and their loads.
    pub targets: &'a target::State,
    /// The entry VMs of the fleet.
    pub members: &'a member::State,
    /// The document in force.
    pub document: &'a Document,
    /// Cache events of the engines that this VM admits for.
    pub cache: &'a cache::State,
}

/// One event being applied to [`State`].
pub type Step<'a> = crate::Step<'a, View<'a>>;

/// This VM's own reservations and pending requests for one, and the slices that
/// it admits for.
#[derive(Debug, Default)]
pub struct State {
    partitioning: Partitioning,
    limits: limit::State,
    admitters: admitter::State,
    requester: requester::State,
    slices: BTreeMap<Key, admission::State>,
    /// Time of the last event.
    last_at: Moment,
}

/// A request for a reservation as the admitting VM receives it.
#[derive(Debug)]
struct Incoming {
    from: VmId,
    key: Key,
    requirements: Requirements,
    waited: Span,
    context_target_available: bool,
    unresponsive: Option<VmId>,
}

impl State {
    /// Asks for a reservation on behalf of a local request. A [`Decision`]
    /// follows as a signal, during this event or a later one.
    pub fn reserve(&mut self, step: &mut Step<'_>, requirements: Requirements) {
        self.refresh(step);
        let slice = self.partitioning.choose_slice(step.view, &requirements);
        let key = Key { pool: requirements.pool.clone(), slice };
        let request = requirements.request;
        self.requester.add(step.ctx.at, key, requirements);
        self.send_reserve(step, request);
    }

    /// Releases the reservation of a local request that has ended, or withdraws
    /// its pending request for one. Informs the VM that was asked and, if another
    /// VM admits by now, that VM as well.
    pub fn release(&mut self, step: &mut Step<'_>, request: RequestId) {
        self.refresh(step);
        let Some((key, by)) = self.requester.remove(&self.partitioning, request) else { return };
        let admitting = self.admitters.admitting_vm(step.ctx, step.view, &key).clone();
        for vm in [Some(&by), Some(&admitting).filter(|admitting| **admitting != by)]
            .into_iter()
            .flatten()
        {
            if *vm == step.ctx.me.vm {
                self.handle_releases(step, &[request]);
            } else {
                self.requester.release_later(step.ctx.at, vm, request);
            }
        }
    }

    /// Handles a message from a peer.
    pub fn handle_message(&mut self, step: &mut Step<'_>, from: &VmId, message: Message) {
        self.refresh(step);
        self.admitters.record_heard(step.ctx.at, from);
        match message {
            Message::Reserve {
                requirements,
                slice,
                waited_ms,
                context_target_available,
                unresponsive,
                released,
            } => {
                self.handle_releases(step, &released);
                let key = Key { pool: requirements.pool.clone(), slice };
                let waited = Span::from_millis(u64::from(waited_ms));
                let from = from.clone();
                self.handle_reserve(
                    step,
                    Incoming {
                        from,
                        key,
                        requirements,
                        waited,
                        context_target_available,
                        unresponsive,
                    },
                );
            }
            Message::Queued { request } => self.requester.handle_queued(step.ctx.at, request),
            Message::Grant { request, target } => {
                self.handle_grant(step, from, request, target);
            }
            Message::Deny { request, reason } => {
                self.requester.handle_denial(request, reason, step.out);
            }
            Message::Redirect { request, to } => self.handle_redirect(step, request, to),
            Message::Release { requests } => self.handle_releases(step, &requests),
            Message::QueryReservations { address, pool, slice } => {
                self.admitters.record_address(from, address);
                self.handle_query(step, from, &Key { pool, slice });
            }
            Message::Reservations { address, pool, slice, reservations, admitting_peer } => {
                self.admitters.record_address(from, address);
                let key = Key { pool, slice };
                if let Some(slice) = self.slices.get_mut(&key) {
                    slice.record_held(step.ctx.at, from, reservations);
                }
                if let Some(peer) = admitting_peer {
                    self.handle_other_admitter(step, from, &key, peer);
                }
                self.serve_queue(step, &key);
            }
        }
    }

    /// Runs periodic work: serves the queues and expires their entries, repeats
    /// unanswered requests for reservations, and announces the reservations
    /// held here to the admitting VMs.
    pub fn tick(&mut self, step: &mut Step<'_>) {
        self.refresh(step);
        let admitters = &self.admitters;
        for request in
            self.requester.overdue(step.ctx.at, |vm| admitters.is_unresponsive(step.ctx.at, vm))
        {
            self.retry_reserve(step, request);
        }
        for (vm, requests) in self.requester.due_releases(step.ctx.at) {
            self.send(step, &vm, Message::Release { requests });
        }
        self.announce_reservations(step);
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.maintain(step, &key);
        }
    }

    /// Returns the number of this VM's own requests that hold a reservation on
    /// a target.
    pub fn load(&self, target: &TargetId) -> u32 {
        self.requester.load(target)
    }

    /// Returns the targets of the slices that this VM admits for.
    pub fn admitted_targets(&self) -> impl Iterator<Item = TargetId> {
        let slices = self.slices.iter().filter(|(_, slice)| *slice.phase() == Phase::Admitting);
        slices.flat_map(|(key, _)| self.partitioning.targets(key).into_owned())
    }

    /// Refreshes the partitioning. If this VM was paused, collects the
    /// reservations of its slices anew before it grants any.
    fn refresh(&mut self, step: &mut Step<'_>) {
        self.partitioning.refresh(step.ctx.at, step.view);
        let paused =
            MAX_EVENT_GAP < step.ctx.at.since(self.last_at) && Moment::default() < self.last_at;
        self.last_at = step.ctx.at;
        if !paused {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.take_over(step, &key);
        }
    }

    /// Handles a request for a reservation, from a peer or from this VM.
    /// Redirects it if another VM admits for the slice.
    fn handle_reserve(&mut self, step: &mut Step<'_>, request: Incoming) {
        let Incoming { from, key, requirements, waited, context_target_available, unresponsive } =
            request;
        let id = requirements.request;
        if let Some(unresponsive) = unresponsive {
            self.admitters.mark_unresponsive(step.ctx, &unresponsive);
        }
        let admitting = self.admitters.admitting_vm(step.ctx, step.view, &key).clone();
        if admitting != step.ctx.me.vm {
            if let Some(to) = self.admitters.peer(step.ctx, step.view, &admitting) {
                self.reply(step, &from, Message::Redirect { request: id, to });
            }
            return;
        }
        let slice = self.slices.entry(key.clone()).or_default();
        if let Some(target) = slice.granted_target(id).cloned() {
            self.reply(step, &from, Message::Grant { request: id, target });
            return;
        }
        if *slice.phase() == Phase::Idle && self.admitters.may_take_over(step.ctx.at, &key) {
            self.take_over(step, &key);
        }
        let Some(slice) = self.slices.get_mut(&key) else { return };
        if !slice.is_waiting(id) {
            let slices = self.partitioning.slice_count(&key.pool);
            // The account's limit counts a request once, at its first attempt.
            if requirements.avoid.is_empty() {
                let taken = self.limits.take(
                    step.ctx.at,
                    step.view.document,
                    &requirements.account,
                    slices,
                );
                if let Err(wait) = taken {
                    let retry_after_ms = u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX);
                    let reason = Denial::Limit { retry_after_ms };
                    self.reply(step, &from, Message::Deny { request: id, reason });
                    return;
                }
            }
            let since = Moment(step.ctx.at.0.saturating_sub(waited.0));
            let pool = step.view.document.pools.iter().find(|pool| pool.id == key.pool);
            let limit = pool.map_or(0, |pool| pool.queue_length);
            let shed = slice.enqueue(
                Waiting { vm: from.clone(), requirements, context_target_available, since },
                limit,
            );
            if let Some(answer) = shed {
                self.send_answer(step, answer);
            }
        }
        self.serve_queue(step, &key);
        let slice = self.slices.get(&key);
        if from != step.ctx.me.vm && slice.is_some_and(|slice| slice.is_waiting(id)) {
            self.reply(step, &from, Message::Queued { request: id });
        }
    }

    /// Grants reservations to requests waiting in a slice's queue, and denies
    /// those that have waited too long.
    fn serve_queue(&mut self, step: &mut Step<'_>, key: &Key) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        let admitters = &self.admitters;
        let silent = |vm: &VmId| admitters.is_silent(step.ctx, vm);
        let answers =
            slice.serve(step.ctx.at, step.view, &self.partitioning, key, silent, step.out);
        for answer in answers {
            self.send_answer(step, answer);
        }
    }

    /// Sends an answer to the VM that asked for a reservation.
    fn send_answer(&mut self, step: &mut Step<'_>, answer: Answer) {
        let Answer { vm, request, result } = answer;
        let message = match result {
            Ok(target) => Message::Grant { request, target },
            Err(reason) => Message::Deny { request, reason },
        };
        self.reply(step, &vm, message);
    }

    /// Answers a request for a reservation. An answer to this VM itself is
    /// handled directly.
    fn reply(&mut self, step: &mut Step<'_>, to: &VmId, message: Message) {
        if *to != step.ctx.me.vm {
            self.send(step, to, message);
            return;
        }
        match message {
            Message::Grant { request, target } => {
                self.handle_grant(step, to, request, target);
            }
            Message::Deny { request, reason } => {
                self.requester.handle_denial(request, reason, step.out);
            }
            Message::Redirect { request, to } => self.handle_redirect(step, request, to),
            _ => {}
        }
    }

    /// Sends a message to a peer. Does nothing if its address is unknown.
    fn send(&mut self, step: &mut Step<'_>, to: &VmId, message: Message) {
        let Some(Peer { vm, address }) = self.admitters.peer(step.ctx, step.view, to) else {
            return;
        };
        self.admitters.record_sent(step.ctx.at, &vm);
        step.out.push(Effect::Send { to: vm, address, message: Frame::Reservation(message) });
    }

    /// Handles releases as the admitting VM. A release doesn't name its slice,
    /// so every slice is searched.
    fn handle_releases(&mut self, step: &mut Step<'_>, requests: &[RequestId]) {
        if requests.is_empty() {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            let Some(slice) = self.slices.get_mut(&key) else { continue };
            for &request in requests {
                slice.release(step.ctx.at, request);
            }
            self.serve_queue(step, &key);
        }
    }
}

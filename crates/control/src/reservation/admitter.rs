//! Selects the admitting VM of a slice, and hands admission over when a VM
//! fails or when VMs disagree.
//!
//! Each VM ranks the live VMs for a slice and asks the highest-ranked one. If
//! that VM doesn't answer, it is treated as unresponsive and the next one is
//! asked. The next one first tries to reach the unresponsive VM itself and takes
//! over only if that fails. It collects the reservations that all other VMs
//! hold before it grants any, and steps down when it hears from a VM that ranks
//! higher.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_units::{Moment, Span, VmId};
use briarshift_wire::gossip::Health;
use briarshift_wire::reservation::{Message, Peer};

use super::admission::{self, Phase};
use super::{Key, Step, View};
use crate::{Context, Output, Record};

/// How long a VM that did not answer is skipped in the ranking, unless a message
/// arrives from it.
const UNRESPONSIVE_FOR: Span = Span::from_secs(30);
/// How long a VM that peers named as the admitting VM is used as such after the
/// last message from it.
const NAMED_FOR: Span = Span::from_secs(2);
/// How long this VM admits locally after several VMs did not answer.
const LOCAL_FOR: Span = Span::from_secs(2);
/// Shortest time between two takeovers of a slice by this VM. Requests wait in the queue
/// meanwhile. VMs that disagree would otherwise hand it to and fro as fast as messages
/// arrive.
const TAKEOVER_INTERVAL: Span = Span::from_millis(100);
/// A VM that sent nothing for this time may have failed.
const SILENCE: Span = Span::from_millis(500);
/// Time since its last message to an admitting VM after which a VM that holds
/// reservations sends a keepalive. Only pools with a single slice have
/// keepalives.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(200);
/// How long the reservations of a VM that is no live member are kept after the
/// last message from it.
const LOST_AFTER: Span = Span::from_secs(3);
/// Time between two checks for reservations to announce.
const ANNOUNCE_INTERVAL: Span = Span::from_millis(100);
/// Time after which the held reservations are announced again to the same VM,
/// in case a release was lost.
const REANNOUNCE_INTERVAL: Span = Span::from_secs(10);

/// A VM, and when it was last named or written to.
#[derive(Debug)]
struct Contact {
    vm: VmId,
    at: Moment,
}

/// What this VM knows about admitting VMs beyond the member list.
#[derive(Debug, Default)]
pub struct State {
    /// VMs that did not answer, and until when they are skipped.
    unresponsive: BTreeMap<VmId, Moment>,
    /// The admitting VM of a slice, as named by a peer.
    named: BTreeMap<Key, Contact>,
    /// Slices that this VM admits for locally, and until when.
    local: BTreeMap<Key, Moment>,
    /// When this VM last took over a slice.
    taken_over: BTreeMap<Key, Moment>,
    /// The VM that the reservations of a slice were last announced to.
    announced: BTreeMap<Key, Contact>,
    announced_at: Option<Moment>,
    /// When a message last arrived from each VM.
    heard: BTreeMap<VmId, Moment>,
    /// When a message was last sent to each VM.
    sent: BTreeMap<VmId, Moment>,
    /// Addresses of VMs that the member list may lack.
    addresses: BTreeMap<VmId, SocketAddr>,
}

impl State {
    /// Returns the VM that admits for a slice, as far as this VM knows.
    pub fn admitting_vm<'a>(&'a self, ctx: &Context<'a>, view: View<'a>, key: &Key) -> &'a VmId {
        if self.local.get(key).is_some_and(|&until| ctx.at < until) {
            return &ctx.me.vm;
        }
        if let Some(contact) = self.named.get(key).filter(|contact| self.is_current(ctx, contact)) {
            return &contact.vm;
        }
        let live = view.members.live().map(|member| &member.vm);
        let responsive = live.filter(|vm| !self.is_unresponsive(ctx.at, vm));
        key.highest_ranked(responsive.chain([&ctx.me.vm])).unwrap_or(&ctx.me.vm)
    }

    /// Returns a VM with its address, if that is known.
    pub fn peer(&self, ctx: &Context<'_>, view: View<'_>, vm: &VmId) -> Option<Peer> {
        let listed = view.members.get(vm).map(|member| member.address);
        let own = (*vm == ctx.me.vm).then_some(ctx.me.address);
        let address = own.or(listed).or_else(|| self.addresses.get(vm).copied())?;
        Some(Peer { vm: vm.clone(), address })
    }

    /// Marks a VM that did not answer as unresponsive.
    pub fn mark_unresponsive(&mut self, ctx: &Context<'_>, vm: &VmId) {
        if *vm != ctx.me.vm {
            self.unresponsive.insert(vm.clone(), ctx.at + UNRESPONSIVE_FOR);
        }
    }

    /// Records that a message arrived from a VM, which is responsive again.
    pub fn record_heard(&mut self, at: Moment, vm: &VmId) {
        self.unresponsive.remove(vm);
        self.heard.insert(vm.clone(), at);
    }

    /// Records that a message was sent to a VM.
    pub fn record_sent(&mut self, at: Moment, vm: &VmId) {
        self.sent.insert(vm.clone(), at);
    }

    /// Records the address of a VM that the member list may lack.
    pub fn record_address(&mut self, vm: &VmId, address: SocketAddr) {
        self.addresses.insert(vm.clone(), address);
    }

    /// Records which VM a peer named as the admitting VM of a slice.
    pub fn record_admitter(&mut self, at: Moment, key: &Key, peer: Peer) {
        self.unresponsive.remove(&peer.vm);
        self.addresses.insert(peer.vm.clone(), peer.address);
        self.named.insert(key.clone(), Contact { vm: peer.vm, at });
    }

    /// Returns true if a peer recently named another VM as the admitting VM.
    pub fn another_admits(&self, ctx: &Context<'_>, key: &Key) -> bool {
        let contact = self.named.get(key).filter(|contact| contact.vm != ctx.me.vm);
        contact.is_some_and(|contact| self.is_current(ctx, contact))
    }

    /// Lets this VM admit for a slice for a while because no other VM answers.
    pub fn admit_locally(&mut self, at: Moment, key: &Key) {
        self.local.insert(key.clone(), at + LOCAL_FOR);
    }

    /// Ends local admission for a slice, because the VM that admits has answered.
    fn end_local_admission(&mut self, key: &Key) {
        self.local.remove(key);
    }

    /// Returns true if this VM may take over a slice again.
    pub fn may_take_over(&self, at: Moment, key: &Key) -> bool {
        self.taken_over.get(key).is_none_or(|last| TAKEOVER_INTERVAL <= at.since(*last))
    }

    /// Returns true if no message arrived from a VM recently.
    pub fn is_silent(&self, ctx: &Context<'_>, vm: &VmId) -> bool {
        *vm != ctx.me.vm && SILENCE <= self.silent_for(ctx.at, vm)
    }

    fn silent_for(&self, at: Moment, vm: &VmId) -> Span {
        at.since(self.heard.get(vm).copied().unwrap_or_default())
    }

    fn is_current(&self, ctx: &Context<'_>, contact: &Contact) -> bool {
        let last = contact.at.max(self.heard.get(&contact.vm).copied().unwrap_or_default());
        ctx.at.since(last) < NAMED_FOR && !self.is_unresponsive(ctx.at, &contact.vm)
    }

    /// Returns true if a VM is skipped because it did not answer.
    pub fn is_unresponsive(&self, at: Moment, vm: &VmId) -> bool {
        self.unresponsive.get(vm).is_some_and(|&until| at < until)
    }

    /// Returns true if a VM may still hold reservations.
    fn may_hold_reservations(&self, ctx: &Context<'_>, view: View<'_>, vm: &VmId) -> bool {
        let member = view.members.get(vm);
        let listed = member.is_some_and(|member| member.health < Health::Dead);
        *vm == ctx.me.vm || listed || self.silent_for(ctx.at, vm) < LOST_AFTER
    }
}

impl super::State {
    /// Starts to take over admission for a slice: asks all live VMs which
    /// reservations they hold and which VM admits.
    pub(super) fn take_over(&mut self, step: &mut Step<'_>, key: &Key) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        self.admitters.taken_over.insert(key.clone(), step.ctx.at);
        slice.start_takeover(step.ctx.at);
        let held = self.requester.held(key);
        slice.record_held(step.ctx.at, &step.ctx.me.vm, held);
        self.log_phase(key, "claiming", step.out);
        let live: Vec<_> = step.view.members.live().map(|member| member.vm.clone()).collect();
        for vm in &live {
            self.query_reservations(step, key, vm);
        }
        if live.is_empty() {
            self.maintain(step, key);
        }
    }

    /// Answers a VM that is about to admit: sends it the reservations held here
    /// and, if another VM admits, the name of that VM.
    pub(super) fn handle_query(&mut self, step: &mut Step<'_>, from: &VmId, key: &Key) {
        let active = self.slices.get(key).is_some_and(|slice| *slice.phase() != Phase::Idle);
        let admitting = self.admitters.admitting_vm(step.ctx, step.view, key).clone();
        // This VM may rank itself highest although it doesn't admit yet.
        let another_admits = admitting != *from && (admitting != step.ctx.me.vm || active);
        let ranks_ahead = key.highest_ranked([from, &admitting].into_iter()) == Some(&admitting);
        let admitting_peer = self
            .admitters
            .peer(step.ctx, step.view, &admitting)
            .filter(|_| another_admits && ranks_ahead);
        let no_other = admitting_peer.is_none();
        self.send_reservations(step, key, from, admitting_peer);
        if active && no_other {
            // Takes effect at once, whatever the member list says. Otherwise
            // the requests that wait here would be redirected to this VM again.
            if let Some(peer) = self.admitters.peer(step.ctx, step.view, from) {
                self.admitters.record_admitter(step.ctx.at, key, peer);
            }
            self.step_down(step, key);
        }
    }

    /// Handles a peer's answer to a takeover that names another admitting VM.
    /// Does nothing if this VM ranks higher. Otherwise steps down if the peer
    /// named itself, else asks the named VM.
    pub(super) fn handle_other_admitter(
        &mut self,
        step: &mut Step<'_>,
        from: &VmId,
        key: &Key,
        peer: Peer,
    ) {
        let me = &step.ctx.me.vm;
        if peer.vm == *me || key.highest_ranked([&peer.vm, me].into_iter()) == Some(me) {
            return;
        }
        if peer.vm == *from {
            self.admitters.record_admitter(step.ctx.at, key, peer);
            self.admitters.end_local_admission(key);
            self.requester.reset_hops(key);
            self.step_down(step, key);
            return;
        }
        let vm = peer.vm.clone();
        self.admitters.record_address(&vm, peer.address);
        self.query_reservations(step, key, &vm);
    }

    /// Stops admitting for a slice and redirects the requests that wait here.
    pub(super) fn step_down(&mut self, step: &mut Step<'_>, key: &Key) {
        let Some(mut slice) = self.slices.remove(key) else { return };
        self.log_phase(key, "stepped_down", step.out);
        let admitting = self.admitters.admitting_vm(step.ctx, step.view, key).clone();
        let Some(to) = self.admitters.peer(step.ctx, step.view, &admitting) else { return };
        for waiting in slice.step_down() {
            let request = waiting.requirements.request;
            let message = Message::Redirect { request, to: to.clone() };
            self.reply(step, &waiting.vm, message);
        }
    }

    /// Runs periodic work for a slice that this VM admits for, or steps down if
    /// another VM admits now.
    pub(super) fn maintain(&mut self, step: &mut Step<'_>, key: &Key) {
        if *self.admitters.admitting_vm(step.ctx, step.view, key) != step.ctx.me.vm {
            self.step_down(step, key);
            return;
        }
        let is_delayed = self.slices.get(key).is_some_and(admission::State::awaits_takeover);
        if is_delayed && self.admitters.may_take_over(step.ctx.at, key) {
            self.take_over(step, key);
        }
        let Some(slice) = self.slices.get_mut(key) else { return };
        let live = step.view.members.live().map(|member| &member.vm);
        let (unresponsive, awaited): (Vec<_>, Vec<_>) =
            live.partition(|vm| self.admitters.is_unresponsive(step.ctx.at, vm));
        let probing = !unresponsive.is_empty();
        let finished = slice.finish_takeover(
            step.ctx.at,
            step.view,
            &self.partitioning,
            key,
            &awaited,
            probing,
        );
        slice.reconcile_reports(step.view, &self.partitioning, key);
        slice.drop_lost_vms(step.ctx.at, |vm| {
            self.admitters.may_hold_reservations(step.ctx, step.view, vm)
        });
        if finished {
            self.log_phase(key, "admitting", step.out);
        }
        self.serve_queue(step, key);
    }

    /// Announces the reservations held here to the admitting VMs whenever an
    /// admitting VM changes and at an interval, and sends keepalives.
    pub(super) fn announce_reservations(&mut self, step: &mut Step<'_>) {
        if self.admitters.announced_at.is_some_and(|at| step.ctx.at.since(at) < ANNOUNCE_INTERVAL) {
            return;
        }
        self.admitters.announced_at = Some(step.ctx.at);
        for key in self.requester.slices(&self.partitioning) {
            let admitting = self.admitters.admitting_vm(step.ctx, step.view, &key).clone();
            if admitting == step.ctx.me.vm {
                continue;
            }
            let contact = self.admitters.announced.get(&key);
            if contact.is_some_and(|contact| REANNOUNCE_INTERVAL <= step.ctx.at.since(contact.at)) {
                self.admitters.announced.remove(&key);
            }
            self.announce_to(step, &key, &admitting);
            let sent = self.admitters.sent.get(&admitting).copied().unwrap_or_default();
            if KEEPALIVE_INTERVAL <= step.ctx.at.since(sent)
                && self.partitioning.slice_count(&key.pool) == 1
            {
                let message = Message::Release { requests: Vec::new() };
                self.send(step, &admitting, message);
            }
        }
    }

    /// Announces the reservations held here to a VM, unless the last
    /// announcement went to it.
    pub(super) fn announce_to(&mut self, step: &mut Step<'_>, key: &Key, vm: &VmId) {
        if self.admitters.announced.get(key).is_none_or(|contact| contact.vm != *vm) {
            self.send_reservations(step, key, vm, None);
        }
    }

    fn send_reservations(
        &mut self,
        step: &mut Step<'_>,
        key: &Key,
        to: &VmId,
        admitting_peer: Option<Peer>,
    ) {
        let address = step.ctx.me.address;
        let (pool, slice) = (key.pool.clone(), key.slice);
        let reservations = self.requester.held(key);
        self.admitters.announced.insert(key.clone(), Contact { vm: to.clone(), at: step.ctx.at });
        let message = Message::Reservations { address, pool, slice, reservations, admitting_peer };
        self.send(step, to, message);
    }

    fn query_reservations(&mut self, step: &mut Step<'_>, key: &Key, to: &VmId) {
        let address = step.ctx.me.address;
        let (pool, slice) = (key.pool.clone(), key.slice);
        self.send(step, to, Message::QueryReservations { address, pool, slice });
    }

    fn log_phase(&self, key: &Key, phase: &str, out: &mut Output) {
        let line = Record::new("admitting").with("pool", &key.pool);
        out.log(line.with("slice", key.slice.0).with("phase", phase));
    }
}

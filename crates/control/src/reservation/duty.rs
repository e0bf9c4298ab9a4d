//! Who admits, when VMs disagree or one is lost.
//!
//! Each VM ranks the live VMs for a slice and asks the first. A VM that does
//! not answer is doubted and the next is asked, which first tries to reach the
//! doubted one itself: only if that fails does it take over. It collects the
//! places that all others hold before it grants any, and steps down when a VM
//! that ranks before it is heard again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_units::{Moment, Span, VmId};
use briarshift_wire::gossip::Health;
use briarshift_wire::reservation::{Message, Peer};

use super::admit::Phase;
use super::{Key, Scope, View};
use crate::{Context, Output, Record};

/// How long a VM that did not answer is passed over.
const DOUBT: Span = Span::from_secs(30);
/// How long a VM that others name as admitting is believed to be, after it
/// was last heard.
const TRUST: Span = Span::from_secs(2);
/// How long this VM decides alone after others did not answer.
const ALONE: Span = Span::from_secs(2);
/// A VM that was not heard for so long may be gone.
const SILENCE: Span = Span::from_millis(500);
/// A VM that holds places is sent something at least so often.
const HEARTBEAT: Span = Span::from_millis(200);
/// How long the places are kept of a VM that is not in the list of members.
const GONE: Span = Span::from_secs(3);
/// Time between two looks at what must be told.
const TELL_INTERVAL: Span = Span::from_millis(100);
/// Time after which what is held is told again, in case a release was lost.
const TELL_AGAIN: Span = Span::from_secs(10);

#[derive(Debug)]
struct Told {
    vm: VmId,
    at: Moment,
}

/// What this VM believes about admitting VMs beyond the member list.
#[derive(Debug, Default)]
pub struct State {
    doubted: BTreeMap<VmId, Moment>,
    trusted: BTreeMap<Key, Told>,
    alone: BTreeMap<Key, Moment>,
    told: BTreeMap<Key, Told>,
    told_at: Option<Moment>,
    heard: BTreeMap<VmId, Moment>,
    sent: BTreeMap<VmId, Moment>,
    learned: BTreeMap<VmId, SocketAddr>,
}

impl State {
    /// The VM that admits for a slice.
    pub fn first<'a>(&'a self, ctx: &Context<'a>, view: View<'a>, key: &Key) -> &'a VmId {
        if self.alone.get(key).is_some_and(|&until| ctx.at < until) {
            return &ctx.me.vm;
        }
        if let Some(told) = self.trusted.get(key).filter(|told| self.is_trusted(ctx, told)) {
            return &told.vm;
        }
        let live = view.members.live().map(|member| &member.vm);
        let open = live.filter(|vm| !self.is_doubted(ctx.at, vm));
        key.first(open.chain([&ctx.me.vm])).unwrap_or(&ctx.me.vm)
    }

    /// A VM with its address, if that is known.
    pub fn peer(&self, ctx: &Context<'_>, view: View<'_>, vm: &VmId) -> Option<Peer> {
        let listed = view.members.get(vm).map(|member| member.address);
        let own = (*vm == ctx.me.vm).then_some(ctx.me.address);
        let address = own.or(listed).or_else(|| self.learned.get(vm).copied())?;
        Some(Peer { vm: vm.clone(), address })
    }

    /// A VM did not answer.
    pub fn doubt(&mut self, ctx: &Context<'_>, vm: &VmId) {
        if *vm != ctx.me.vm {
            self.doubted.insert(vm.clone(), ctx.at + DOUBT);
        }
    }

    /// A VM was heard.
    pub fn heard(&mut self, at: Moment, vm: &VmId) {
        self.doubted.remove(vm);
        self.heard.insert(vm.clone(), at);
    }

    /// Something was sent to a VM.
    pub fn sent(&mut self, at: Moment, vm: &VmId) {
        self.sent.insert(vm.clone(), at);
    }

    /// Where a VM listens that may not be in the list of members.
    pub fn learn(&mut self, vm: &VmId, address: SocketAddr) {
        self.learned.insert(vm.clone(), address);
    }

    /// Another VM says who admits.
    pub fn trust(&mut self, at: Moment, key: &Key, peer: Peer) {
        self.doubted.remove(&peer.vm);
        self.learned.insert(peer.vm.clone(), peer.address);
        self.trusted.insert(key.clone(), Told { vm: peer.vm, at });
    }

    /// Whether another VM said lately that it admits.
    pub fn trusts_another(&self, ctx: &Context<'_>, key: &Key) -> bool {
        let told = self.trusted.get(key).filter(|told| told.vm != ctx.me.vm);
        told.is_some_and(|told| self.is_trusted(ctx, told))
    }

    /// Nobody answers: decides here for a while.
    pub fn admit_alone(&mut self, at: Moment, key: &Key) {
        self.alone.insert(key.clone(), at + ALONE);
    }

    /// Whether a VM has not been heard lately.
    pub fn is_silent(&self, ctx: &Context<'_>, vm: &VmId) -> bool {
        *vm != ctx.me.vm && SILENCE <= self.silence(ctx.at, vm)
    }

    fn silence(&self, at: Moment, vm: &VmId) -> Span {
        at.since(self.heard.get(vm).copied().unwrap_or_default())
    }

    fn is_trusted(&self, ctx: &Context<'_>, told: &Told) -> bool {
        let last = told.at.max(self.heard.get(&told.vm).copied().unwrap_or_default());
        ctx.at.since(last) < TRUST && !self.is_doubted(ctx.at, &told.vm)
    }

    /// Whether a VM is passed over because it did not answer.
    pub fn is_doubted(&self, at: Moment, vm: &VmId) -> bool {
        self.doubted.get(vm).is_some_and(|&until| at < until)
    }

    /// Whether a VM may still hold places.
    fn is_known(&self, ctx: &Context<'_>, view: View<'_>, vm: &VmId) -> bool {
        let member = view.members.get(vm);
        let listed = member.is_some_and(|member| member.health < Health::Dead);
        *vm == ctx.me.vm || listed || self.silence(ctx.at, vm) < GONE
    }
}

impl super::State {
    /// Starts to take a slice over: asks the others what they hold and who
    /// admits.
    pub(super) fn claim(&mut self, scope: &mut Scope<'_>, key: &Key) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        slice.claim(scope.ctx.at);
        let held = self.entry.held(key);
        slice.told(scope.ctx.at, &scope.ctx.me.vm, held);
        self.log_phase(key, "claiming", scope.out);
        let live: Vec<_> = scope.view.members.live().map(|member| member.vm.clone()).collect();
        for vm in &live {
            self.want(scope, key, vm);
        }
        if live.is_empty() {
            self.tend(scope, key);
        }
    }

    /// Another VM is about to admit: tells it what is held here, and who
    /// admits if that is another.
    pub(super) fn wanted(&mut self, scope: &mut Scope<'_>, from: &VmId, key: &Key) {
        let active = self.slices.get(key).is_some_and(|slice| *slice.phase() != Phase::Idle);
        let first = self.duty.first(scope.ctx, scope.view, key).clone();
        // This VM ranks itself first also when it has no reason to admit yet.
        let admits = first != *from && (first != scope.ctx.me.vm || active);
        let ahead = key.first([from, &first].into_iter()) == Some(&first);
        let admits = self.duty.peer(scope.ctx, scope.view, &first).filter(|_| admits && ahead);
        let is_none = admits.is_none();
        self.hold(scope, key, from, admits);
        if active && is_none {
            // Believed at once, whatever the list of members says: else
            // whoever waits here would be sent to this VM again.
            if let Some(peer) = self.duty.peer(scope.ctx, scope.view, from) {
                self.duty.trust(scope.ctx.at, key, peer);
            }
            self.step_down(scope, key);
        }
    }

    /// A VM that was asked what it holds says that another admits.
    pub(super) fn other_admits(
        &mut self,
        scope: &mut Scope<'_>,
        from: &VmId,
        key: &Key,
        peer: Peer,
    ) {
        let me = &scope.ctx.me.vm;
        if peer.vm == *me || key.first([&peer.vm, me].into_iter()) == Some(me) {
            return;
        }
        if peer.vm == *from {
            self.duty.trust(scope.ctx.at, key, peer);
            self.step_down(scope, key);
            return;
        }
        let vm = peer.vm.clone();
        self.duty.learn(&vm, peer.address);
        self.want(scope, key, &vm);
    }

    /// Stops admitting; whoever waited here is sent on.
    pub(super) fn step_down(&mut self, scope: &mut Scope<'_>, key: &Key) {
        let Some(mut slice) = self.slices.remove(key) else { return };
        self.log_phase(key, "stepped_down", scope.out);
        let first = self.duty.first(scope.ctx, scope.view, key).clone();
        let Some(to) = self.duty.peer(scope.ctx, scope.view, &first) else { return };
        for waiting in slice.step_down() {
            let request = waiting.ask.request;
            let message = Message::Redirect { request, to: to.clone() };
            self.reply(scope, &waiting.vm, message);
        }
    }

    /// Periodic work for a slice that this VM admits for.
    pub(super) fn tend(&mut self, scope: &mut Scope<'_>, key: &Key) {
        if *self.duty.first(scope.ctx, scope.view, key) != scope.ctx.me.vm {
            self.step_down(scope, key);
            return;
        }
        let Some(slice) = self.slices.get_mut(key) else { return };
        let live = scope.view.members.live().map(|member| &member.vm);
        let (doubted, awaited): (Vec<_>, Vec<_>) =
            live.partition(|vm| self.duty.is_doubted(scope.ctx.at, vm));
        let probing = !doubted.is_empty();
        let settled = slice.settle(scope.ctx.at, scope.view, &self.roster, key, &awaited, probing);
        slice.reported(scope.view, &self.roster, key);
        slice.retain(scope.ctx.at, |vm| self.duty.is_known(scope.ctx, scope.view, vm));
        if settled {
            self.log_phase(key, "admitting", scope.out);
        }
        self.serve(scope, key);
    }

    /// Tells admitting VMs what is held here, when they change and now and
    /// then, and that this VM lives.
    pub(super) fn tell(&mut self, scope: &mut Scope<'_>) {
        if self.duty.told_at.is_some_and(|at| scope.ctx.at.since(at) < TELL_INTERVAL) {
            return;
        }
        self.duty.told_at = Some(scope.ctx.at);
        for key in self.entry.slices(&self.roster) {
            let first = self.duty.first(scope.ctx, scope.view, &key).clone();
            if first == scope.ctx.me.vm {
                continue;
            }
            let told = self.duty.told.get(&key);
            if told.is_some_and(|told| TELL_AGAIN <= scope.ctx.at.since(told.at)) {
                self.duty.told.remove(&key);
            }
            self.introduce(scope, &key, &first);
            let sent = self.duty.sent.get(&first).copied().unwrap_or_default();
            if HEARTBEAT <= scope.ctx.at.since(sent) && self.roster.parts(&key.pool) == 1 {
                let message = Message::Release { requests: Vec::new() };
                self.send(scope, &first, message);
            }
        }
    }

    /// Tells a VM what is held here, unless it was the last to be told.
    pub(super) fn introduce(&mut self, scope: &mut Scope<'_>, key: &Key, vm: &VmId) {
        if self.duty.told.get(key).is_none_or(|told| told.vm != *vm) {
            self.hold(scope, key, vm, None);
        }
    }

    fn hold(&mut self, scope: &mut Scope<'_>, key: &Key, to: &VmId, admits: Option<Peer>) {
        let address = scope.ctx.me.address;
        let (pool, slice) = (key.pool.clone(), key.slice);
        let places = self.entry.held(key);
        self.duty.told.insert(key.clone(), Told { vm: to.clone(), at: scope.ctx.at });
        let message = Message::Reservations {
            address,
            pool,
            slice,
            reservations: places,
            admitting_peer: admits,
        };
        self.send(scope, to, message);
    }

    fn want(&mut self, scope: &mut Scope<'_>, key: &Key, to: &VmId) {
        let address = scope.ctx.me.address;
        let (pool, slice) = (key.pool.clone(), key.slice);
        self.send(scope, to, Message::QueryReservations { address, pool, slice });
    }

    fn log_phase(&self, key: &Key, phase: &str, out: &mut Output) {
        let line = Record::new("admitting").with("pool", &key.pool);
        out.log(line.with("slice", key.slice.0).with("phase", phase));
    }
}

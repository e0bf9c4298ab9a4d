//! Who admits, when VMs disagree or one is lost.
//!
//! Each VM ranks the live VMs for a slice and asks the first. A VM that does
//! not answer is doubted and the next is asked, which first tries to reach the
//! doubted one itself: only if that fails does it take over. It collects the
//! places that all others hold before it grants any, and steps down when a VM
//! that ranks before it is heard again.

use std::collections::BTreeMap;

use briarshift_units::{Moment, Span, VmId};
use briarshift_wire::gossip::Health;
use briarshift_wire::place::Message;

use super::admit::Phase;
use super::{Key, View, send};
use crate::{Context, Output, Record, member};

/// How long a VM that did not answer is passed over.
const DOUBT: Span = Span::from_secs(30);
/// How long a VM that others name as admitting is believed to be.
const TRUST: Span = Span::from_secs(1);
/// How long this VM decides alone after others did not answer.
const ALONE: Span = Span::from_secs(2);
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
}

impl State {
    /// The VM that admits for a slice.
    pub fn first<'a>(&'a self, ctx: &Context<'a>, view: View<'a>, key: &Key) -> &'a VmId {
        if self.alone.get(key).is_some_and(|&until| ctx.at < until) {
            return &ctx.me.vm;
        }
        let trusted = self.trusted.get(key).filter(|told| ctx.at < told.at);
        let trusted = trusted.filter(|told| !self.is_doubted(ctx.at, &told.vm));
        if let Some(told) = trusted.filter(|told| view.members.get(&told.vm).is_some()) {
            return &told.vm;
        }
        let live = view.members.live().map(|member| &member.vm);
        let open = live.filter(|vm| !self.is_doubted(ctx.at, vm));
        key.first(open.chain([&ctx.me.vm])).unwrap_or(&ctx.me.vm)
    }

    /// A VM did not answer.
    pub fn doubt(&mut self, ctx: &Context<'_>, vm: &VmId) {
        if *vm != ctx.me.vm {
            self.doubted.insert(vm.clone(), ctx.at + DOUBT);
        }
    }

    /// A VM was heard.
    pub fn heard(&mut self, vm: &VmId) {
        self.doubted.remove(vm);
    }

    /// Another VM says who admits.
    pub fn trust(&mut self, at: Moment, key: &Key, vm: &VmId) {
        self.doubted.remove(vm);
        self.trusted.insert(key.clone(), Told { vm: vm.clone(), at: at + TRUST });
    }

    /// Nobody answers: decides here for a while.
    pub fn admit_alone(&mut self, at: Moment, key: &Key) {
        self.alone.insert(key.clone(), at + ALONE);
    }

    fn is_doubted(&self, at: Moment, vm: &VmId) -> bool {
        self.doubted.get(vm).is_some_and(|&until| at < until)
    }
}

impl super::State {
    /// Starts to take a slice over: asks every known VM, also those that are
    /// believed dead, what it holds and whether it admits.
    pub(super) fn claim(&mut self, ctx: &Context<'_>, view: View<'_>, key: &Key, out: &mut Output) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        slice.claim(ctx.at);
        let held = self.entry.held(key);
        slice.told(ctx.at, &ctx.me.vm, held);
        let line = Record::new("admitting").with("pool", &key.pool).with("slice", key.slice.0);
        out.log(line.with("phase", "claiming"));
        for member in view.members.live() {
            let (pool, slice) = (key.pool.clone(), key.slice);
            send(view, &member.vm, Message::Want { pool, slice }, out);
        }
        if view.members.live().next().is_none() {
            self.tend(ctx, view, key, out);
        }
    }

    /// Another VM is about to admit: tells it what is held here.
    pub(super) fn wanted(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        from: &VmId,
        key: &Key,
        out: &mut Output,
    ) {
        let ranks_first = key.first([from, &ctx.me.vm].into_iter()) == Some(&ctx.me.vm);
        let slice = self.slices.get(key);
        let active = slice.is_some_and(|slice| *slice.phase() != Phase::Idle);
        let admitting = ranks_first && active;
        let (pool, slice) = (key.pool.clone(), key.slice);
        let places = self.entry.held(key);
        let told = Told { vm: from.clone(), at: ctx.at };
        if !admitting {
            self.duty.told.insert(key.clone(), told);
        }
        send(view, from, Message::Hold { pool, slice, places, admitting }, out);
        if active && !ranks_first {
            self.step_down(ctx, view, key, out);
        }
    }

    /// Stops admitting; whoever waited here is sent on.
    pub(super) fn step_down(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        key: &Key,
        out: &mut Output,
    ) {
        let Some(mut slice) = self.slices.remove(key) else { return };
        let first = self.duty.first(ctx, view, key).clone();
        let line = Record::new("admitting").with("pool", &key.pool).with("slice", key.slice.0);
        out.log(line.with("phase", "stepped_down").with("to", &first));
        for waiting in slice.step_down() {
            let request = waiting.ask.request;
            let message = Message::Redirect { request, to: first.clone() };
            self.reply(ctx, view, &waiting.vm, message, out);
        }
    }

    /// Periodic work for a slice that this VM admits for.
    pub(super) fn tend(&mut self, ctx: &Context<'_>, view: View<'_>, key: &Key, out: &mut Output) {
        if *self.duty.first(ctx, view, key) != ctx.me.vm {
            self.step_down(ctx, view, key, out);
            return;
        }
        let Some(slice) = self.slices.get_mut(key) else { return };
        let live = view.members.live().map(|member| &member.vm);
        let (doubted, awaited): (Vec<_>, Vec<_>) =
            live.partition(|vm| self.duty.is_doubted(ctx.at, vm));
        let probing = !doubted.is_empty();
        if slice.settle(ctx.at, view, &self.roster, key, &awaited, probing) {
            let line = Record::new("admitting").with("pool", &key.pool);
            out.log(line.with("slice", key.slice.0).with("phase", "admitting"));
        }
        slice.reported(view, &self.roster, key);
        let known = |vm: &VmId| is_known(ctx, view.members, vm);
        slice.retain(ctx.at, known);
        self.serve(ctx, view, key, out);
    }

    /// Tells admitting VMs what is held here, when they change and now and
    /// then.
    pub(super) fn tell(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        if self.duty.told_at.is_some_and(|at| ctx.at.since(at) < TELL_INTERVAL) {
            return;
        }
        self.duty.told_at = Some(ctx.at);
        for (key, places) in self.entry.slices() {
            let first = self.duty.first(ctx, view, &key).clone();
            let told = self.duty.told.get(&key);
            let told = told.filter(|told| told.vm == first);
            let fresh = told.is_some_and(|told| ctx.at.since(told.at) < TELL_AGAIN);
            if first == ctx.me.vm || fresh {
                continue;
            }
            let (pool, slice) = (key.pool.clone(), key.slice);
            let message = Message::Hold { pool, slice, places, admitting: false };
            send(view, &first, message, out);
            self.duty.told.insert(key, Told { vm: first, at: ctx.at });
        }
    }
}

/// Whether a VM may still hold places: its member is not known to be gone.
fn is_known(ctx: &Context<'_>, members: &member::State, vm: &VmId) -> bool {
    *vm == ctx.me.vm || members.get(vm).is_some_and(|member| member.health < Health::Dead)
}

//! Places on targets: who may run where, now.
//!
//! The bound on a target's load holds only where the load is known exactly, so
//! each slice of a pool (today the whole pool) has one admitting VM, by
//! rendezvous over the live VMs. It counts every place from grant to release.
//! The VM that has a request asks it for a place ([`entry`]); the admitting VM
//! decides ([`admit`]). When VMs disagree about who admits, or the admitting
//! VM is lost, [`duty`] lets another take over without admitting twice over.

mod admit;
mod copies;
mod duty;
mod entry;
mod roster;
mod under_way;
mod untold;

use std::collections::BTreeMap;

use briarshift_settings::Document;
use briarshift_units::{Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::Message as Frame;
use briarshift_wire::place::{Ask, Denial, Message, Peer};

use crate::{Context, Effect, Output, cache, limit, member, target};
use admit::{Answer, Phase, Waiting};
use roster::{Key, Roster};

/// A longer pause between two events means that this VM was stopped, and that
/// another may have taken over meanwhile.
const PAUSE: Span = Span::from_millis(300);

/// What became of an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: RequestId,
    /// Where it may run, or why nowhere.
    pub place: Result<TargetId, Denial>,
}

/// What the placement looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Targets.
    pub targets: &'a target::State,
    /// Entry VMs.
    pub members: &'a member::State,
    /// The document in force.
    pub document: &'a Document,
    /// Cache events of the engines that this VM admits for.
    pub cache: &'a cache::State,
}

/// Places held and asked for, and the slices that this VM admits for.
#[derive(Debug, Default)]
pub struct State {
    roster: Roster,
    limits: limit::State,
    duty: duty::State,
    entry: entry::State,
    slices: BTreeMap<Key, admit::State>,
    last_at: Moment,
}

/// One VM's ask, as it reaches the admitting VM.
#[derive(Debug)]
struct Request {
    from: VmId,
    key: Key,
    ask: Ask,
    waited: Span,
    vouched: bool,
    missing: Option<VmId>,
}

impl State {
    /// Asks for a place on behalf of a local request. A [`Verdict`] follows,
    /// at once or later.
    pub fn ask(&mut self, ctx: &Context<'_>, view: View<'_>, ask: Ask, out: &mut Output) {
        self.wake(ctx, view, out);
        let slice = self.roster.slice(view, &ask);
        let key = Key { pool: ask.pool.clone(), slice };
        let request = ask.request;
        self.entry.open(ctx.at, key, ask);
        self.send_ask(ctx, view, request, out);
    }

    /// A local request has ended, or gave up waiting.
    pub fn release(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        request: RequestId,
        out: &mut Output,
    ) {
        self.wake(ctx, view, out);
        let Some((key, by)) = self.entry.close(&self.roster, request) else { return };
        let first = self.duty.first(ctx, view, &key).clone();
        for vm in [Some(&by), Some(&first).filter(|first| **first != by)].into_iter().flatten() {
            if *vm == ctx.me.vm {
                self.released(ctx, view, &[request], out);
            } else {
                self.entry.release_later(ctx.at, vm, request);
            }
        }
    }

    /// A peer's message.
    pub fn peer(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        from: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        self.wake(ctx, view, out);
        self.duty.heard(ctx.at, from);
        match message {
            Message::Ask { ask, slice, waited_ms, vouched, missing, released } => {
                self.released(ctx, view, &released, out);
                let key = Key { pool: ask.pool.clone(), slice };
                let waited = Span::from_millis(u64::from(waited_ms));
                let from = from.clone();
                self.asked(ctx, view, Request { from, key, ask, waited, vouched, missing }, out);
            }
            Message::Queued { request } => self.entry.queued(ctx.at, request),
            Message::Grant { request, target } => {
                self.granted(ctx, view, from, request, target, out);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, out),
            Message::Redirect { request, to } => self.redirected(ctx, view, request, to, out),
            Message::Release { requests } => self.released(ctx, view, &requests, out),
            Message::Want { address, pool, slice } => {
                self.duty.learn(from, address);
                self.wanted(ctx, view, from, &Key { pool, slice }, out);
            }
            Message::Hold { address, pool, slice, places, admits } => {
                self.duty.learn(from, address);
                let key = Key { pool, slice };
                if let Some(slice) = self.slices.get_mut(&key) {
                    slice.told(ctx.at, from, places);
                }
                if let Some(peer) = admits {
                    self.other_admits(ctx, view, from, &key, peer, out);
                }
                self.serve(ctx, view, &key, out);
            }
        }
    }

    /// Periodic work: serves and times out the queues, asks again, and tells
    /// what is held.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        self.wake(ctx, view, out);
        let duty = &self.duty;
        for request in self.entry.overdue(ctx.at, |vm| duty.is_doubted(ctx.at, vm)) {
            self.ask_again(ctx, view, request, out);
        }
        for (vm, requests) in self.entry.due_releases(ctx.at) {
            self.send(ctx, view, &vm, Message::Release { requests }, out);
        }
        self.tell(ctx, view, out);
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.tend(ctx, view, &key, out);
        }
    }

    /// Requests that run on a target by this VM's count.
    pub fn load(&self, target: &TargetId) -> u32 {
        self.entry.load(target)
    }

    /// Targets of the slices that this VM admits for.
    pub fn admitted(&self) -> impl Iterator<Item = TargetId> {
        let slices = self.slices.iter().filter(|(_, slice)| *slice.phase() == Phase::Admitting);
        slices.flat_map(|(key, _)| self.roster.targets(key).into_owned())
    }

    /// Looks at the roster again, and claims anew after a pause.
    fn wake(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        self.roster.refresh(ctx.at, view);
        let paused = PAUSE < ctx.at.since(self.last_at) && Moment::default() < self.last_at;
        self.last_at = ctx.at;
        if !paused {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.claim(ctx, view, &key, out);
        }
    }

    /// Takes an ask as the VM that may admit for it.
    fn asked(&mut self, ctx: &Context<'_>, view: View<'_>, request: Request, out: &mut Output) {
        let Request { from, key, ask, waited, vouched, missing } = request;
        let id = ask.request;
        if let Some(missing) = missing {
            self.duty.doubt(ctx, &missing);
        }
        let first = self.duty.first(ctx, view, &key).clone();
        if first != ctx.me.vm {
            if let Some(to) = self.duty.peer(ctx, view, &first) {
                self.reply(ctx, view, &from, Message::Redirect { request: id, to }, out);
            }
            return;
        }
        let slice = self.slices.entry(key.clone()).or_default();
        if let Some(target) = slice.placed(id).cloned() {
            self.reply(ctx, view, &from, Message::Grant { request: id, target }, out);
            return;
        }
        if *slice.phase() == Phase::Idle {
            self.claim(ctx, view, &key, out);
        }
        let Some(slice) = self.slices.get_mut(&key) else { return };
        if !slice.is_waiting(id) {
            let parts = self.roster.parts(&key.pool);
            // A retry was counted at its first attempt.
            if ask.avoid.is_empty() {
                let taken = self.limits.take(ctx.at, view.document, &ask.account, parts);
                if let Err(wait) = taken {
                    let retry_after_ms = u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX);
                    let reason = Denial::Limit { retry_after_ms };
                    self.reply(ctx, view, &from, Message::Deny { request: id, reason }, out);
                    return;
                }
            }
            let since = Moment(ctx.at.0.saturating_sub(waited.0));
            let pool = view.document.pools.iter().find(|pool| pool.id == key.pool);
            let limit = pool.map_or(0, |pool| pool.queue_length);
            let shed = slice.enqueue(Waiting { vm: from.clone(), ask, vouched, since }, limit);
            if let Some(answer) = shed {
                self.answer(ctx, view, answer, out);
            }
        }
        self.serve(ctx, view, &key, out);
        let slice = self.slices.get(&key);
        if from != ctx.me.vm && slice.is_some_and(|slice| slice.is_waiting(id)) {
            self.reply(ctx, view, &from, Message::Queued { request: id }, out);
        }
    }

    fn serve(&mut self, ctx: &Context<'_>, view: View<'_>, key: &Key, out: &mut Output) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        let duty = &self.duty;
        let silent = |vm: &VmId| duty.is_silent(ctx, vm);
        let answers = slice.serve(ctx.at, view, &self.roster, key, silent, out);
        for answer in answers {
            self.answer(ctx, view, answer, out);
        }
    }

    fn answer(&mut self, ctx: &Context<'_>, view: View<'_>, answer: Answer, out: &mut Output) {
        let Answer { vm, request, place } = answer;
        let message = match place {
            Ok(target) => Message::Grant { request, target },
            Err(reason) => Message::Deny { request, reason },
        };
        self.reply(ctx, view, &vm, message, out);
    }

    /// Answers an ask, of a peer or of this VM.
    fn reply(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        to: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        if *to != ctx.me.vm {
            self.send(ctx, view, to, message, out);
            return;
        }
        match message {
            Message::Grant { request, target } => {
                self.granted(ctx, view, to, request, target, out);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, out),
            Message::Redirect { request, to } => self.redirected(ctx, view, request, to, out),
            _ => {}
        }
    }

    /// Sends a message to a VM whose address is known.
    fn send(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        to: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        let Some(Peer { vm, address }) = self.duty.peer(ctx, view, to) else { return };
        self.duty.sent(ctx.at, &vm);
        out.push(Effect::Send { to: vm, address, message: Frame::Place(message) });
    }

    fn released(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        requests: &[RequestId],
        out: &mut Output,
    ) {
        if requests.is_empty() {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            let Some(slice) = self.slices.get_mut(&key) else { continue };
            for &request in requests {
                slice.release(ctx.at, request);
            }
            self.serve(ctx, view, &key, out);
        }
    }
}

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
use briarshift_wire::reservation::{Denial, Message, Peer, Requirements};

use crate::{Effect, cache, limit, member, target};
use admit::{Answer, Phase, Waiting};
use roster::{Key, Roster};

/// A longer pause between two events means that this VM was stopped, and that
/// another may have taken over meanwhile.
const PAUSE: Span = Span::from_millis(300);

/// What became of the [`Requirements`] of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Where it may run, or why nowhere.
    pub result: Result<TargetId, Denial>,
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

/// One event being applied here.
pub type Scope<'a> = crate::Scope<'a, View<'a>>;

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
    ask: Requirements,
    waited: Span,
    vouched: bool,
    missing: Option<VmId>,
}

impl State {
    /// Asks for a place on behalf of a local request. A [`Decision`] follows,
    /// at once or later.
    pub fn reserve(&mut self, scope: &mut Scope<'_>, ask: Requirements) {
        self.wake(scope);
        let slice = self.roster.slice(scope.view, &ask);
        let key = Key { pool: ask.pool.clone(), slice };
        let request = ask.request;
        self.entry.open(scope.ctx.at, key, ask);
        self.send_ask(scope, request);
    }

    /// A local request has ended, or gave up waiting.
    pub fn release(&mut self, scope: &mut Scope<'_>, request: RequestId) {
        self.wake(scope);
        let Some((key, by)) = self.entry.close(&self.roster, request) else { return };
        let first = self.duty.first(scope.ctx, scope.view, &key).clone();
        for vm in [Some(&by), Some(&first).filter(|first| **first != by)].into_iter().flatten() {
            if *vm == scope.ctx.me.vm {
                self.released(scope, &[request]);
            } else {
                self.entry.release_later(scope.ctx.at, vm, request);
            }
        }
    }

    /// A peer's message.
    pub fn handle_message(&mut self, scope: &mut Scope<'_>, from: &VmId, message: Message) {
        self.wake(scope);
        self.duty.heard(scope.ctx.at, from);
        match message {
            Message::Reserve {
                requirements: ask,
                slice,
                waited_ms,
                context_target_available: vouched,
                unresponsive: missing,
                released,
            } => {
                self.released(scope, &released);
                let key = Key { pool: ask.pool.clone(), slice };
                let waited = Span::from_millis(u64::from(waited_ms));
                let from = from.clone();
                self.asked(scope, Request { from, key, ask, waited, vouched, missing });
            }
            Message::Queued { request } => self.entry.queued(scope.ctx.at, request),
            Message::Grant { request, target } => {
                self.granted(scope, from, request, target);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, scope.out),
            Message::Redirect { request, to } => self.redirected(scope, request, to),
            Message::Release { requests } => self.released(scope, &requests),
            Message::QueryReservations { address, pool, slice } => {
                self.duty.learn(from, address);
                self.wanted(scope, from, &Key { pool, slice });
            }
            Message::Reservations {
                address,
                pool,
                slice,
                reservations: places,
                admitting_peer: admits,
            } => {
                self.duty.learn(from, address);
                let key = Key { pool, slice };
                if let Some(slice) = self.slices.get_mut(&key) {
                    slice.told(scope.ctx.at, from, places);
                }
                if let Some(peer) = admits {
                    self.other_admits(scope, from, &key, peer);
                }
                self.serve(scope, &key);
            }
        }
    }

    /// Periodic work: serves and times out the queues, asks again, and tells
    /// what is held.
    pub fn tick(&mut self, scope: &mut Scope<'_>) {
        self.wake(scope);
        let duty = &self.duty;
        for request in self.entry.overdue(scope.ctx.at, |vm| duty.is_doubted(scope.ctx.at, vm)) {
            self.ask_again(scope, request);
        }
        for (vm, requests) in self.entry.due_releases(scope.ctx.at) {
            self.send(scope, &vm, Message::Release { requests });
        }
        self.tell(scope);
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.tend(scope, &key);
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
    fn wake(&mut self, scope: &mut Scope<'_>) {
        self.roster.refresh(scope.ctx.at, scope.view);
        let paused = PAUSE < scope.ctx.at.since(self.last_at) && Moment::default() < self.last_at;
        self.last_at = scope.ctx.at;
        if !paused {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.claim(scope, &key);
        }
    }

    /// Takes an ask as the VM that may admit for it.
    fn asked(&mut self, scope: &mut Scope<'_>, request: Request) {
        let Request { from, key, ask, waited, vouched, missing } = request;
        let id = ask.request;
        if let Some(missing) = missing {
            self.duty.doubt(scope.ctx, &missing);
        }
        let first = self.duty.first(scope.ctx, scope.view, &key).clone();
        if first != scope.ctx.me.vm {
            if let Some(to) = self.duty.peer(scope.ctx, scope.view, &first) {
                self.reply(scope, &from, Message::Redirect { request: id, to });
            }
            return;
        }
        let slice = self.slices.entry(key.clone()).or_default();
        if let Some(target) = slice.placed(id).cloned() {
            self.reply(scope, &from, Message::Grant { request: id, target });
            return;
        }
        if *slice.phase() == Phase::Idle {
            self.claim(scope, &key);
        }
        let Some(slice) = self.slices.get_mut(&key) else { return };
        if !slice.is_waiting(id) {
            let parts = self.roster.parts(&key.pool);
            // A retry was counted at its first attempt.
            if ask.avoid.is_empty() {
                let taken =
                    self.limits.take(scope.ctx.at, scope.view.document, &ask.account, parts);
                if let Err(wait) = taken {
                    let retry_after_ms = u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX);
                    let reason = Denial::Limit { retry_after_ms };
                    self.reply(scope, &from, Message::Deny { request: id, reason });
                    return;
                }
            }
            let since = Moment(scope.ctx.at.0.saturating_sub(waited.0));
            let pool = scope.view.document.pools.iter().find(|pool| pool.id == key.pool);
            let limit = pool.map_or(0, |pool| pool.queue_length);
            let shed = slice.enqueue(Waiting { vm: from.clone(), ask, vouched, since }, limit);
            if let Some(answer) = shed {
                self.answer(scope, answer);
            }
        }
        self.serve(scope, &key);
        let slice = self.slices.get(&key);
        if from != scope.ctx.me.vm && slice.is_some_and(|slice| slice.is_waiting(id)) {
            self.reply(scope, &from, Message::Queued { request: id });
        }
    }

    fn serve(&mut self, scope: &mut Scope<'_>, key: &Key) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        let duty = &self.duty;
        let silent = |vm: &VmId| duty.is_silent(scope.ctx, vm);
        let answers = slice.serve(scope.ctx.at, scope.view, &self.roster, key, silent, scope.out);
        for answer in answers {
            self.answer(scope, answer);
        }
    }

    fn answer(&mut self, scope: &mut Scope<'_>, answer: Answer) {
        let Answer { vm, request, place } = answer;
        let message = match place {
            Ok(target) => Message::Grant { request, target },
            Err(reason) => Message::Deny { request, reason },
        };
        self.reply(scope, &vm, message);
    }

    /// Answers an ask, of a peer or of this VM.
    fn reply(&mut self, scope: &mut Scope<'_>, to: &VmId, message: Message) {
        if *to != scope.ctx.me.vm {
            self.send(scope, to, message);
            return;
        }
        match message {
            Message::Grant { request, target } => {
                self.granted(scope, to, request, target);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, scope.out),
            Message::Redirect { request, to } => self.redirected(scope, request, to),
            _ => {}
        }
    }

    /// Sends a message to a VM whose address is known.
    fn send(&mut self, scope: &mut Scope<'_>, to: &VmId, message: Message) {
        let Some(Peer { vm, address }) = self.duty.peer(scope.ctx, scope.view, to) else { return };
        self.duty.sent(scope.ctx.at, &vm);
        scope.out.push(Effect::Send { to: vm, address, message: Frame::Reservation(message) });
    }

    fn released(&mut self, scope: &mut Scope<'_>, requests: &[RequestId]) {
        if requests.is_empty() {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            let Some(slice) = self.slices.get_mut(&key) else { continue };
            for &request in requests {
                slice.release(scope.ctx.at, request);
            }
            self.serve(scope, &key);
        }
    }
}

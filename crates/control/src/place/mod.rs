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

/// One event being applied here.
pub type Turn<'a> = crate::Turn<'a, View<'a>>;

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
    /// Asks for a place on behalf of a local request. A [`Verdict`] follows,
    /// at once or later.
    pub fn ask(&mut self, turn: &mut Turn<'_>, ask: Requirements) {
        self.wake(turn);
        let slice = self.roster.slice(turn.view, &ask);
        let key = Key { pool: ask.pool.clone(), slice };
        let request = ask.request;
        self.entry.open(turn.ctx.at, key, ask);
        self.send_ask(turn, request);
    }

    /// A local request has ended, or gave up waiting.
    pub fn release(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        self.wake(turn);
        let Some((key, by)) = self.entry.close(&self.roster, request) else { return };
        let first = self.duty.first(turn.ctx, turn.view, &key).clone();
        for vm in [Some(&by), Some(&first).filter(|first| **first != by)].into_iter().flatten() {
            if *vm == turn.ctx.me.vm {
                self.released(turn, &[request]);
            } else {
                self.entry.release_later(turn.ctx.at, vm, request);
            }
        }
    }

    /// A peer's message.
    pub fn peer(&mut self, turn: &mut Turn<'_>, from: &VmId, message: Message) {
        self.wake(turn);
        self.duty.heard(turn.ctx.at, from);
        match message {
            Message::Reserve {
                requirements: ask,
                slice,
                waited_ms,
                context_target_available: vouched,
                unresponsive: missing,
                released,
            } => {
                self.released(turn, &released);
                let key = Key { pool: ask.pool.clone(), slice };
                let waited = Span::from_millis(u64::from(waited_ms));
                let from = from.clone();
                self.asked(turn, Request { from, key, ask, waited, vouched, missing });
            }
            Message::Queued { request } => self.entry.queued(turn.ctx.at, request),
            Message::Grant { request, target } => {
                self.granted(turn, from, request, target);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, turn.out),
            Message::Redirect { request, to } => self.redirected(turn, request, to),
            Message::Release { requests } => self.released(turn, &requests),
            Message::QueryReservations { address, pool, slice } => {
                self.duty.learn(from, address);
                self.wanted(turn, from, &Key { pool, slice });
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
                    slice.told(turn.ctx.at, from, places);
                }
                if let Some(peer) = admits {
                    self.other_admits(turn, from, &key, peer);
                }
                self.serve(turn, &key);
            }
        }
    }

    /// Periodic work: serves and times out the queues, asks again, and tells
    /// what is held.
    pub fn tick(&mut self, turn: &mut Turn<'_>) {
        self.wake(turn);
        let duty = &self.duty;
        for request in self.entry.overdue(turn.ctx.at, |vm| duty.is_doubted(turn.ctx.at, vm)) {
            self.ask_again(turn, request);
        }
        for (vm, requests) in self.entry.due_releases(turn.ctx.at) {
            self.send(turn, &vm, Message::Release { requests });
        }
        self.tell(turn);
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.tend(turn, &key);
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
    fn wake(&mut self, turn: &mut Turn<'_>) {
        self.roster.refresh(turn.ctx.at, turn.view);
        let paused = PAUSE < turn.ctx.at.since(self.last_at) && Moment::default() < self.last_at;
        self.last_at = turn.ctx.at;
        if !paused {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            self.claim(turn, &key);
        }
    }

    /// Takes an ask as the VM that may admit for it.
    fn asked(&mut self, turn: &mut Turn<'_>, request: Request) {
        let Request { from, key, ask, waited, vouched, missing } = request;
        let id = ask.request;
        if let Some(missing) = missing {
            self.duty.doubt(turn.ctx, &missing);
        }
        let first = self.duty.first(turn.ctx, turn.view, &key).clone();
        if first != turn.ctx.me.vm {
            if let Some(to) = self.duty.peer(turn.ctx, turn.view, &first) {
                self.reply(turn, &from, Message::Redirect { request: id, to });
            }
            return;
        }
        let slice = self.slices.entry(key.clone()).or_default();
        if let Some(target) = slice.placed(id).cloned() {
            self.reply(turn, &from, Message::Grant { request: id, target });
            return;
        }
        if *slice.phase() == Phase::Idle {
            self.claim(turn, &key);
        }
        let Some(slice) = self.slices.get_mut(&key) else { return };
        if !slice.is_waiting(id) {
            let parts = self.roster.parts(&key.pool);
            // A retry was counted at its first attempt.
            if ask.avoid.is_empty() {
                let taken = self.limits.take(turn.ctx.at, turn.view.document, &ask.account, parts);
                if let Err(wait) = taken {
                    let retry_after_ms = u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX);
                    let reason = Denial::Limit { retry_after_ms };
                    self.reply(turn, &from, Message::Deny { request: id, reason });
                    return;
                }
            }
            let since = Moment(turn.ctx.at.0.saturating_sub(waited.0));
            let pool = turn.view.document.pools.iter().find(|pool| pool.id == key.pool);
            let limit = pool.map_or(0, |pool| pool.queue_length);
            let shed = slice.enqueue(Waiting { vm: from.clone(), ask, vouched, since }, limit);
            if let Some(answer) = shed {
                self.answer(turn, answer);
            }
        }
        self.serve(turn, &key);
        let slice = self.slices.get(&key);
        if from != turn.ctx.me.vm && slice.is_some_and(|slice| slice.is_waiting(id)) {
            self.reply(turn, &from, Message::Queued { request: id });
        }
    }

    fn serve(&mut self, turn: &mut Turn<'_>, key: &Key) {
        let Some(slice) = self.slices.get_mut(key) else { return };
        let duty = &self.duty;
        let silent = |vm: &VmId| duty.is_silent(turn.ctx, vm);
        let answers = slice.serve(turn.ctx.at, turn.view, &self.roster, key, silent, turn.out);
        for answer in answers {
            self.answer(turn, answer);
        }
    }

    fn answer(&mut self, turn: &mut Turn<'_>, answer: Answer) {
        let Answer { vm, request, place } = answer;
        let message = match place {
            Ok(target) => Message::Grant { request, target },
            Err(reason) => Message::Deny { request, reason },
        };
        self.reply(turn, &vm, message);
    }

    /// Answers an ask, of a peer or of this VM.
    fn reply(&mut self, turn: &mut Turn<'_>, to: &VmId, message: Message) {
        if *to != turn.ctx.me.vm {
            self.send(turn, to, message);
            return;
        }
        match message {
            Message::Grant { request, target } => {
                self.granted(turn, to, request, target);
            }
            Message::Deny { request, reason } => self.entry.denied(request, reason, turn.out),
            Message::Redirect { request, to } => self.redirected(turn, request, to),
            _ => {}
        }
    }

    /// Sends a message to a VM whose address is known.
    fn send(&mut self, turn: &mut Turn<'_>, to: &VmId, message: Message) {
        let Some(Peer { vm, address }) = self.duty.peer(turn.ctx, turn.view, to) else { return };
        self.duty.sent(turn.ctx.at, &vm);
        turn.out.push(Effect::Send { to: vm, address, message: Frame::Reservation(message) });
    }

    fn released(&mut self, turn: &mut Turn<'_>, requests: &[RequestId]) {
        if requests.is_empty() {
            return;
        }
        let keys: Vec<_> = self.slices.keys().cloned().collect();
        for key in keys {
            let Some(slice) = self.slices.get_mut(&key) else { continue };
            for &request in requests {
                slice.release(turn.ctx.at, request);
            }
            self.serve(turn, &key);
        }
    }
}

//! A simulation of several VMs' document reducers with a fake store, a fake
//! network and virtual time. Membership and gossip provide only what the
//! reducer relies on: a peer counts as alive if it was reachable recently, and
//! each VM sends its head to two VMs of its own data centre and to one of
//! another in each round.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use briarshift_control::document::{Peers, State};
use briarshift_control::{Context, Effect, Identity, Output, Ticket};
use briarshift_settings::Document;
use briarshift_store::{Entry, Error, Key, Operation, Reply, Version};
use briarshift_units::{DataCentre, Moment, Revision, Span, StartNumber, VmId, WallTime};
use briarshift_wire::Message;
use briarshift_wire::document::Head;

/// Time between two steps of the fleet.
pub const STEP: Span = Span::from_millis(50);
/// Time between two rounds of gossip.
const ROUND: Span = Span::from_millis(1_000);
/// Time for which a VM that can no longer be reached still counts as alive.
const DETECTION: Span = Span::from_millis(3_000);
/// Time that a client waits for the reply after the end of its watch.
const CLIENT_TIMEOUT: Span = Span::from_millis(1_000);

/// A fault that a test injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The delegate of a data centre is killed.
    KillDelegate(usize),
    /// A VM is killed.
    Kill(usize),
    /// The store refuses all calls.
    Outage,
    /// The store doesn't reply to the VMs of a data centre; their calls time
    /// out.
    CutStore(usize),
    /// The store doesn't reply to the delegate of a data centre.
    CutDelegate(usize),
    /// The store doesn't reply to one VM.
    CutVm(usize),
    /// A data centre is disconnected from all others.
    CutPeers(usize),
    /// All messages between VMs are lost, except gossip.
    LoseMessages,
}

/// A fault in effect, with the time of its end.
#[derive(Debug, Clone, Copy)]
struct Active {
    fault: Fault,
    until: Moment,
}

struct Vm {
    me: Identity,
    dc: usize,
    state: Option<State>,
    starts: u64,
    restart_at: Option<Moment>,
    /// The highest revision that was in force since this start.
    highest: Revision,
}

/// A watch that the store has not replied to.
struct PendingWatch {
    vm: usize,
    start: u64,
    after: Version,
    until: Moment,
}

/// The simulated fleet.
pub struct Fleet {
    pub at: Moment,
    vms: Vec<Vm>,
    value: Option<(Version, String)>,
    pending_watches: Vec<PendingWatch>,
    sent: Vec<(usize, usize, Message)>,
    faults: Vec<Active>,
    directory: Rc<[(VmId, usize, SocketAddr)]>,
    /// When each VM could last reach each other VM.
    reached: Vec<Vec<Option<Moment>>>,
    /// The revisions of all valid documents that were written.
    accepted: Vec<Revision>,
    /// The revision in the store, if its document is valid.
    stored: Option<Revision>,
    /// Since when each VM could have received each revision.
    reachable_since: BTreeMap<(usize, Revision), Moment>,
    /// Time within which a VM must run a revision that it can receive.
    limit: Span,
    entropy: u64,
    /// Number of watches that the store received.
    pub watches: u64,
    /// Number of documents that replies to watches carried.
    pub reads: u64,
}

/// The peers that one VM knows.
struct View<'a> {
    fleet: &'a [(VmId, usize, SocketAddr)],
    alive: BTreeSet<usize>,
}

impl Peers for View<'_> {
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId> {
        let local = self.fleet.iter().enumerate().filter(|(i, (_, dc, _))| {
            self.alive.contains(i) && data_centre_name(*dc) == *data_centre
        });
        local.map(|(_, (vm, ..))| vm).collect()
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.fleet.iter().find(|(id, ..)| id == vm).map(|&(_, _, address)| address)
    }
}

fn data_centre_name(dc: usize) -> DataCentre {
    format!("dc-{dc}").parse().expect("an id")
}

impl Fleet {
    /// Creates a fleet of `centres` data centres with `size` VMs each. An
    /// accepted document must be in force on each VM that could receive it
    /// within `limit`.
    pub fn new(centres: usize, size: usize, limit: Span, seed: u64) -> Self {
        let vm = |i: usize| {
            let port = u16::try_from(i + 1).expect("a port");
            let me = Identity {
                vm: format!("vm-{i}").parse().expect("an id"),
                start: StartNumber(1),
                data_centre: data_centre_name(i / size),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                environment: "trial".into(),
                token_key: [0; 32],
            };
            let state = Some(State::default());
            Vm { me, dc: i / size, state, starts: 1, restart_at: None, highest: Revision(0) }
        };
        let vms: Vec<_> = (0..centres * size).map(vm).collect();
        let directory = vms.iter().map(|vm| (vm.me.vm.clone(), vm.dc, vm.me.address)).collect();
        Self {
            at: Moment(1_000_000),
            vms,
            value: None,
            pending_watches: Vec::new(),
            sent: Vec::new(),
            faults: Vec::new(),
            directory,
            reached: vec![vec![None; centres * size]; centres * size],
            accepted: Vec::new(),
            stored: None,
            reachable_since: BTreeMap::new(),
            limit,
            entropy: seed | 1,
            watches: 0,
            reads: 0,
        }
    }

    /// Writes a document to the store, and returns its revision.
    pub fn put(&mut self, bytes: String) -> Revision {
        let version = Version(self.value.as_ref().map_or(1, |(version, _)| version.0 + 3));
        let is_valid = Document::parse(bytes.as_bytes()).is_ok();
        self.stored = is_valid.then_some(Revision(version.0));
        self.accepted.extend(self.stored);
        self.value = Some((version, bytes));
        Revision(version.0)
    }

    /// Starts a fault, which ends after `span`.
    pub fn inject(&mut self, fault: Fault, span: Span) {
        let until = self.at + span;
        match fault {
            Fault::KillDelegate(dc) => {
                let delegate = self.delegate(dc % self.centres());
                self.kill(delegate, until);
            }
            Fault::CutDelegate(dc) => {
                let fault = Fault::CutVm(self.delegate(dc % self.centres()));
                self.faults.push(Active { fault, until });
            }
            Fault::Kill(vm) => self.kill(vm % self.vms.len(), until),
            Fault::Outage => {
                self.faults.push(Active { fault, until });
                for watch in std::mem::take(&mut self.pending_watches) {
                    self.answer(watch.vm, watch.start, Err(refused()));
                }
            }
            fault => self.faults.push(Active { fault, until }),
        }
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.at + span;
        while self.at < end {
            self.step();
        }
    }

    /// Returns the revisions in force, `None` for VMs that are down.
    pub fn revisions(&self) -> Vec<Option<Revision>> {
        self.vms.iter().map(|vm| vm.state.as_ref().map(State::revision)).collect()
    }

    fn centres(&self) -> usize {
        self.vms.last().map_or(1, |vm| vm.dc + 1)
    }

    /// Returns the VM that watches for a data centre, or any of its VMs if none
    /// watches.
    fn delegate(&self, dc: usize) -> usize {
        let is_in = |vm: usize| self.vms[vm].dc == dc;
        let watching = self.pending_watches.iter().map(|watch| watch.vm).find(|&vm| is_in(vm));
        watching.or_else(|| (0..self.vms.len()).find(|&vm| is_in(vm))).unwrap_or(0)
    }

    fn kill(&mut self, vm: usize, until: Moment) {
        self.vms[vm].state = None;
        self.vms[vm].restart_at = Some(until);
        self.pending_watches.retain(|watch| watch.vm != vm);
    }

    fn step(&mut self) {
        self.at = self.at + STEP;
        let at = self.at;
        self.faults.retain(|active| at < active.until);
        self.restart();
        self.update_reached();
        for (from, to, message) in std::mem::take(&mut self.sent) {
            self.deliver(from, to, message);
        }
        self.answer_watches();
        for vm in 0..self.vms.len() {
            self.gossip(vm);
            self.with(vm, |state, ctx, view, out| state.tick(ctx, view, out));
        }
        self.verify();
    }

    fn restart(&mut self) {
        for vm in &mut self.vms {
            if vm.state.is_none() && vm.restart_at.is_some_and(|at| at <= self.at) {
                vm.state = Some(State::default());
                vm.starts += 1;
                vm.highest = Revision(0);
            }
        }
    }

    fn has_fault(&self, wanted: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|active| wanted(active.fault))
    }

    fn can_read_store(&self, vm: usize) -> bool {
        let (dc, centres) = (self.vms[vm].dc, self.centres());
        !self.has_fault(|fault| match fault {
            Fault::Outage => true,
            Fault::CutStore(cut) => cut % centres == dc,
            Fault::CutVm(cut) => cut % self.vms.len() == vm,
            _ => false,
        })
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let (a, b, centres) = (&self.vms[a], &self.vms[b], self.centres());
        let is_cut = self.has_fault(|fault| {
            matches!(fault, Fault::CutPeers(cut) if (cut % centres == a.dc) != (cut % centres == b.dc))
        });
        a.state.is_some() && b.state.is_some() && !is_cut
    }

    /// Records which VMs can reach each other now.
    fn update_reached(&mut self) {
        for a in 0..self.vms.len() {
            for b in 0..self.vms.len() {
                if a != b && self.is_connected(a, b) {
                    self.reached[a][b] = Some(self.at);
                }
            }
        }
    }

    fn random(&mut self) -> u64 {
        self.entropy = self.entropy.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(99);
        self.entropy >> 17
    }

    fn pick(&mut self, from: &[usize]) -> Option<usize> {
        let count = u64::try_from(from.len()).ok().filter(|&count| 0 < count)?;
        let index = usize::try_from(self.random() % count).expect("an index");
        from.get(index).copied()
    }

    fn alive(&self, viewer: usize) -> BTreeSet<usize> {
        let is_alive = |&other: &usize| {
            self.reached[viewer][other].is_some_and(|at| self.at.since(at) < DETECTION)
        };
        (0..self.vms.len()).filter(is_alive).collect()
    }

    fn gossip(&mut self, vm: usize) {
        let phase = Span(ROUND.0 * u64::try_from(vm).expect("small") / 7 % ROUND.0);
        let is_due = (self.at + phase).0 % ROUND.0 < STEP.0;
        let Some(state) = self.vms[vm].state.as_ref().filter(|_| is_due) else { return };
        let head = state.current_head();
        let dc = self.vms[vm].dc;
        let (local, remote): (Vec<_>, Vec<_>) =
            self.alive(vm).into_iter().partition(|&other| self.vms[other].dc == dc);
        let targets = [self.pick(&local), self.pick(&local), self.pick(&remote)];
        for to in targets.into_iter().flatten() {
            if self.is_connected(vm, to) {
                self.deliver_head(vm, to, head);
            }
        }
    }

    fn deliver_head(&mut self, from: usize, to: usize, head: Option<Head>) {
        let from = self.vms[from].me.vm.clone();
        self.with(to, |state, ctx, view, out| state.handle_head(ctx, view, &from, head, out));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let Message::Document(message) = message else { return };
        if !self.is_connected(from, to) || self.has_fault(|fault| fault == Fault::LoseMessages) {
            return;
        }
        let from = self.vms[from].me.vm.clone();
        self.with(to, |state, ctx, view, out| state.handle_message(ctx, view, &from, message, out));
    }

    /// Replies to the watches whose wait has ended or whose key has changed.
    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.pending_watches) {
            let newer = self.value.as_ref().filter(|(version, _)| watch.after < *version);
            let is_overdue = watch.until + CLIENT_TIMEOUT <= self.at;
            let result = match newer {
                _ if !self.can_read_store(watch.vm) && is_overdue => {
                    Err(Error::Unknown("timeout".into()))
                }
                Some((version, value)) if self.can_read_store(watch.vm) => {
                    self.reads += 1;
                    let key = Key::from("document");
                    let entry = Entry { key, value: value.clone(), version: *version };
                    Ok(Reply::Value(Some(entry)))
                }
                None if self.can_read_store(watch.vm) && watch.until <= self.at => {
                    Ok(Reply::Value(None))
                }
                _ => {
                    self.pending_watches.push(watch);
                    continue;
                }
            };
            self.answer(watch.vm, watch.start, result);
        }
    }

    fn answer(&mut self, vm: usize, start: u64, result: Result<Reply, Error>) {
        if self.vms[vm].starts == start {
            self.with(vm, |state, ctx, _, out| state.handle_store_reply(ctx, result, out));
        }
    }

    /// Calls a function on one VM's reducer, and carries out its effects.
    fn with(
        &mut self,
        vm: usize,
        apply: impl FnOnce(&mut State, &Context<'_>, &View<'_>, &mut Output),
    ) {
        let entropy = self.random();
        let directory = Rc::clone(&self.directory);
        let view = View { fleet: &directory, alive: self.alive(vm) };
        let node = &mut self.vms[vm];
        let Some(state) = node.state.as_mut() else { return };
        let ctx = Context { at: self.at, wall: WallTime(0), entropy, me: &node.me };
        let mut out = Output::default();
        apply(state, &ctx, &view, &mut out);
        assert!(node.highest <= state.revision(), "{} reverts from {}", node.me.vm, node.highest);
        node.highest = state.revision();
        for effect in out.effects {
            self.execute_effect(vm, effect);
        }
    }

    fn execute_effect(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Send { address, message, .. } => {
                let to = usize::from(address.port()) - 1;
                self.sent.push((vm, to, message));
            }
            Effect::Store {
                ticket: Ticket::Document,
                operation: Operation::Watch { after, wait, .. },
            } => {
                self.watches += 1;
                let start = self.vms[vm].starts;
                if self.has_fault(|fault| fault == Fault::Outage) {
                    return self.answer(vm, start, Err(refused()));
                }
                let until = self.at + wait;
                self.pending_watches.push(PendingWatch { vm, start, after, until });
            }
            _ => {}
        }
    }

    /// Panics if a VM could have received a revision for longer than the limit
    /// and doesn't run it or a newer one.
    fn verify(&mut self) {
        for &revision in &self.accepted.clone() {
            let reachable = self.reachable_from(revision);
            for vm in 0..self.vms.len() {
                if !reachable.contains(&vm) {
                    self.reachable_since.remove(&(vm, revision));
                    continue;
                }
                let since = *self.reachable_since.entry((vm, revision)).or_insert(self.at);
                let runs = self.vms[vm].highest;
                let is_overdue = self.limit < self.at.since(since) && runs < revision;
                assert!(
                    !is_overdue,
                    "{} still runs {runs} instead of {revision}",
                    self.vms[vm].me.vm
                );
            }
        }
    }

    /// Returns the VMs that could receive a revision: those connected, directly
    /// or through others, to a VM that can read it in the store or runs at
    /// least this revision.
    fn reachable_from(&self, revision: Revision) -> BTreeSet<usize> {
        let is_up = |vm: usize| self.vms[vm].state.is_some();
        let is_stored = self.stored.is_some_and(|stored| revision <= stored);
        let has =
            |vm: usize| is_stored && self.can_read_store(vm) || revision <= self.vms[vm].highest;
        let mut queue: Vec<_> = (0..self.vms.len()).filter(|&vm| is_up(vm) && has(vm)).collect();
        let mut reachable = BTreeSet::from_iter(queue.iter().copied());
        if self.has_fault(|fault| fault == Fault::LoseMessages) {
            return BTreeSet::new();
        }
        while let Some(vm) = queue.pop() {
            for other in 0..self.vms.len() {
                if self.is_connected(vm, other) && reachable.insert(other) {
                    queue.push(other);
                }
            }
        }
        reachable
    }
}

fn refused() -> Error {
    Error::Refused("outage".into())
}

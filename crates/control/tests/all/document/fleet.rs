//! A few document reducers over a fake store and a fake network, in virtual
//! time. Membership and gossip are the least that the reducer relies on: who
//! was within reach of late, and a head to two near peers and a far one in
//! each round.

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
/// How long a VM that is gone is taken to be alive.
const DETECTION: Span = Span::from_millis(3_000);
/// How long a client waits for an answer beyond the wait of its watch.
const CLIENT_TIMEOUT: Span = Span::from_millis(1_000);

/// What can go wrong, and the opposite.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The data centre's delegate is killed.
    KillDelegate(usize),
    /// A VM is killed.
    Kill(usize),
    /// The store refuses all calls.
    Outage,
    /// The store does not answer a data centre, without any error.
    CutStore(usize),
    /// The store does not answer the data centre's delegate.
    CutDelegate(usize),
    /// The store does not answer one VM.
    CutVm(usize),
    /// A data centre can't be reached from others.
    CutPeers(usize),
    /// Pulls between VMs are lost; gossip is not.
    Lose,
}

/// Something that goes on until a moment.
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
    /// Highest revision in force since this start.
    high: Revision,
}

struct Waiting {
    vm: usize,
    start: u64,
    after: Version,
    until: Moment,
}

/// The fleet.
pub struct Fleet {
    pub at: Moment,
    vms: Vec<Vm>,
    value: Option<(Version, String)>,
    waiting: Vec<Waiting>,
    sent: Vec<(usize, usize, Message)>,
    faults: Vec<Active>,
    directory: Rc<[(VmId, usize, SocketAddr)]>,
    /// When each VM last reached each other one.
    reached: Vec<Vec<Option<Moment>>>,
    accepted: Vec<Revision>,
    /// What the store holds, if that is valid.
    stored: Option<Revision>,
    exposed: BTreeMap<(usize, Revision), Moment>,
    limit: Span,
    entropy: u64,
    /// Watches that the store saw.
    pub watches: u64,
    /// Values that watches carried.
    pub reads: u64,
}

/// The view of one VM.
struct View<'a> {
    fleet: &'a [(VmId, usize, SocketAddr)],
    alive: BTreeSet<usize>,
}

impl Peers for View<'_> {
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId> {
        let near = self
            .fleet
            .iter()
            .enumerate()
            .filter(|(i, (_, dc, _))| self.alive.contains(i) && centre(*dc) == *data_centre);
        near.map(|(_, (vm, ..))| vm).collect()
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.fleet.iter().find(|(id, ..)| id == vm).map(|&(_, _, address)| address)
    }
}

fn centre(dc: usize) -> DataCentre {
    format!("dc-{dc}").parse().expect("an id")
}

impl Fleet {
    /// `centres` data centres of `size` VMs each, in which an accepted
    /// document must be in force within `limit`.
    pub fn new(centres: usize, size: usize, limit: Span, seed: u64) -> Self {
        let vm = |i: usize| {
            let port = u16::try_from(i + 1).expect("a port");
            let me = Identity {
                vm: format!("vm-{i}").parse().expect("an id"),
                start: StartNumber(1),
                data_centre: centre(i / size),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                environment: "trial".into(),
                token_key: [0; 32],
            };
            let state = Some(State::default());
            Vm { me, dc: i / size, state, starts: 1, restart_at: None, high: Revision(0) }
        };
        let vms: Vec<_> = (0..centres * size).map(vm).collect();
        let directory = vms.iter().map(|vm| (vm.me.vm.clone(), vm.dc, vm.me.address)).collect();
        Self {
            at: Moment(1_000_000),
            vms,
            value: None,
            waiting: Vec::new(),
            sent: Vec::new(),
            faults: Vec::new(),
            directory,
            reached: vec![vec![None; centres * size]; centres * size],
            accepted: Vec::new(),
            stored: None,
            exposed: BTreeMap::new(),
            limit,
            entropy: seed | 1,
            watches: 0,
            reads: 0,
        }
    }

    /// Accepts bytes in the store.
    pub fn put(&mut self, bytes: String) -> Revision {
        let version = Version(self.value.as_ref().map_or(1, |(version, _)| version.0 + 3));
        let is_valid = Document::parse(bytes.as_bytes()).is_ok();
        self.stored = is_valid.then_some(Revision(version.0));
        self.accepted.extend(self.stored);
        self.value = Some((version, bytes));
        Revision(version.0)
    }

    /// Lets a fault happen for a while.
    pub fn fail(&mut self, fault: Fault, span: Span) {
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
                for waiting in std::mem::take(&mut self.waiting) {
                    self.answer(waiting.vm, waiting.start, Err(refused()));
                }
            }
            fault => self.faults.push(Active { fault, until }),
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.at + span;
        while self.at < end {
            self.step();
        }
    }

    /// Revisions in force, `None` for VMs that are down.
    pub fn revisions(&self) -> Vec<Option<Revision>> {
        self.vms.iter().map(|vm| vm.state.as_ref().map(State::revision)).collect()
    }

    fn centres(&self) -> usize {
        self.vms.last().map_or(1, |vm| vm.dc + 1)
    }

    /// The VM that watches for a data centre; any of its VMs if none does.
    fn delegate(&self, dc: usize) -> usize {
        let is_in = |vm: usize| self.vms[vm].dc == dc;
        let watching = self.waiting.iter().map(|waiting| waiting.vm).find(|&vm| is_in(vm));
        watching.or_else(|| (0..self.vms.len()).find(|&vm| is_in(vm))).unwrap_or(0)
    }

    fn kill(&mut self, vm: usize, until: Moment) {
        self.vms[vm].state = None;
        self.vms[vm].restart_at = Some(until);
        self.waiting.retain(|waiting| waiting.vm != vm);
    }

    fn step(&mut self) {
        self.at = self.at + STEP;
        let at = self.at;
        self.faults.retain(|active| at < active.until);
        self.restart();
        self.see();
        for (from, to, message) in std::mem::take(&mut self.sent) {
            self.deliver(from, to, message);
        }
        self.wake();
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
                vm.high = Revision(0);
            }
        }
    }

    fn is(&self, wanted: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|active| wanted(active.fault))
    }

    fn has_store(&self, vm: usize) -> bool {
        let (dc, centres) = (self.vms[vm].dc, self.centres());
        !self.is(|fault| match fault {
            Fault::Outage => true,
            Fault::CutStore(cut) => cut % centres == dc,
            Fault::CutVm(cut) => cut % self.vms.len() == vm,
            _ => false,
        })
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let (a, b, centres) = (&self.vms[a], &self.vms[b], self.centres());
        let is_cut = self.is(|fault| {
            matches!(fault, Fault::CutPeers(cut) if (cut % centres == a.dc) != (cut % centres == b.dc))
        });
        a.state.is_some() && b.state.is_some() && !is_cut
    }

    /// Keeps who reached whom.
    fn see(&mut self) {
        for a in 0..self.vms.len() {
            for b in 0..self.vms.len() {
                if a != b && self.is_linked(a, b) {
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
        let (near, far): (Vec<_>, Vec<_>) =
            self.alive(vm).into_iter().partition(|&other| self.vms[other].dc == dc);
        let targets = [self.pick(&near), self.pick(&near), self.pick(&far)];
        for to in targets.into_iter().flatten() {
            if self.is_linked(vm, to) {
                self.hear(vm, to, head);
            }
        }
    }

    fn hear(&mut self, from: usize, to: usize, head: Option<Head>) {
        let from = self.vms[from].me.vm.clone();
        self.with(to, |state, ctx, view, out| state.handle_head(ctx, view, &from, head, out));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let Message::Document(message) = message else { return };
        if !self.is_linked(from, to) || self.is(|fault| fault == Fault::Lose) {
            return;
        }
        let from = self.vms[from].me.vm.clone();
        self.with(to, |state, ctx, view, out| state.handle_message(ctx, view, &from, message, out));
    }

    /// Answers the watches that are due.
    fn wake(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let newer = self.value.as_ref().filter(|(version, _)| waiting.after < *version);
            let is_late = waiting.until + CLIENT_TIMEOUT <= self.at;
            let result = match newer {
                _ if !self.has_store(waiting.vm) && is_late => {
                    Err(Error::Unknown("timeout".into()))
                }
                Some((version, value)) if self.has_store(waiting.vm) => {
                    self.reads += 1;
                    let key = Key::from("document");
                    let entry = Entry { key, value: value.clone(), version: *version };
                    Ok(Reply::Value(Some(entry)))
                }
                None if self.has_store(waiting.vm) && waiting.until <= self.at => {
                    Ok(Reply::Value(None))
                }
                _ => {
                    self.waiting.push(waiting);
                    continue;
                }
            };
            self.answer(waiting.vm, waiting.start, result);
        }
    }

    fn answer(&mut self, vm: usize, start: u64, result: Result<Reply, Error>) {
        if self.vms[vm].starts == start {
            self.with(vm, |state, ctx, _, out| state.handle_store_reply(ctx, result, out));
        }
    }

    /// Applies something to one VM's reducer, and takes its effects.
    fn with(
        &mut self,
        vm: usize,
        apply: impl FnOnce(&mut State, &Context<'_>, &View<'_>, &mut Output),
    ) {
        let entropy = self.random();
        let directory = Rc::clone(&self.directory);
        let view = View { fleet: &directory, alive: self.alive(vm) };
        let it = &mut self.vms[vm];
        let Some(state) = it.state.as_mut() else { return };
        let ctx = Context { at: self.at, wall: WallTime(0), entropy, me: &it.me };
        let mut out = Output::default();
        apply(state, &ctx, &view, &mut out);
        assert!(it.high <= state.revision(), "{} reverts from {}", it.me.vm, it.high);
        it.high = state.revision();
        for effect in out.effects {
            self.effect(vm, effect);
        }
    }

    fn effect(&mut self, vm: usize, effect: Effect) {
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
                if self.is(|fault| fault == Fault::Outage) {
                    return self.answer(vm, start, Err(refused()));
                }
                let until = self.at + wait;
                self.waiting.push(Waiting { vm, start, after, until });
            }
            _ => {}
        }
    }

    /// A VM that could have had a revision for the whole limit runs it.
    fn verify(&mut self) {
        for &revision in &self.accepted.clone() {
            let within = self.within(revision);
            for vm in 0..self.vms.len() {
                if !within.contains(&vm) {
                    self.exposed.remove(&(vm, revision));
                    continue;
                }
                let since = *self.exposed.entry((vm, revision)).or_insert(self.at);
                let runs = self.vms[vm].high;
                let is_late = self.limit < self.at.since(since) && runs < revision;
                assert!(!is_late, "{} still runs {runs}, not {revision}", self.vms[vm].me.vm);
            }
        }
    }

    /// VMs linked, through others, to one that can read the store or runs at
    /// least this revision.
    fn within(&self, revision: Revision) -> BTreeSet<usize> {
        let is_up = |vm: usize| self.vms[vm].state.is_some();
        let is_stored = self.stored.is_some_and(|stored| revision <= stored);
        let has = |vm: usize| is_stored && self.has_store(vm) || revision <= self.vms[vm].high;
        let mut open: Vec<_> = (0..self.vms.len()).filter(|&vm| is_up(vm) && has(vm)).collect();
        let mut within = BTreeSet::from_iter(open.iter().copied());
        if self.is(|fault| fault == Fault::Lose) {
            return BTreeSet::new();
        }
        while let Some(vm) = open.pop() {
            for other in 0..self.vms.len() {
                if self.is_linked(vm, other) && within.insert(other) {
                    open.push(other);
                }
            }
        }
        within
    }
}

fn refused() -> Error {
    Error::Refused("outage".into())
}

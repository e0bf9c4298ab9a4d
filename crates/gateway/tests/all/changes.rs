//! Changes in the store reach every VM in time, whatever happens to the other VMs, and to the
//! store.
//!
//! Several reducers exchange datagrams and call a store in virtual time, while rows
//! change and VMs are killed, paused, cut off and added. Pages of a snapshot are read
//! one after the other, and may be stale. At each step, a VM that has been undisturbed
//! for a while must know each change that is older than the bound, and nothing that
//! it knows goes back.
//!
//! The store may come back from an older copy. Operators and targets then write theirs again
//! within two seconds, and what had gone is gone from the copy after some more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use briarshift_gateway::target::Entry;
use briarshift_gateway::{Bounds, Effect, Event, Features, Identity, Kind, State};
use briarshift_store::registry::{
    Answer, Call, Member, Name, Reply, Row, Secret, Status, Target, Value,
};
use briarshift_store::{Era, Error, Lease, LeaseId, Position, Version};
use briarshift_units::{MegabitsPerSecond, Moment, Revision, Span, StartNumber, TargetId};
use briarshift_wire::datagram::Datagram;
use proptest::prelude::{Strategy, any, prop};
use proptest::{prop_oneof, proptest};

use crate::world::{KEY, bounds, catalog, target};

const STEP: Span = Span::from_millis(25);
/// Time without a disturbance after which a VM is expected to know changes in time, and
/// the same for the store.
const STABLE_WINDOW: Span = Span::from_secs(3);
/// Number of rows in a page of a snapshot.
const PAGE_ROWS: usize = 3;
/// How old a page of a snapshot may be.
const MAX_STALENESS: Span = Span::from_millis(1_500);
const TARGETS: [&str; 3] = ["t-1", "t-2", "t-3"];
/// A target whose row never changes, in a data centre that operators evacuate.
const EVACUEE: &str = "t-9";
const EVACUATED: &str = "c";
const MAX_VMS: usize = 6;
/// Time within which operators and targets write again what the store has lost.
const REWRITE_TIME: Span = Span::from_millis(1_900);
/// Time after which a row of a target that is gone is deleted from the copy.
const LAPSE_TIME: Span = Span::from_millis(3_600);

#[derive(Debug, Clone)]
enum Action {
    TargetLeaves(usize),
    TargetIsRemoved(usize),
    TargetRestarts(usize),
    /// The row is deleted and written again unchanged, as after a lapsed lease.
    TargetLapses(usize),
    TargetRewrites(usize),
    ConfigChanges(usize),
    Evacuate,
    TakeBack,
    VmIsKilled(usize, Span),
    VmIsPaused(usize, Span),
    VmLosesTheStore(usize, Span),
    VmLosesItsPeers(usize, Span),
    VmIsAdded,
    HistoryIsLost,
    /// The store is down for a while, and comes back from a copy of this age.
    StoreReturns {
        down: Span,
        age: Span,
    },
}

fn action() -> impl Strategy<Value = Action> {
    let target = || 0..TARGETS.len();
    let vm = || 0..MAX_VMS;
    let time = || (50..4_000_u64).prop_map(Span::from_millis);
    prop_oneof![
        3 => target().prop_map(Action::TargetLeaves),
        2 => target().prop_map(Action::TargetIsRemoved),
        3 => target().prop_map(Action::TargetRestarts),
        2 => target().prop_map(Action::TargetLapses),
        1 => target().prop_map(Action::TargetRewrites),
        2 => (1..30_usize).prop_map(Action::ConfigChanges),
        2 => proptest::strategy::Just(Action::Evacuate),
        2 => proptest::strategy::Just(Action::TakeBack),
        4 => (vm(), time()).prop_map(|(vm, time)| Action::VmIsKilled(vm, time)),
        2 => (vm(), time()).prop_map(|(vm, time)| Action::VmIsPaused(vm, time)),
        2 => (vm(), time()).prop_map(|(vm, time)| Action::VmLosesTheStore(vm, time)),
        2 => (vm(), time()).prop_map(|(vm, time)| Action::VmLosesItsPeers(vm, time)),
        1 => proptest::strategy::Just(Action::VmIsAdded),
        1 => proptest::strategy::Just(Action::HistoryIsLost),
        2 => (time(), time()).prop_map(|(down, age)| Action::StoreReturns { down, age }),
    ]
}

/// A store whose whole history is kept, so that old states can be read.
#[derive(Default)]
struct Store {
    log: Vec<(Moment, Row)>,
    /// Changes up to this version have been dropped.
    dropped: u64,
    era: u64,
    down_until: Moment,
}

impl Store {
    fn version(&self, at: Moment) -> u64 {
        self.log
            .iter()
            .take_while(|(time, _)| *time <= at)
            .last()
            .map_or(0, |it| it.1.version.revision)
    }

    fn rows(&self, at: Moment) -> BTreeMap<Name, Row> {
        let mut rows = BTreeMap::new();
        for (_, row) in self.log.iter().take_while(|(time, _)| *time <= at) {
            match &row.value {
                Some(_) => rows.insert(row.name.clone(), row.clone()),
                None => rows.remove(&row.name),
            };
        }
        rows
    }

    /// Loses all that was written after a time.
    fn return_to(&mut self, at: Moment) {
        self.log.retain(|(time, _)| *time <= at);
        self.dropped = self.dropped.min(self.version(at));
        self.era += 1;
    }

    fn position(&self, revision: u64) -> Position {
        Position { era: Era(self.era), revision }
    }

    fn put(&mut self, name: Name, value: Option<Value>, now: Moment) {
        let rows = self.rows(now);
        let known = rows.get(&name);
        if known.is_none() && value.is_none() {
            return;
        }
        let version = self.position(self.version(now) + 1);
        let created = match (&value, known) {
            (None, _) => Version(0),
            (_, known) => known.map_or(Version(version.revision), |row| row.created),
        };
        self.log.push((now, Row { name, version, created, value }));
    }

    fn changes(&self, after: u64, at: Moment) -> BTreeMap<Name, Row> {
        let log = self.log.iter().take_while(|(time, _)| *time <= at);
        let new = log.filter(|(_, row)| after < row.version.revision);
        new.map(|(_, row)| (row.name.clone(), row.clone())).collect()
    }

    /// Executes a call at a time; `draw` returns random numbers below its argument.
    fn execute(
        &mut self,
        call: &Call,
        at: Moment,
        draw: &mut impl FnMut(u64) -> u64,
    ) -> Result<Reply, Error> {
        let version = self.version(at);
        let era = Era(self.era);
        // Rows of the copy are of this era too.
        let in_era = move |row: Row| Row { version: Position { era, ..row.version }, ..row };
        let reply = |rows: BTreeMap<Name, Row>, revision| {
            let rows = rows.into_values().map(in_era).collect();
            Ok(Reply::Rows { rows, version: Position { era, revision } })
        };
        match call {
            Call::ReadAll { newest } => {
                let (mut read, mut complete, mut last) = (BTreeMap::new(), u64::MAX, None);
                loop {
                    // Pages are read one after the other; stale ones are older still.
                    let age = if *newest { 0 } else { draw(MAX_STALENESS.0) };
                    let at = Moment(at.0.saturating_sub(age));
                    let rows = self.rows(at);
                    let page = rows.range::<Name, _>((
                        last.clone().map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded),
                        std::ops::Bound::Unbounded,
                    ));
                    let page: Vec<_> = page.take(PAGE_ROWS).map(|(_, row)| row.clone()).collect();
                    let newest_row = page.iter().map(|row| row.version.revision).max().unwrap_or(0);
                    complete = complete.min(if *newest { self.version(at) } else { newest_row });
                    last = page.last().map(|row| row.name.clone());
                    let is_last = page.len() < PAGE_ROWS;
                    read.extend(page.into_iter().map(|row| (row.name.clone(), row)));
                    if is_last {
                        return reply(read, complete);
                    }
                }
            }
            Call::ReadChanges { after, .. }
                if after.revision < self.dropped || version < after.revision =>
            {
                Err(Error::Compacted)
            }
            Call::ReadChanges { after, .. } => reply(self.changes(after.revision, at), version),
            Call::ReadCatalog { after } => {
                // Without the history, the reply does not tell which rows were deleted.
                let mut rows = match after.revision < self.dropped || version < after.revision {
                    true => self.rows(at),
                    false => self.changes(after.revision, at),
                };
                rows.retain(|name, _| matches!(name, Name::Catalog | Name::Evacuation(_)));
                reply(rows, version)
            }
            Call::Register { member, .. } => {
                let name = Name::Member(member.vm.clone());
                self.put(name, Some(Value::Member(member.clone())), at);
                Ok(Reply::Done)
            }
            Call::Grant { .. } | Call::Renew { .. } => {
                Ok(Reply::Leased(Lease { id: LeaseId(1), ttl: Span::from_secs(30) }))
            }
            _ => Ok(Reply::Done),
        }
    }
}

struct Vm {
    state: State,
    start: u64,
    /// It is down until this time.
    down_until: Moment,
    paused_until: Moment,
    no_store_until: Moment,
    no_peers_until: Moment,
    /// When its last disturbance ends.
    disturbed_until: Moment,
    revision: Revision,
    /// Index of the change of [`Facts::evacuations`] that it knows, the earliest possible.
    evacuation: usize,
    /// Starts of targets of which it has known that they accept nothing.
    gone: BTreeSet<(TargetId, Option<StartNumber>)>,
}

/// What is written again after the store has lost it.
enum Rewrite {
    Config,
    Evacuation,
    Target(usize),
    /// A target's row that nobody writes again is deleted.
    Lapse(usize),
}

enum Delivery {
    Datagram(Datagram),
    Reply { call: Call, sent: Moment, answer: Answer },
}

/// What must be known to all VMs, and since when it has been so.
#[derive(Default)]
struct Facts {
    /// Targets that accept nothing.
    gone: BTreeMap<TargetId, Moment>,
    revisions: Vec<(Moment, u64)>,
    /// When the data centre was evacuated (true) and taken back (false), in turn.
    evacuations: Vec<(Moment, bool)>,
}

struct Net {
    now: Moment,
    bounds: Bounds,
    store: Store,
    vms: Vec<Vm>,
    /// Deliveries by time; each with the VM and its start number.
    queue: BTreeMap<(Moment, u64), (usize, u64, Delivery)>,
    rewrites: Vec<(Moment, Rewrite)>,
    /// The latest row of each target, however the store has returned since.
    targets: BTreeMap<usize, Option<Value>>,
    facts: Facts,
    revision: u64,
    starts: u64,
    store_disturbed_until: Moment,
    random: u64,
}

impl Net {
    fn new(vms: usize, change: Span, seed: u64) -> Self {
        let mut net = Self {
            now: Moment(10_000_000),
            bounds: Bounds { change, key_age: Span::from_millis(3_600), ..bounds() },
            store: Store::default(),
            vms: Vec::new(),
            queue: BTreeMap::new(),
            rewrites: Vec::new(),
            targets: BTreeMap::new(),
            facts: Facts::default(),
            revision: 0,
            starts: 1,
            store_disturbed_until: Moment(0),
            random: seed | 1,
        };
        net.store.put(Name::Secret, Some(Value::Secret(Secret([1; 32]))), net.now);
        net.change_config();
        for index in 0..TARGETS.len() {
            net.write_target(index, Status::Ready);
        }
        net.facts.evacuations.push((net.now, false));
        let Value::Target(row) = target(EVACUEE, "desk") else { unreachable!() };
        let row = Target { data_centre: EVACUATED.parse().unwrap(), ..row };
        let name = Name::Target(EVACUEE.parse().unwrap());
        net.store.put(name, Some(Value::Target(row)), net.now);
        (0..vms).for_each(|_| net.add_vm());
        net
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }

    fn change_config(&mut self) {
        self.revision += 1;
        self.store.put(Name::Catalog, Some(catalog(self.revision, KEY)), self.now);
        self.facts.revisions.push((self.now, self.revision));
    }

    fn target_name(index: usize) -> Name {
        Name::Target(TARGETS[index].parse().unwrap())
    }

    fn write_target(&mut self, index: usize, status: Status) {
        let Value::Target(row) = target(TARGETS[index], "desk") else { unreachable!() };
        let start = Some(StartNumber(self.starts));
        let value = Value::Target(Target { status, start, ..row });
        self.targets.insert(index, Some(value.clone()));
        self.store.put(Self::target_name(index), Some(value), self.now);
        let id: TargetId = TARGETS[index].parse().unwrap();
        if status == Status::Ready {
            self.facts.gone.remove(&id);
        } else {
            self.facts.gone.entry(id).or_insert(self.now);
        }
    }

    fn remove_target(&mut self, index: usize) {
        self.targets.insert(index, None);
        self.store.put(Self::target_name(index), None, self.now);
        self.facts.gone.entry(TARGETS[index].parse().unwrap()).or_insert(self.now);
    }

    /// Operators may write the row again while it exists.
    fn set_evacuated(&mut self, is_evacuated: bool) {
        let name = Name::Evacuation(EVACUATED.parse().unwrap());
        self.store.put(name, is_evacuated.then_some(Value::Evacuation), self.now);
        if self.facts.evacuations.last().is_none_or(|(_, last)| *last != is_evacuated) {
            self.facts.evacuations.push((self.now, is_evacuated));
        }
    }

    fn add_vm(&mut self) {
        if self.vms.len() < MAX_VMS {
            let state = State::new(self.identity(self.vms.len()));
            self.vms.push(Vm {
                state,
                start: self.starts,
                down_until: Moment(0),
                paused_until: Moment(0),
                no_store_until: Moment(0),
                no_peers_until: Moment(0),
                disturbed_until: self.now,
                revision: Revision(0),
                evacuation: 0,
                gone: BTreeSet::new(),
            });
        }
    }

    fn identity(&mut self, index: usize) -> Identity {
        self.starts += 1;
        let Member { vm, data_centre, address, link, .. } = Member {
            vm: format!("vm-{index}").parse().unwrap(),
            start: StartNumber(self.starts),
            data_centre: ["a", "b"][index % 2].parse().unwrap(),
            address: address(index),
            link: MegabitsPerSecond(100),
        };
        let start = StartNumber(self.starts);
        let (secret, bounds) = (Secret([1; 32]), self.bounds.clone());
        let features = Features::default();
        Identity { vm, start, data_centre, address, link, secret, bounds, features }
    }

    /// Lets the store be down, and return from a copy that is `age` older. What was written
    /// since is written again by those who wrote it, except by the fleet.
    fn return_store(&mut self, down: Span, age: Span) {
        let copied_at = Moment(self.now.0.saturating_sub(age.0).max(10_000_000));
        self.store.down_until = self.now + down;
        self.store_disturbed_until = self.now + down + REWRITE_TIME + LAPSE_TIME;
        self.run(down);
        self.store.return_to(copied_at);
        let mut again = vec![Rewrite::Config, Rewrite::Evacuation];
        again.extend((0..TARGETS.len()).map(Rewrite::Target));
        for rewrite in again {
            let at = self.now + Span(self.draw(REWRITE_TIME.0));
            self.rewrites.push((at, rewrite));
        }
        let lapses_at = self.now + LAPSE_TIME;
        self.rewrites.extend((0..TARGETS.len()).map(|index| (lapses_at, Rewrite::Lapse(index))));
    }

    fn rewrite(&mut self, rewrite: &Rewrite) {
        let rows = self.store.rows(self.now);
        match rewrite {
            Rewrite::Config => {
                let stored = rows.get(&Name::Catalog).map(|row| row.value.clone());
                let latest = catalog(self.revision, KEY);
                if stored != Some(Some(latest.clone())) {
                    self.store.put(Name::Catalog, Some(latest), self.now);
                }
            }
            Rewrite::Evacuation => {
                let is_evacuated = self.facts.evacuations.last().is_some_and(|it| it.1);
                self.set_evacuated(is_evacuated);
            }
            Rewrite::Target(index) => {
                if let Some(Some(value)) = self.targets.get(index).cloned() {
                    self.store.put(Self::target_name(*index), Some(value), self.now);
                }
            }
            Rewrite::Lapse(index) => {
                if self.targets.get(index) == Some(&None) {
                    self.store.put(Self::target_name(*index), None, self.now);
                }
            }
        }
    }

    fn act(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::TargetLeaves(index) => {
                if self.store.rows(now).contains_key(&Self::target_name(index)) {
                    self.write_target(index, Status::Leaving);
                }
            }
            Action::TargetIsRemoved(index) => self.remove_target(index),
            Action::TargetRestarts(index) => {
                self.starts += 1;
                self.write_target(index, Status::Ready);
            }
            Action::TargetLapses(index) => {
                let value = self.targets.get(&index).cloned().flatten();
                if let Some(row) = self.store.rows(now).remove(&Self::target_name(index)) {
                    self.store.put(row.name.clone(), None, now);
                    self.store.put(row.name, value, now);
                }
            }
            Action::TargetRewrites(index) => {
                let value = self.targets.get(&index).cloned().flatten();
                if self.store.rows(now).contains_key(&Self::target_name(index)) {
                    self.store.put(Self::target_name(index), value, now);
                }
            }
            Action::ConfigChanges(times) => (0..times).for_each(|_| self.change_config()),
            Action::Evacuate => self.set_evacuated(true),
            Action::TakeBack => self.set_evacuated(false),
            Action::VmIsAdded => self.add_vm(),
            Action::StoreReturns { down, age } => self.return_store(down, age),
            Action::HistoryIsLost => {
                self.store.dropped = self.store.version(now);
                self.store_disturbed_until = self.store_disturbed_until.max(now);
            }
            Action::VmIsKilled(index, time) => {
                if index < self.vms.len() {
                    let identity = self.identity(index);
                    let vm = &mut self.vms[index];
                    vm.state = State::new(identity);
                    vm.start = self.starts;
                    vm.revision = Revision(0);
                    vm.evacuation = 0;
                    vm.gone.clear();
                    vm.down_until = now + time;
                    vm.disturbed_until = vm.disturbed_until.max(now + time);
                }
            }
            Action::VmIsPaused(index, time) => self.disturb(index, time, |vm| &mut vm.paused_until),
            Action::VmLosesTheStore(index, time) => {
                self.disturb(index, time, |vm| &mut vm.no_store_until);
            }
            Action::VmLosesItsPeers(index, time) => {
                self.disturb(index, time, |vm| &mut vm.no_peers_until);
            }
        }
    }

    fn disturb(&mut self, index: usize, time: Span, field: impl Fn(&mut Vm) -> &mut Moment) {
        let end = self.now + time;
        let Some(vm) = self.vms.get_mut(index) else { return };
        let until = field(vm);
        *until = end.max(*until);
        vm.disturbed_until = vm.disturbed_until.max(end);
    }

    /// Lets time pass, and checks at each step what the VMs know.
    fn run(&mut self, length: Span) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            let due = |it: &mut (Moment, Rewrite)| it.0 <= self.now;
            let due: Vec<_> = self.rewrites.extract_if(.., due).collect();
            due.iter().for_each(|(_, rewrite)| self.rewrite(rewrite));
            while let Some(entry) = self.queue.first_entry() {
                if self.now < entry.key().0 {
                    break;
                }
                let (vm, start, delivery) = entry.remove();
                self.deliver(vm, start, delivery);
            }
            for vm in 0..self.vms.len() {
                if self.is_up(vm) {
                    self.apply(vm, Kind::Tick);
                }
            }
            self.check();
        }
    }

    fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].down_until.max(self.vms[vm].paused_until) <= self.now
    }

    fn deliver(&mut self, vm: usize, start: u64, delivery: Delivery) {
        let to = &self.vms[vm];
        match delivery {
            Delivery::Reply { .. } if to.start != start => {}
            // What arrives at a suspended machine waits in its buffers.
            delivery if self.now < to.paused_until => {
                let at = to.paused_until;
                self.enqueue(at, vm, start, delivery);
            }
            Delivery::Datagram(_) if self.now < to.down_until.max(to.no_peers_until) => {}
            Delivery::Datagram(datagram) => self.apply(vm, Kind::Datagram(datagram)),
            Delivery::Reply { call, sent, answer } => {
                self.apply(vm, Kind::Store { call, sent, answer });
            }
        }
    }

    fn enqueue(&mut self, at: Moment, vm: usize, start: u64, delivery: Delivery) {
        self.random = self.random.wrapping_add(1);
        let number = self.queue.keys().next_back().map_or(0, |key| key.1) + 1;
        let mut key = (at, number);
        while self.queue.contains_key(&key) {
            key.1 += 1;
        }
        self.queue.insert(key, (vm, start, delivery));
    }

    fn apply(&mut self, vm: usize, kind: Kind) {
        let event = Event { at: self.now, entropy: self.draw(u64::MAX), kind };
        for effect in self.vms[vm].state.apply(event) {
            match effect {
                Effect::Send { address, datagram } => self.send(vm, address, &datagram),
                Effect::Broadcast { addresses, datagram } => {
                    addresses.into_iter().for_each(|address| self.send(vm, address, &datagram));
                }
                Effect::Call(call) => self.call(vm, call),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: &Datagram) {
        let is_lost = self.draw(20) == 0 || self.now < self.vms[from].no_peers_until;
        let Some(to) = (0..self.vms.len()).find(|index| address(*index) == to) else { return };
        let delay = if self.draw(50) == 0 { self.draw(600_000) } else { self.draw(20_000) };
        if !is_lost {
            let (at, start) = (self.now + Span(delay), self.vms[to].start);
            self.enqueue(at, to, start, Delivery::Datagram(datagram.clone()));
        }
    }

    fn call(&mut self, vm: usize, call: Call) {
        let sent = self.now;
        let (there, back) = (Span(1_000 + self.draw(30_000)), Span(1_000 + self.draw(30_000)));
        let mut random = self.draw(u64::MAX) | 1;
        let mut draw = |below: u64| {
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            (random >> 33) % below.max(1)
        };
        let is_cut_off = sent < self.vms[vm].no_store_until;
        let era = Some(Era(self.store.era));
        let (answer, back) = if is_cut_off {
            let result = Err(Error::Unknown("cut off".into()));
            (Answer { era: None, result }, Span::from_millis(900))
        } else if sent < self.store.down_until {
            (Answer { era, result: Err(Error::Refused("503".into())) }, back)
        } else {
            // Nothing is written between the sending of a call and its execution here.
            (Answer { era, result: self.store.execute(&call, sent, &mut draw) }, back)
        };
        let (at, start) = (sent + there + back, self.vms[vm].start);
        self.enqueue(at, vm, start, Delivery::Reply { call, sent, answer });
    }

    fn check(&mut self) {
        let (now, change) = (self.now, self.bounds.change);
        let is_stable = STABLE_WINDOW <= now.since(self.store_disturbed_until);
        for (index, vm) in self.vms.iter_mut().enumerate() {
            let revision = vm.state.status(now).revision;
            assert!(vm.revision <= revision, "vm-{index}: {revision} after {}", vm.revision);
            vm.revision = revision;
            // What a VM knows of the data centre only follows what operators did later.
            let known = vm.state.targets().get(&EVACUEE.parse().unwrap());
            let known = known.map(Entry::is_evacuated);
            if let Some(known) = known {
                let later = self.facts.evacuations.iter().skip(vm.evacuation);
                let next = later.clone().position(|(_, is_evacuated)| *is_evacuated == known);
                assert!(next.is_some(), "vm-{index} went back: evacuated {known}");
                vm.evacuation += next.unwrap_or_default();
            }
            // A target that has left does not come back with a copy.
            for id in TARGETS.map(|id| id.parse::<TargetId>().unwrap()) {
                let Some(entry) = vm.state.targets().get(&id) else { continue };
                let start = (id, entry.target.start);
                let uses_again = entry.is_ready(now) && vm.gone.contains(&start);
                assert!(!uses_again, "vm-{index} uses {start:?} again");
                if entry.target.status == Status::Leaving {
                    vm.gone.insert(start);
                }
            }
            // What a VM takes for the newest configuration was that when it says.
            let age = Span::from_millis(vm.state.status(now).confirmed_ms_ago);
            let confirmed_at = Moment(now.0.saturating_sub(age.0.saturating_add(1_000)));
            let newest = self.facts.revisions.iter().rev().find(|(at, _)| *at < confirmed_at);
            let newest = Revision(newest.map_or(0, |(_, revision)| *revision));
            assert!(
                newest <= revision,
                "vm-{index} confirms {revision} at {confirmed_at}, {newest}"
            );
            if !is_stable || now.since(vm.disturbed_until) < STABLE_WINDOW {
                continue;
            }
            if vm.disturbed_until > now {
                continue;
            }
            let due = |at: Moment| change < now.since(at);
            for (id, at) in self.facts.gone.iter().filter(|(_, at)| due(**at)) {
                let is_ready = vm.state.targets().get(id).is_some_and(|entry| entry.is_ready(now));
                let age = now.since(*at);
                assert!(!is_ready, "vm-{index} uses {id} {age} after it left");
            }
            let due_evacuation = self.facts.evacuations.iter().rposition(|(at, _)| due(*at));
            let due_evacuation = due_evacuation.unwrap_or(0);
            let mut allowed = self.facts.evacuations.iter().skip(due_evacuation);
            let is_allowed = allowed.any(|(_, is_evacuated)| known == Some(*is_evacuated));
            assert!(is_allowed, "vm-{index}: evacuated {known:?}, change {due_evacuation} is due");
            let known = self.facts.revisions.iter().rev().find(|(at, _)| due(*at));
            let known = Revision(known.map_or(0, |(_, revision)| *revision));
            assert!(known <= revision, "vm-{index} uses {revision}, {known} is due");
        }
    }

    /// Checks that all VMs know exactly the targets that the store has.
    fn check_equal(&self) {
        let rows = self.store.rows(self.now);
        let gone: BTreeSet<_> = self.facts.gone.keys().cloned().collect();
        for (index, vm) in self.vms.iter().enumerate() {
            for id in TARGETS.map(|id| id.parse::<TargetId>().unwrap()) {
                let known = vm.state.targets().get(&id).map(|entry| &entry.target);
                let stored = rows.get(&Name::Target(id.clone())).and_then(|row| row.value.clone());
                let stored = stored.map(|value| match value {
                    Value::Target(target) => target,
                    value => panic!("{value:?}"),
                });
                assert_eq!(known, stored.as_ref(), "vm-{index}, {gone:?}");
            }
            let evacuee = vm.state.targets().get(&EVACUEE.parse().unwrap()).unwrap();
            let is_evacuated = self.facts.evacuations.last().is_some_and(|it| it.1);
            assert_eq!(evacuee.is_evacuated(), is_evacuated, "vm-{index}");
        }
    }
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:1", index + 1).parse().unwrap()
}

fn check(vms: usize, change: Span, seed: u64, actions: &[(u64, Action)]) {
    let mut net = Net::new(vms, change, seed);
    net.run(Span::from_secs(4));
    for (pause, action) in actions {
        net.run(Span::from_millis(*pause));
        net.act(action);
    }
    net.run(Span::from_secs(9));
    net.check_equal();
}

proptest! {
    /// A revoked key, a leaving target or a dropped route was still used by VMs whose
    /// peers had been restarted, or had read less than they.
    #[test]
    fn changes_reach_all_vms_in_time(
        vms in 2..=MAX_VMS,
        change in prop::sample::select(vec![2, 3]),
        seed in any::<u64>(),
        actions in prop::collection::vec((0..2_500_u64, action()), 1..14),
    ) {
        check(vms, Span::from_secs(change), seed, &actions);
    }
}

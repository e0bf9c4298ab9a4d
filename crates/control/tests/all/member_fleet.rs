//! A fleet of real reducers over a queue of messages in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use briarshift_control::{Effect, Event, Identity, Kind, State, member::Seed, target::Target};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::{Failure, LoadReport};
use briarshift_units::{Moment, Span, StartNumber, TargetId, VmId, WallTime};
use briarshift_wire::{Frame, Message, gossip::Health};

/// Time between two ticks of a reducer.
const TICK: Span = Span::from_millis(20);
/// Bytes that UDP, IP and QUIC add to a message.
const OVERHEAD: u64 = 80;
/// Messages that a frozen VM's socket keeps.
const BACKLOG: usize = 64;
/// How long a poll of a target that is gone takes to fail.
const POLL_TIMEOUT: Span = Span::from_millis(1_000);

/// Cases of a property that runs whole fleets, which take long each.
pub fn cases() -> u32 {
    (proptest::test_runner::Config::default().cases / 4).max(1)
}

pub struct Node {
    pub vm: VmId,
    pub data_centre: usize,
    pub state: Option<State>,
    pub start: StartNumber,
    pub frozen: bool,
    pub bytes: u64,
    pub work: std::time::Duration,
    backlog: Vec<Kind>,
    address: SocketAddr,
}

#[derive(Clone)]
pub struct Engine {
    pub id: TargetId,
    pub data_centre: usize,
    pub report: LoadReport,
    pub up: bool,
    pub standing: Status,
}

pub struct Fleet {
    pub now: Moment,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    /// Pairs (from, to) whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Share of messages lost, in percent.
    pub loss: u64,
    /// How far the platform's list is behind.
    pub lag: Span,
    pub lines: Vec<(usize, briarshift_control::Record)>,
    queue: BTreeMap<(Moment, u64), (usize, Kind)>,
    history: Vec<(Moment, Vec<ListedVm>)>,
    random: u64,
    sequence: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 4_000))
}

fn place(data_centre: usize) -> String {
    format!("dc-{data_centre}")
}

impl Fleet {
    /// VMs and engines spread evenly over data centres; all VMs start now.
    pub fn new(seed: u64, vms: usize, engines: usize, data_centres: usize) -> Self {
        let nodes = (0..vms).map(|index| Node {
            vm: format!("vm-{index}").parse().unwrap(),
            data_centre: index % data_centres,
            state: None,
            start: StartNumber(0),
            frozen: false,
            bytes: 0,
            work: std::time::Duration::ZERO,
            backlog: Vec::new(),
            address: address(index),
        });
        let engines = (0..engines).map(|index| Engine {
            id: format!("engine-{index}").parse().unwrap(),
            data_centre: index % data_centres,
            report: LoadReport {
                start: StartNumber(1_700_000_000_000_000),
                models: vec!["linen-8b".parse().unwrap()],
                ..LoadReport::default()
            },
            up: true,
            standing: Status::Live,
        });
        let mut fleet = Self {
            now: Moment(10_000_000),
            nodes: nodes.collect(),
            engines: engines.collect(),
            cuts: BTreeSet::new(),
            loss: 0,
            lag: Span::from_secs(2),
            lines: Vec::new(),
            queue: BTreeMap::new(),
            history: Vec::new(),
            random: seed,
            sequence: 0,
        };
        for index in 0..vms {
            fleet.start(index);
        }
        fleet
    }

    /// A fleet that has run long enough to know itself.
    pub fn settled(seed: u64, vms: usize, engines: usize, data_centres: usize) -> Self {
        let mut fleet = Self::new(seed, vms, engines, data_centres);
        fleet.run(Span::from_secs(10));
        fleet
    }

    pub fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e);
        (self.random ^ (self.random >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// Starts a VM's process, larger than any before.
    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.start = StartNumber(1_700_000_000_000_000 + self.now.0);
        node.frozen = false;
        node.backlog.clear();
        let mut state = State::new(Identity {
            vm: node.vm.clone(),
            start: node.start,
            data_centre: place(node.data_centre).parse().unwrap(),
            address: node.address,
            environment: "trial".into(),
            token_key: [0; 32],
        });
        // Settings name the first three VMs, as an operator's file would.
        let seeds = self.nodes.iter().take(3).filter(|peer| peer.address != address(index));
        state.seed(seeds.map(|peer| Seed {
            vm: peer.vm.clone(),
            data_centre: place(peer.data_centre).parse().unwrap(),
            address: peer.address,
        }));
        self.nodes[index].state = Some(state);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].state = None;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for kind in std::mem::take(&mut self.nodes[index].backlog) {
            self.apply(index, kind);
        }
    }

    /// Cuts all messages from one set of VMs to another.
    pub fn cut(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.cuts.extend(pairs.filter(|&(a, b)| a != b && from(a) && to(b)));
    }

    pub fn runs(&self, index: usize) -> bool {
        self.nodes[index].state.is_some() && !self.nodes[index].frozen
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        let rows = self.rows();
        if self.history.last().is_none_or(|(_, last)| *last != rows) {
            self.history.push((self.now, rows));
        }
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (index, kind) = entry.remove();
            self.deliver(index, kind);
        }
        for index in 0..self.nodes.len() {
            if self.runs(index) {
                self.apply(index, Kind::Tick);
            }
        }
    }

    fn deliver(&mut self, index: usize, kind: Kind) {
        if self.runs(index) {
            self.apply(index, kind);
        } else if self.nodes[index].frozen && self.nodes[index].backlog.len() < BACKLOG {
            self.nodes[index].backlog.push(kind);
        }
    }

    pub fn apply(&mut self, index: usize, kind: Kind) {
        let entropy = self.random();
        let event = Event { at: self.now, wall: WallTime(0), entropy, kind };
        let node = &mut self.nodes[index];
        let Some(state) = &mut node.state else { return };
        let begun = std::time::Instant::now();
        let effects = state.apply(event);
        node.work += begun.elapsed();
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.send(index, &to, &message),
            Effect::ReadVmList => {
                let seen = Moment(self.now.0.saturating_sub(self.lag.0));
                let past = self.history.iter().rev().find(|(at, _)| *at <= seen);
                let rows = past.or(self.history.first()).map(|(_, rows)| rows.clone());
                self.later(index, Span::from_millis(5), Kind::VmList(Ok(rows.unwrap_or_default())));
            }
            Effect::Poll { target, .. } => {
                let engine = self.engines.iter().find(|engine| engine.id == target);
                let (delay, result) = match engine.filter(|engine| engine.up) {
                    Some(engine) => (Span::from_millis(2), Ok(engine.report.clone())),
                    None => (POLL_TIMEOUT, Err(Failure::NotSent("gone".into()))),
                };
                self.later(index, delay, Kind::TargetReport { target, result });
            }
            Effect::Log(line) => self.lines.push((index, line)),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: &Message) {
        let frame = Frame::encode(message).unwrap();
        self.nodes[from].bytes += frame.as_bytes().len() as u64 + OVERHEAD;
        let Some(index) = self.nodes.iter().position(|node| node.vm == *to) else { return };
        if self.cuts.contains(&(from, index)) || self.random() % 100 < self.loss {
            return;
        }
        let delay = Span(1_000 + self.random() % 2_000);
        let from = self.nodes[from].vm.clone();
        let message = Frame::decode(frame.as_bytes()).unwrap();
        self.later(index, delay, Kind::Peer { from, message });
    }

    fn later(&mut self, index: usize, delay: Span, kind: Kind) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, kind));
    }

    fn rows(&self) -> Vec<ListedVm> {
        let running = self.nodes.iter().filter(|node| node.state.is_some());
        let vms = running.map(|node| ListedVm {
            vm: node.vm.clone(),
            role: Role::Entry,
            data_centre: place(node.data_centre).parse().unwrap(),
            address: node.address,
            status: Status::Live,
        });
        let engines = self.engines.iter().enumerate().map(|(index, engine)| ListedVm {
            vm: engine.id.to_string().parse().unwrap(),
            role: Role::Target { pool: "chat".parse().unwrap() },
            data_centre: place(engine.data_centre).parse().unwrap(),
            address: address(10_000 + index),
            status: engine.standing,
        });
        vms.chain(engines).collect()
    }

    /// What one VM believes of another; `None` if it knows of no process.
    pub fn belief(&self, observer: usize, of: usize) -> Option<(StartNumber, Health)> {
        let state = self.nodes[observer].state.as_ref()?;
        let member = state.members().get(&self.nodes[of].vm)?;
        Some((member.start, member.health))
    }

    /// Pairs of running VMs that disagree with the truth about a VM.
    pub fn disagreements(&self) -> Vec<String> {
        let all = || 0..self.nodes.len();
        let observers = all().filter(|&index| self.runs(index));
        let pairs = observers.flat_map(|a| all().filter(move |&b| a != b).map(move |b| (a, b)));
        let wrong = pairs.filter(|&(a, b)| {
            let truth = self.nodes[b].state.is_some();
            let belief = self.belief(a, b);
            if truth {
                belief != Some((self.nodes[b].start, Health::Alive))
            } else {
                belief.is_some_and(|(_, health)| health < Health::Leaving)
            }
        });
        wrong.map(|(a, b)| format!("vm-{a} on vm-{b}: {:?}", self.belief(a, b))).collect()
    }

    /// VMs that would give an engine new work.
    pub fn givers(&self, engine: usize) -> Vec<usize> {
        let id = &self.engines[engine].id;
        let gives = |state: &State| state.targets().get(id).is_some_and(Target::takes_work);
        let all = 0..self.nodes.len();
        all.filter(|&index| self.nodes[index].state.as_ref().is_some_and(gives)).collect()
    }
}

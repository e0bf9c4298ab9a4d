//! A simulated fleet: real reducers, a network with faults, and virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use briarshift_control::{Effect, Event, Identity, Kind, State, member::Seed, target::Target};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::{Failure, LoadReport};
use briarshift_units::{Moment, Span, StartNumber, TargetId, VmId, WallTime};
use briarshift_wire::{Frame, Message, gossip::Health};

/// Time between two ticks of a reducer.
const TICK: Span = Span::from_millis(20);
/// Bytes that the UDP, IP and QUIC headers add to a message.
const HEADER_BYTES: u64 = 80;
/// Messages that the socket of a frozen VM buffers.
const MAX_BACKLOG: usize = 64;
/// Time after which a poll of a target that is down fails.
const POLL_TIMEOUT: Span = Span::from_millis(1_000);

/// Returns the number of cases for properties that simulate whole fleets: a
/// quarter of the usual number, because each case takes long.
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
    /// Pairs (from, to) between which all messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost, in percent.
    pub loss: u64,
    /// Age of the platform's list when it is read.
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

fn data_centre_name(data_centre: usize) -> String {
    format!("dc-{data_centre}")
}

impl Fleet {
    /// Creates a fleet whose VMs and engines are spread evenly over the data
    /// centres, and starts all VMs.
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

    /// Creates a fleet and runs it for 10 s, so that all VMs know each other.
    pub fn settled(seed: u64, vms: usize, engines: usize, data_centres: usize) -> Self {
        let mut fleet = Self::new(seed, vms, engines, data_centres);
        fleet.run(Span::from_secs(10));
        fleet
    }

    pub fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e);
        (self.random ^ (self.random >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// Starts a VM's process, with a start number above all previous ones.
    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.start = StartNumber(1_700_000_000_000_000 + self.now.0);
        node.frozen = false;
        node.backlog.clear();
        let mut state = State::new(Identity {
            vm: node.vm.clone(),
            start: node.start,
            data_centre: data_centre_name(node.data_centre).parse().unwrap(),
            address: node.address,
            environment: "trial".into(),
            token_key: [0; 32],
        });
        // The settings name the first three VMs as seeds.
        let seeds = self.nodes.iter().take(3).filter(|peer| peer.address != address(index));
        state.seed(seeds.map(|peer| Seed {
            vm: peer.vm.clone(),
            data_centre: data_centre_name(peer.data_centre).parse().unwrap(),
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

    /// Drops all messages from one set of VMs to another from now on.
    pub fn cut(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let all = 0..self.nodes.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.cuts.extend(pairs.filter(|&(a, b)| a != b && from(a) && to(b)));
    }

    pub fn is_running(&self, index: usize) -> bool {
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
        let rows = self.listed();
        if self.history.last().is_none_or(|(_, last)| *last != rows) {
            self.history.push((self.now, rows));
        }
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (index, kind) = entry.remove();
            self.deliver(index, kind);
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.apply(index, Kind::Tick);
            }
        }
    }

    fn deliver(&mut self, index: usize, kind: Kind) {
        if self.is_running(index) {
            self.apply(index, kind);
        } else if self.nodes[index].frozen && self.nodes[index].backlog.len() < MAX_BACKLOG {
            self.nodes[index].backlog.push(kind);
        }
    }

    pub fn apply(&mut self, index: usize, kind: Kind) {
        let entropy = self.random();
        let event = Event { at: self.now, wall: WallTime(0), entropy, kind };
        let node = &mut self.nodes[index];
        let Some(state) = &mut node.state else { return };
        let begin = std::time::Instant::now();
        let effects = state.apply(event);
        node.work += begin.elapsed();
        for effect in effects {
            self.execute_effect(index, effect);
        }
    }

    fn execute_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.send(index, &to, &message),
            Effect::ReadVmList => {
                let seen = Moment(self.now.0.saturating_sub(self.lag.0));
                let past = self.history.iter().rev().find(|(at, _)| *at <= seen);
                let rows = past.or(self.history.first()).map(|(_, rows)| rows.clone());
                self.schedule(
                    index,
                    Span::from_millis(5),
                    Kind::VmList(Ok(rows.unwrap_or_default())),
                );
            }
            Effect::Poll { target, .. } => {
                let engine = self.engines.iter().find(|engine| engine.id == target);
                let (delay, result) = match engine.filter(|engine| engine.up) {
                    Some(engine) => (Span::from_millis(2), Ok(engine.report.clone())),
                    None => (POLL_TIMEOUT, Err(Failure::NotSent("gone".into()))),
                };
                self.schedule(index, delay, Kind::TargetReport { target, result });
            }
            Effect::Log(line) => self.lines.push((index, line)),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: &Message) {
        let frame = Frame::encode(message).unwrap();
        self.nodes[from].bytes += frame.as_bytes().len() as u64 + HEADER_BYTES;
        let Some(index) = self.nodes.iter().position(|node| node.vm == *to) else { return };
        if self.cuts.contains(&(from, index)) || self.random() % 100 < self.loss {
            return;
        }
        let delay = Span(1_000 + self.random() % 2_000);
        let from = self.nodes[from].vm.clone();
        let message = Frame::decode(frame.as_bytes()).unwrap();
        self.schedule(index, delay, Kind::Peer { from, message });
    }

    fn schedule(&mut self, index: usize, delay: Span, kind: Kind) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, kind));
    }

    fn listed(&self) -> Vec<ListedVm> {
        let running = self.nodes.iter().filter(|node| node.state.is_some());
        let vms = running.map(|node| ListedVm {
            vm: node.vm.clone(),
            role: Role::Entry,
            data_centre: data_centre_name(node.data_centre).parse().unwrap(),
            address: node.address,
            status: Status::Live,
        });
        let engines = self.engines.iter().enumerate().map(|(index, engine)| ListedVm {
            vm: engine.id.to_string().parse().unwrap(),
            role: Role::Target { pool: "chat".parse().unwrap() },
            data_centre: data_centre_name(engine.data_centre).parse().unwrap(),
            address: address(10_000 + index),
            status: engine.standing,
        });
        vms.chain(engines).collect()
    }

    /// Returns what one VM knows of another; `None` if it knows no process of
    /// it.
    pub fn belief(&self, observer: usize, of: usize) -> Option<(StartNumber, Health)> {
        let state = self.nodes[observer].state.as_ref()?;
        let member = state.members().get(&self.nodes[of].vm)?;
        Some((member.start, member.health))
    }

    /// Describes each case in which a running VM has a wrong view of another
    /// VM.
    pub fn disagreements(&self) -> Vec<String> {
        let all = || 0..self.nodes.len();
        let observers = all().filter(|&index| self.is_running(index));
        let pairs = observers.flat_map(|a| all().filter(move |&b| a != b).map(move |b| (a, b)));
        let disagreements = pairs.filter(|&(a, b)| {
            let truth = self.nodes[b].state.is_some();
            let belief = self.belief(a, b);
            if truth {
                belief != Some((self.nodes[b].start, Health::Alive))
            } else {
                belief.is_some_and(|(_, health)| health < Health::Leaving)
            }
        });
        disagreements.map(|(a, b)| format!("vm-{a} on vm-{b}: {:?}", self.belief(a, b))).collect()
    }

    /// Returns the VMs that would send new requests to an engine.
    pub fn givers(&self, engine: usize) -> Vec<usize> {
        let id = &self.engines[engine].id;
        let sends_requests =
            |state: &State| state.targets().get(id).is_some_and(Target::takes_work);
        let all = 0..self.nodes.len();
        all.filter(|&index| self.nodes[index].state.as_ref().is_some_and(sends_requests)).collect()
    }
}

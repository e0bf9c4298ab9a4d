//! What membership and targets' loads cost a VM, by the number of VMs.
//!
//! `cargo bench --bench fleet` prints a table, `-- --json` one JSON line for
//! each size. Real reducers of a whole fleet run over a queue of frames in
//! virtual time, without faults: what is measured is the steady state. Each
//! size runs in a process of its own, so that its growth of memory is its own.
//! No document is in force and no request is under way: places, documents,
//! QUIC and TLS are not in these figures.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use briarshift_control::{Effect, Event, Identity, Kind, State, member::Seed};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::LoadReport;
use briarshift_units::{Moment, Span, StartNumber, VmId, WallTime};
use briarshift_wire::Frame;
use serde::Serialize;

/// Sizes of the fleet, in VMs.
const SIZES: [usize; 4] = [6, 12, 60, 250];
/// Targets for each VM.
const TARGETS_PER_VM: usize = 4;
/// Data centres that VMs and targets are spread over.
const DATA_CENTRES: usize = 3;
/// Time between two ticks of a reducer, as in the daemon.
const TICK: Span = Span::from_millis(20);
/// Time for the fleet to learn of itself.
const WARM_UP: Span = Span::from_secs(30);
/// Time that is measured.
const MEASURED: Span = Span::from_secs(60);
/// Bytes that UDP, IP and QUIC add to a frame.
const OVERHEAD: usize = 80;
/// Bytes of a page in `/proc/self/statm`.
const PAGE: u64 = 4_096;

/// Most control bytes a second a VM.
const BYTES_BOUND: f64 = 14_000.0;
/// Most processor time, in percent of a core.
const PROCESSOR_BOUND: f64 = 2.4;
/// Most memory a VM, in megabytes.
const MEMORY_BOUND: f64 = 128.0;

/// Figures of one size.
#[derive(Debug, Serialize)]
struct Row {
    vms: usize,
    targets: usize,
    /// Control bytes sent a second by the mean VM.
    bytes_mean: f64,
    /// Control bytes sent a second by the VM that sends most.
    bytes_most: f64,
    /// Percent of a core a VM: wall time of the reducer and of frames.
    processor: f64,
    /// Memory a VM in megabytes.
    memory: f64,
    /// Polls a second that the mean target answers, from the whole fleet.
    polls: f64,
    /// Reads of the platform's list a second, by the whole fleet.
    lists: f64,
    /// Members that the VM that knows fewest takes for live, itself counted.
    members_least: usize,
    /// Targets that the VM that knows fewest would give work.
    targets_least: usize,
}

fn main() -> anyhow::Result<()> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    if let Some(at) = args.iter().position(|arg| arg == "--size") {
        let size = args.get(at + 1).context("--size needs a number")?.parse()?;
        println!("{}", serde_json::to_string(&measure(size))?);
        return Ok(());
    }
    let json = args.iter().any(|arg| arg == "--json");
    if !json {
        head();
    }
    for size in SIZES {
        let this = std::env::current_exe()?;
        let output = Command::new(this).args(["--size", &size.to_string()]).output()?;
        ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let line = String::from_utf8(output.stdout)?;
        if json {
            print!("{line}");
        } else {
            table(&serde_json::from_str(&line)?);
        }
    }
    if !json {
        println!(
            "{:>5} {:>8} {BYTES_BOUND:>9.0} {BYTES_BOUND:>9.0} {PROCESSOR_BOUND:>9.2} \
             {MEMORY_BOUND:>8.1}",
            "bound", ""
        );
    }
    Ok(())
}

fn head() {
    println!(
        "{:>5} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "VMs",
        "targets",
        "B/s mean",
        "B/s most",
        "core %",
        "MB a VM",
        "polls/t",
        "lists/s",
        "live min",
        "usable"
    );
}

fn table(row: &serde_json::Value) {
    let real = |name: &str| row[name].as_f64().unwrap_or(f64::NAN);
    let whole = |name: &str| row[name].as_u64().unwrap_or(0);
    println!(
        "{:>5} {:>8} {:>9.0} {:>9.0} {:>9.3} {:>8.2} {:>8.2} {:>8.2} {:>8} {:>8}",
        whole("vms"),
        whole("targets"),
        real("bytes_mean"),
        real("bytes_most"),
        real("processor"),
        real("memory"),
        real("polls"),
        real("lists"),
        whole("members_least"),
        whole("targets_least")
    );
}

fn measure(size: usize) -> Row {
    let mut fleet = Fleet::new(size);
    let before = resident();
    fleet.start();
    fleet.run(WARM_UP);
    fleet.reset();
    fleet.run(MEASURED);
    let secs = MEASURED.0 as f64 / 1e6;
    let vms = size as f64;
    let bytes = |node: &Node| node.bytes as f64 / secs;
    let work: Duration = fleet.nodes.iter().map(|node| node.work).sum();
    let counts = || fleet.nodes.iter().map(|node| node.state.counts());
    Row {
        vms: size,
        targets: fleet.targets,
        bytes_mean: fleet.nodes.iter().map(bytes).sum::<f64>() / vms,
        bytes_most: fleet.nodes.iter().map(bytes).fold(0.0, f64::max),
        processor: 100.0 * work.as_secs_f64() / (vms * secs),
        memory: resident().saturating_sub(before) as f64 / vms / 1e6,
        polls: fleet.polls as f64 / secs / fleet.targets as f64,
        lists: fleet.lists as f64 / secs,
        members_least: 1 + counts().map(|counts| counts.live_members).min().unwrap_or(0),
        targets_least: counts().map(|counts| counts.live_targets).min().unwrap_or(0),
    }
}

/// Resident memory of this process, in bytes; 0 where the system has no statm.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

struct Node {
    vm: VmId,
    state: State,
    bytes: u64,
    work: Duration,
}

/// Something on its way to a VM.
enum Arrival {
    Frame { from: VmId, frame: Frame },
    Kind(Kind),
}

struct Fleet {
    now: Moment,
    nodes: Vec<Node>,
    by_vm: BTreeMap<VmId, usize>,
    rows: Vec<ListedVm>,
    targets: usize,
    polls: u64,
    lists: u64,
    queue: BTreeMap<(Moment, u64), (usize, Arrival)>,
    sequence: u64,
    random: fastrand::Rng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 4_000))
}

fn row(name: &str, role: Role, index: usize, all: usize) -> ListedVm {
    ListedVm {
        vm: format!("{name}-{index}").parse().expect("a name is an id"),
        role,
        data_centre: format!("dc-{}", index % DATA_CENTRES).parse().expect("a name is an id"),
        address: address(all + index),
        status: Status::Live,
    }
}

impl Fleet {
    /// The platform's list, and no process yet.
    fn new(vms: usize) -> Self {
        let targets = vms * TARGETS_PER_VM;
        let pool = || Role::Target { pool: "chat".parse().expect("a name is an id") };
        let entries = (0..vms).map(|index| row("vm", Role::Entry, index, 0));
        let engines = (0..targets).map(|index| row("engine", pool(), index, vms));
        Self {
            now: Moment(10_000_000),
            nodes: Vec::new(),
            by_vm: BTreeMap::new(),
            rows: entries.chain(engines).collect(),
            targets,
            polls: 0,
            lists: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(20_261_204),
        }
    }

    /// Starts all VMs; the first three are in everyone's settings.
    fn start(&mut self) {
        let entries: Vec<_> = self.rows.iter().filter(|row| row.role == Role::Entry).collect();
        for (index, entry) in entries.iter().enumerate() {
            let mut state = State::new(Identity {
                vm: entry.vm.clone(),
                start: StartNumber(1_700_000_000_000_000 + index as u64),
                data_centre: entry.data_centre.clone(),
                address: entry.address,
                environment: "trial".into(),
                token_key: [0; 32],
            });
            let seeds = entries.iter().take(3).filter(|peer| peer.vm != entry.vm);
            state.seed(seeds.map(|peer| Seed {
                vm: peer.vm.clone(),
                data_centre: peer.data_centre.clone(),
                address: peer.address,
            }));
            self.by_vm.insert(entry.vm.clone(), index);
            let vm = entry.vm.clone();
            self.nodes.push(Node { vm, state, bytes: 0, work: Duration::ZERO });
        }
    }

    fn reset(&mut self) {
        (self.polls, self.lists) = (0, 0);
        for node in &mut self.nodes {
            (node.bytes, node.work) = (0, Duration::ZERO);
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            while let Some(entry) = self.queue.first_entry().filter(|due| due.key().0 <= self.now) {
                let (index, arrival) = entry.remove();
                self.arrive(index, arrival);
            }
            for index in 0..self.nodes.len() {
                self.apply(index, Kind::Tick);
            }
        }
    }

    fn arrive(&mut self, index: usize, arrival: Arrival) {
        let begun = Instant::now();
        let kind = match arrival {
            Arrival::Frame { from, frame } => {
                let message = Frame::decode(frame.as_bytes()).expect("a frame made here");
                Kind::Peer { from, message }
            }
            Arrival::Kind(kind) => kind,
        };
        self.nodes[index].work += begun.elapsed();
        self.apply(index, kind);
    }

    fn apply(&mut self, index: usize, kind: Kind) {
        let entropy = self.random.u64(..);
        let event = Event { at: self.now, wall: WallTime(0), entropy, kind };
        let begun = Instant::now();
        let effects = self.nodes[index].state.apply(event);
        self.nodes[index].work += begun.elapsed();
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => {
                let node = &mut self.nodes[index];
                let begun = Instant::now();
                let frame = Frame::encode(&message).expect("a message fits a frame");
                node.work += begun.elapsed();
                node.bytes += (frame.as_bytes().len() + OVERHEAD) as u64;
                let from = node.vm.clone();
                let delay = Span(1_000 + self.random.u64(..2_000));
                self.later(self.by_vm[&to], delay, Arrival::Frame { from, frame });
            }
            Effect::ReadVmList => {
                self.lists += 1;
                let rows = Kind::VmList(Ok(self.rows.clone()));
                self.later(index, Span::from_millis(5), Arrival::Kind(rows));
            }
            Effect::Poll { target, .. } => {
                self.polls += 1;
                let report = LoadReport {
                    start: StartNumber(1_700_000_000_000_000),
                    models: vec!["linen-8b".parse().expect("a name is an id")],
                    running: self.random.u32(..32),
                    ..LoadReport::default()
                };
                let kind = Kind::TargetReport { target, result: Ok(report) };
                self.later(index, Span::from_millis(2), Arrival::Kind(kind));
            }
            _ => {}
        }
    }

    fn later(&mut self, index: usize, delay: Span, arrival: Arrival) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, arrival));
    }
}

//! Cost of membership and load reports for a VM, by the number of VMs.
//!
//! `cargo bench --bench fleet` prints a table, `-- --json` one JSON line for each size. The real
//! reducers of all VMs run in virtual time and exchange frames through a queue, without faults, so
//! the steady state is measured. Each size runs in a process of its own, so that its memory growth
//! can be measured separately. No document is in force and no request runs: the results don't
//! include reservations, documents, QUIC and TLS.

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

/// Numbers of VMs in the fleet.
const FLEET_SIZES: [usize; 4] = [6, 12, 60, 250];
/// Number of targets for each VM.
const TARGETS_PER_VM: usize = 4;
/// Number of data centres that VMs and targets are spread over.
const DATA_CENTRES: usize = 3;
/// Time between two ticks of a reducer; the daemon uses the same.
const TICK_INTERVAL: Span = Span::from_millis(20);
/// Time in which the VMs learn of each other and of the targets.
const WARM_UP_TIME: Span = Span::from_secs(30);
/// Duration of the measurement.
const MEASURED_TIME: Span = Span::from_secs(60);
/// Bytes that UDP, IP and QUIC add to a frame.
const FRAME_OVERHEAD: usize = 80;
/// Size in bytes of the pages that `/proc/self/statm` counts.
const PAGE_SIZE: u64 = 4_096;

/// Limit on the control bytes that a VM sends per second. Printed below the table, not checked.
const MAX_BYTES_PER_SECOND: f64 = 14_000.0;
/// Limit on the processor time of a VM, in percent of a core. Printed only.
const MAX_PROCESSOR_PERCENT: f64 = 2.4;
/// Limit on the memory of a VM, in megabytes. Printed only.
const MAX_MEMORY_MB: f64 = 128.0;

/// Results for one size of the fleet. The field names are the keys of the JSON output.
#[derive(Debug, Serialize)]
struct Row {
    vms: usize,
    targets: usize,
    /// Mean number of control bytes that a VM sends per second.
    bytes_mean: f64,
    /// Control bytes per second of the VM that sends most.
    bytes_most: f64,
    /// Processor time of a VM in percent of a core: the wall time of its reducer and of encoding
    /// and decoding frames.
    processor: f64,
    /// Memory of a VM in megabytes.
    memory: f64,
    /// Mean number of polls per second that a target answers, from all VMs.
    polls: f64,
    /// Reads of the platform's list per second, by all VMs.
    lists: f64,
    /// Minimum over the VMs of the number of members that a VM considers live, including itself.
    members_least: usize,
    /// Minimum over the VMs of the number of targets that take work in a VM's view.
    targets_least: usize,
}

fn main() -> anyhow::Result<()> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    if let Some(at) = args.iter().position(|arg| arg == "--size") {
        let size = args.get(at + 1).context("--size needs a number of VMs")?.parse()?;
        println!("{}", serde_json::to_string(&measure_fleet(size))?);
        return Ok(());
    }
    let json = args.iter().any(|arg| arg == "--json");
    if !json {
        print_header();
    }
    for size in FLEET_SIZES {
        let executable = std::env::current_exe()?;
        let output = Command::new(executable).args(["--size", &size.to_string()]).output()?;
        ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let line = String::from_utf8(output.stdout)?;
        if json {
            print!("{line}");
        } else {
            print_row(&serde_json::from_str(&line)?);
        }
    }
    if !json {
        println!(
            "{:>5} {:>8} {MAX_BYTES_PER_SECOND:>9.0} {MAX_BYTES_PER_SECOND:>9.0} \
             {MAX_PROCESSOR_PERCENT:>9.2} {MAX_MEMORY_MB:>8.1}",
            "bound", ""
        );
    }
    Ok(())
}

fn print_header() {
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

fn print_row(row: &serde_json::Value) {
    let float = |name: &str| row[name].as_f64().unwrap_or(f64::NAN);
    let integer = |name: &str| row[name].as_u64().unwrap_or(0);
    println!(
        "{:>5} {:>8} {:>9.0} {:>9.0} {:>9.3} {:>8.2} {:>8.2} {:>8.2} {:>8} {:>8}",
        integer("vms"),
        integer("targets"),
        float("bytes_mean"),
        float("bytes_most"),
        float("processor"),
        float("memory"),
        float("polls"),
        float("lists"),
        integer("members_least"),
        integer("targets_least")
    );
}

/// Runs a fleet of this size and returns its results.
fn measure_fleet(size: usize) -> Row {
    let mut fleet = Fleet::new(size);
    let before = resident_bytes();
    fleet.start();
    fleet.run(WARM_UP_TIME);
    fleet.reset_counters();
    fleet.run(MEASURED_TIME);
    let seconds = MEASURED_TIME.0 as f64 / 1e6;
    let vms = size as f64;
    let bytes = |node: &Node| node.bytes_sent as f64 / seconds;
    let processing_time: Duration = fleet.nodes.iter().map(|node| node.processing_time).sum();
    let counts = || fleet.nodes.iter().map(|node| node.state.counts());
    Row {
        vms: size,
        targets: fleet.targets,
        bytes_mean: fleet.nodes.iter().map(bytes).sum::<f64>() / vms,
        bytes_most: fleet.nodes.iter().map(bytes).fold(0.0, f64::max),
        processor: 100.0 * processing_time.as_secs_f64() / (vms * seconds),
        memory: resident_bytes().saturating_sub(before) as f64 / vms / 1e6,
        polls: fleet.polls as f64 / seconds / fleet.targets as f64,
        lists: fleet.lists as f64 / seconds,
        members_least: 1 + counts().map(|counts| counts.live_members).min().unwrap_or(0),
        targets_least: counts().map(|counts| counts.live_targets).min().unwrap_or(0),
    }
}

/// Returns the resident memory of this process in bytes, or 0 if the system has no
/// `/proc/self/statm`.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

/// A running VM.
struct Node {
    vm: VmId,
    state: State,
    bytes_sent: u64,
    processing_time: Duration,
}

/// A frame or an event on its way to a VM.
enum Arrival {
    Frame { from: VmId, frame: Frame },
    Event(Kind),
}

/// All VMs, and the queue of arrivals in virtual time.
struct Fleet {
    now: Moment,
    nodes: Vec<Node>,
    by_vm: BTreeMap<VmId, usize>,
    vm_list: Vec<ListedVm>,
    targets: usize,
    polls: u64,
    lists: u64,
    queue: BTreeMap<(Moment, u64), (usize, Arrival)>,
    sequence: u64,
    rng: fastrand::Rng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 4_000))
}

/// Returns an entry of the platform's list.
fn list_entry(name: &str, role: Role, index: usize, offset: usize) -> ListedVm {
    ListedVm {
        vm: format!("{name}-{index}").parse().expect("the name is a valid id"),
        role,
        data_centre: format!("dc-{}", index % DATA_CENTRES)
            .parse()
            .expect("the name is a valid id"),
        address: address(offset + index),
        status: Status::Live,
    }
}

impl Fleet {
    /// Creates the platform's list; no VM runs yet.
    fn new(vms: usize) -> Self {
        let targets = vms * TARGETS_PER_VM;
        let pool = || Role::Target { pool: "chat".parse().expect("the name is a valid id") };
        let entries = (0..vms).map(|index| list_entry("vm", Role::Entry, index, 0));
        let engines = (0..targets).map(|index| list_entry("engine", pool(), index, vms));
        Self {
            now: Moment(10_000_000),
            nodes: Vec::new(),
            by_vm: BTreeMap::new(),
            vm_list: entries.chain(engines).collect(),
            targets,
            polls: 0,
            lists: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(20_261_204),
        }
    }

    /// Starts all VMs. Each one gets the first three as seeds, without itself.
    fn start(&mut self) {
        let entries: Vec<_> =
            self.vm_list.iter().filter(|listed| listed.role == Role::Entry).collect();
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
            self.nodes.push(Node { vm, state, bytes_sent: 0, processing_time: Duration::ZERO });
        }
    }

    /// Sets all counters to zero after the warm-up.
    fn reset_counters(&mut self) {
        (self.polls, self.lists) = (0, 0);
        for node in &mut self.nodes {
            (node.bytes_sent, node.processing_time) = (0, Duration::ZERO);
        }
    }

    /// Advances virtual time by a duration.
    fn run(&mut self, duration: Span) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            while let Some(entry) = self.queue.first_entry().filter(|due| due.key().0 <= self.now) {
                let (index, arrival) = entry.remove();
                self.handle_arrival(index, arrival);
            }
            for index in 0..self.nodes.len() {
                self.apply(index, Kind::Tick);
            }
        }
    }

    fn handle_arrival(&mut self, index: usize, arrival: Arrival) {
        let started_at = Instant::now();
        let kind = match arrival {
            Arrival::Frame { from, frame } => {
                let message =
                    Frame::decode(frame.as_bytes()).expect("the frame was encoded by this bench");
                Kind::Peer { from, message }
            }
            Arrival::Event(kind) => kind,
        };
        self.nodes[index].processing_time += started_at.elapsed();
        self.apply(index, kind);
    }

    fn apply(&mut self, index: usize, kind: Kind) {
        let entropy = self.rng.u64(..);
        let event = Event { at: self.now, wall: WallTime(0), entropy, kind };
        let started_at = Instant::now();
        let effects = self.nodes[index].state.apply(event);
        self.nodes[index].processing_time += started_at.elapsed();
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => {
                let node = &mut self.nodes[index];
                let started_at = Instant::now();
                let frame = Frame::encode(&message).expect("the message fits a frame");
                node.processing_time += started_at.elapsed();
                node.bytes_sent += (frame.as_bytes().len() + FRAME_OVERHEAD) as u64;
                let from = node.vm.clone();
                let delay = Span(1_000 + self.rng.u64(..2_000));
                self.schedule(self.by_vm[&to], delay, Arrival::Frame { from, frame });
            }
            Effect::ReadVmList => {
                self.lists += 1;
                let vm_list = Kind::VmList(Ok(self.vm_list.clone()));
                self.schedule(index, Span::from_millis(5), Arrival::Event(vm_list));
            }
            Effect::Poll { target, .. } => {
                self.polls += 1;
                let report = LoadReport {
                    start: StartNumber(1_700_000_000_000_000),
                    models: vec!["linen-8b".parse().expect("the name is a valid id")],
                    running: self.rng.u32(..32),
                    ..LoadReport::default()
                };
                let kind = Kind::TargetReport { target, result: Ok(report) };
                self.schedule(index, Span::from_millis(2), Arrival::Event(kind));
            }
            _ => {}
        }
    }

    /// Schedules an arrival at a VM after a delay.
    fn schedule(&mut self, index: usize, delay: Span, arrival: Arrival) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, arrival));
    }
}

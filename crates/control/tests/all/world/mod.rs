//! A simulation of several VMs: real reducers, a fake store, fake targets and
//! virtual time.
//!
//! The fakes carry out the reducers' effects. They inject the faults of
//! [`Faults`], at random from a seed. Targets log the attempts that they ran,
//! and the tests compare the responses to callers with this log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_control::request::{Arrival, Outcome, Refusal};
use briarshift_control::{Effect, Event, Identity, Kind, State, Ticket, request};
use briarshift_store::{Error, Expect, ListedVm, Operation, Reply, Role, Status, Version};
use briarshift_target::{Attempt, Failure, LoadReport};
use briarshift_units::{Digest, Moment, RequestId, Span, StartNumber, TargetId, WallTime};

mod input;
mod store;
mod target;

pub use input::{Document, booking, chat, desk, digest};
use store::Store;

/// Probabilities of faults, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The reply to a store call is lost.
    pub lost_replies: u64,
    /// The reply to a store call is delayed by up to 5 s.
    pub slow_replies: u64,
    /// A store call takes effect up to 20 s later, without a reply.
    pub late_writes: u64,
    /// A target refuses a request and doesn't run it.
    pub refusals: u64,
    /// A target runs a request and drops the connection, or exceeds the
    /// timeout.
    pub broken_runs: u64,
}

/// The response that a caller received.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The body of the target's response.
    Completed(Vec<u8>),
    /// The body of the stored response of an earlier request.
    Replayed(Vec<u8>),
    /// The request was refused.
    Refused(Refusal),
}

/// An entry in the targets' log: an attempt that a target ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: Attempt,
}

/// An entry VM. `epoch` counts its processes.
struct Vm {
    state: Option<State>,
    epoch: u64,
    frozen_until: u64,
}

/// A fake target, with the VM, epoch and id of each attempt that runs on it.
struct Target {
    id: TargetId,
    pool: &'static str,
    start: u64,
    up: bool,
    running: Vec<(usize, u64, Attempt)>,
}

/// An action that is scheduled for a time.
type Step = Box<dyn FnOnce(&mut World)>;

/// The simulation, with its virtual time in microseconds.
pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub responses: BTreeMap<RequestId, Response>,
    pub runs: Vec<Run>,
    /// Number of attempts that workers were told to send.
    pub sends: usize,
    /// Targets that crashed, in order.
    pub crashes: Vec<TargetId>,
    /// The digest of the body that crashes each target that runs it.
    pub poison_body: Option<Digest>,
    /// Targets that refuse all requests.
    pub refusing_targets: Vec<TargetId>,
    /// If set, the next chat's stream is cut after the event with this id. The
    /// flag says whether any of the stream was relayed to the caller.
    pub stream_cut: Option<(u64, bool)>,
    /// Whether workers drop all their reports to the reducer.
    pub workers_silent: bool,
    /// Attempts that the reducers cancelled, in order.
    pub cancelled: Vec<Attempt>,
    /// Interval of each VM's ticks.
    pub tick: Span,
    /// Maximum one-way delay of messages between VMs.
    pub delay: Span,
    arrivals: BTreeMap<RequestId, Arrival>,
    vms: Vec<Vm>,
    targets: Vec<Target>,
    store: Store,
    seed: u64,
    queue: BTreeMap<(u64, u64), Step>,
    steps: u64,
}

/// Returns the response body of an attempt.
pub fn response_body(id: Attempt) -> Vec<u8> {
    format!("ran {id}").into_bytes()
}

const MILLI: u64 = 1_000;
const FIRST_PORT: u16 = 9_000;

/// Returns the index of the target that listens at `address`.
fn target_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl World {
    /// Creates a simulation with the default document and the given faults.
    pub fn new(vms: usize, runners: usize, engines: usize, seed: u64, faults: Faults) -> Self {
        let mut world = Self::with_document(vms, runners, engines, seed, Document::default());
        world.faults = faults;
        world
    }

    /// Creates a simulation without faults, and runs it for 2 s.
    pub fn with_document(
        vms: usize,
        runners: usize,
        engines: usize,
        seed: u64,
        document: Document,
    ) -> Self {
        let pools = [("desk", runners), ("chat", engines)];
        let targets = pools.into_iter().flat_map(|(pool, count)| {
            (0..count).map(move |n| Target {
                id: format!("{pool}-{n}").parse().unwrap(),
                pool,
                start: 1,
                up: true,
                running: Vec::new(),
            })
        });
        let mut world = Self {
            now: 0,
            faults: Faults::default(),
            responses: BTreeMap::new(),
            runs: Vec::new(),
            sends: 0,
            crashes: Vec::new(),
            poison_body: None,
            refusing_targets: Vec::new(),
            stream_cut: None,
            workers_silent: false,
            cancelled: Vec::new(),
            tick: Span::from_millis(50),
            delay: Span::from_millis(2),
            arrivals: BTreeMap::new(),
            vms: Vec::new(),
            targets: targets.collect(),
            store: Store::default(),
            seed,
            queue: BTreeMap::new(),
            steps: 0,
        };
        let value = document.text();
        let key = briarshift_control::document::key("test");
        let put = Operation::Put { key, value, expect: Expect::Any, lease: None };
        world.store.execute(0, put).unwrap();
        for vm in 0..vms {
            world.vms.push(Vm { state: None, epoch: 0, frozen_until: 0 });
            world.start(vm);
        }
        world.run(2_000);
        world
    }

    /// Starts a VM, or replaces its process by a new one.
    pub fn start(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.epoch += 1;
        entry.frozen_until = 0;
        entry.state = Some(State::new(Identity {
            vm: format!("vm-{vm}").parse().unwrap(),
            start: StartNumber(entry.epoch),
            data_centre: "dc".parse().unwrap(),
            address: vm_address(vm),
            environment: "test".into(),
            token_key: [7; 32],
        }));
        let epoch = entry.epoch;
        self.tick(vm, epoch);
    }

    /// Kills a VM's process.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].state = None;
    }

    /// Freezes a VM's process for `span`; its events are delivered afterwards.
    pub fn freeze(&mut self, vm: usize, span: Span) {
        self.vms[vm].frozen_until = self.now + span.0;
    }

    /// Makes the store unavailable for `span`.
    pub fn store_outage(&mut self, span: Span) {
        self.store.down_until = self.now + span.0;
    }

    /// Returns the number of rows of bookings in the store.
    pub fn booking_rows(&self) -> usize {
        self.store.rows.keys().filter(|key| key.starts_with("bookings/")).count()
    }

    /// Advances virtual time by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis * MILLI;
        while let Some(entry) = self.queue.first_entry() {
            if until < entry.key().0 {
                break;
            }
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            step(self);
        }
        self.now = until;
    }

    /// Advances virtual time until the condition holds, by at most 10 s. Panics
    /// if it doesn't hold by then.
    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        const STEPS: usize = 10_000;
        for _ in 0..STEPS {
            if condition(self) {
                return;
            }
            self.run(1);
        }
        panic!("the condition did not hold within 10 s");
    }

    /// Schedules a step.
    pub fn after(&mut self, micros: u64, step: impl FnOnce(&mut Self) + 'static) {
        self.steps += 1;
        self.queue.insert((self.now + micros, self.steps), Box::new(step));
    }

    /// Returns a pseudo-random number below `n`.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.seed >> 33) % n
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    /// Sends a request to a VM; it is lost if the VM doesn't run.
    pub fn send(&mut self, vm: usize, arrival: Arrival) {
        self.arrivals.insert(arrival.request, arrival.clone());
        let epoch = self.vms[vm].epoch;
        self.deliver(vm, epoch, Kind::Request(request::Event::Arrived(arrival)));
    }

    /// Has the caller of a request close its connection.
    pub fn disconnect(&mut self, vm: usize, request: RequestId) {
        let epoch = self.vms[vm].epoch;
        self.deliver(vm, epoch, Kind::Request(request::Event::CallerLeft(request)));
    }

    fn tick(&mut self, vm: usize, epoch: u64) {
        if self.is_running(vm, epoch) {
            self.deliver(vm, epoch, Kind::Tick);
            self.after(self.tick.0, move |world| world.tick(vm, epoch));
        }
    }

    fn is_running(&self, vm: usize, epoch: u64) -> bool {
        self.vms[vm].epoch == epoch && self.vms[vm].state.is_some()
    }

    /// Runs a step once the VM's process is not frozen; drops it if the process
    /// has been killed or replaced.
    fn when_running(&mut self, vm: usize, epoch: u64, step: impl FnOnce(&mut Self) + 'static) {
        if !self.is_running(vm, epoch) {
            return;
        }
        let frozen_until = self.vms[vm].frozen_until;
        if self.now < frozen_until {
            self.after(frozen_until - self.now, move |world| world.when_running(vm, epoch, step));
        } else {
            step(self);
        }
    }

    fn deliver(&mut self, vm: usize, epoch: u64, kind: Kind) {
        self.when_running(vm, epoch, move |world| {
            let entropy = world.random_below(u64::MAX >> 33);
            let at = Moment(world.now);
            let event = Event { at, wall: WallTime(world.now / MILLI), entropy, kind };
            let effects = world.vms[vm].state.as_mut().unwrap().apply(event);
            for effect in effects {
                world.execute_effect(vm, epoch, effect);
            }
        });
    }

    fn execute_effect(&mut self, vm: usize, epoch: u64, effect: Effect) {
        match effect {
            Effect::Decide { request, decision } => self.decide(vm, epoch, request, decision),
            Effect::Send { to, message, .. } => {
                let from = format!("vm-{vm}").parse().unwrap();
                let to: usize = to.as_str()[3..].parse().unwrap();
                let delay = self.random_below(self.delay.0) + 1;
                self.after(delay, move |world| {
                    let epoch = world.vms[to].epoch;
                    world.deliver(to, epoch, Kind::Peer { from, message });
                });
            }
            Effect::Store { ticket, operation } => self.call(vm, epoch, ticket, operation),
            Effect::ReadVmList => {
                let rows = self.listed();
                self.after(MILLI, move |world| world.deliver(vm, epoch, Kind::VmList(Ok(rows))));
            }
            Effect::Poll { target, .. } => {
                let index = self.target_index(&target);
                let row = &self.targets[index];
                let report = LoadReport {
                    start: StartNumber(row.start),
                    running: u32::try_from(row.running.len()).unwrap(),
                    ..LoadReport::default()
                };
                let result = if row.up { Ok(report) } else { Err(Failure::Timeout) };
                self.after(MILLI, move |world| {
                    world.deliver(vm, epoch, Kind::TargetReport { target, result });
                });
            }
            Effect::Cancel { address, id } => {
                self.cancelled.push(id);
                self.targets[target_at(address)].running.retain(|run| run.2 != id);
            }
            _ => {}
        }
    }

    /// Returns the number of requests in flight by a VM's own count.
    pub fn in_flight(&self, vm: usize) -> usize {
        self.vms[vm].state.as_ref().map_or(0, |state| state.counts().in_flight)
    }

    fn listed(&self) -> Vec<ListedVm> {
        let row = |vm: String, role, address| ListedVm {
            vm: vm.parse().unwrap(),
            role,
            data_centre: "dc".parse().unwrap(),
            address,
            status: Status::Live,
        };
        let vms =
            (0..self.vms.len()).map(|vm| row(format!("vm-{vm}"), Role::Entry, vm_address(vm)));
        let targets = self.targets.iter().enumerate().map(|(index, target)| {
            let role = Role::Target { pool: target.pool.parse().unwrap() };
            let port = FIRST_PORT + u16::try_from(index).unwrap();
            row(target.id.to_string(), role, SocketAddr::from(([127, 0, 0, 1], port)))
        });
        vms.chain(targets).collect()
    }

    fn target_index(&self, target: &TargetId) -> usize {
        self.targets.iter().position(|row| &row.id == target).unwrap()
    }

    /// Carries out a store operation, with the faults of the store.
    fn call(&mut self, vm: usize, epoch: u64, ticket: Ticket, operation: Operation) {
        let answer = move |world: &mut Self, ticket, result| {
            world.deliver(vm, epoch, Kind::Store { ticket, result });
        };
        if let Operation::Watch { key, after, wait } = operation {
            return self.watch(vm, epoch, ticket, key.to_string(), after, self.now + wait.0);
        }
        let delay = MILLI + self.random_below(3 * MILLI);
        if self.now < self.store.down_until {
            // During an outage some calls are refused, others never answered.
            if self.chance(50) {
                let refused = Err(Error::Refused("down".into()));
                self.after(delay, move |world| answer(world, ticket, refused));
            }
            return;
        }
        if self.chance(self.faults.late_writes) {
            let late = self.random_below(20_000) * MILLI;
            self.after(late, move |world| {
                let _ = world.store.execute(world.now, operation);
            });
            return;
        }
        let lost = self.chance(self.faults.lost_replies);
        let error_reported = self.chance(50);
        let slow = self.chance(self.faults.slow_replies);
        let answer_delay = if slow { self.random_below(5_000) * MILLI } else { MILLI };
        self.after(delay, move |world| {
            let result = world.store.execute(world.now, operation);
            if !lost {
                world.after(answer_delay, move |world| answer(world, ticket, result));
            } else if error_reported {
                let unknown = Err(Error::Unknown("reset".into()));
                world.after(MILLI, move |world| answer(world, ticket, unknown));
            }
        });
    }

    /// Replies to a watch once the key changes or the watch ends; checks every
    /// 10 ms.
    fn watch(
        &mut self,
        vm: usize,
        epoch: u64,
        ticket: Ticket,
        key: String,
        after: Version,
        end: u64,
    ) {
        let entry = self.store.rows.get(&key).map(|(entry, _)| entry.clone());
        let changed = entry.filter(|entry| after < entry.version);
        if changed.is_some() || end <= self.now {
            let result = Ok(Reply::Value(changed));
            return self.after(MILLI, move |world| {
                world.deliver(vm, epoch, Kind::Store { ticket, result });
            });
        }
        self.after(10 * MILLI, move |world| world.watch(vm, epoch, ticket, key, after, end));
    }

    /// Returns an error if a request ran although its caller received a refusal
    /// that says it did not run.
    pub fn verify_not_run(&self) -> Result<(), String> {
        for (request, response) in &self.responses {
            let Response::Refused(refusal) = response else { continue };
            let ran = self.runs.iter().any(|run| run.id.request == *request);
            if refusal.outcome == Outcome::NotRun && ran {
                return Err(format!("{request} was told not-run ({}), and ran", refusal.reason));
            }
        }
        Ok(())
    }
}

fn vm_address(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_000 + u16::try_from(vm).unwrap()))
}

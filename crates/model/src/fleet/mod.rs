//! Simulates the gateways, targets, callers and store of a fleet, and the network
//! between them.

mod caller;
mod disturbance;
mod job;
mod vm;

use std::collections::HashMap;
use std::net::SocketAddr;

use briarshift_gateway::{Kind, State};
use briarshift_routing::cache::Prefix;
use briarshift_store::Era;
use briarshift_store::registry::{Answer, Call, Name, Status};
use briarshift_units::{Moment, Span};
use fastrand::Rng;

use self::caller::Caller;
use self::disturbance::pool;
use self::job::Job;
use crate::engine::Step;
use crate::results::{Outcome, Results};
use crate::scenario::{Episode, Scenario};
use crate::scheduler::Scheduler;
use crate::store::Store;
use crate::target::{Spec, Target};

/// One-way network delay between any two machines.
const NETWORK_DELAY: Span = Span::from_millis(1);
/// Interval of the ticks that gateways receive.
const TICK_INTERVAL: Span = Span::from_millis(25);
/// Time before the load starts, in which the gateways discover each other.
const WARM_UP: Span = Span::from_secs(8);
/// Time after the load ends, in which the last requests end.
const COOL_DOWN: Span = Span::from_secs(8);

/// An event of the simulation. Callers, gateways, targets, workloads and episodes
/// are identified by index, jobs by number.
enum Action {
    /// A gateway receives a tick.
    Tick(usize),
    /// A request of a workload arrives, and the next arrival is scheduled.
    Arrival(usize),
    /// A caller retries its request.
    Retry(usize),
    /// The deadline of a caller's attempt passes.
    Deadline(usize, u32),
    /// A gateway receives an event.
    Deliver(usize, Kind),
    /// The store executes a call that a gateway sent at this time.
    StoreCall(usize, Call, Moment),
    /// A job reaches its target.
    Receive(u64),
    /// An engine begins a step.
    StepEngine(usize),
    /// An engine ends a step.
    EndStep(usize, Step),
    /// A desk runner finishes a job.
    FinishJob(usize, u64),
    /// An episode starts.
    StartEpisode(usize),
    /// An episode ends.
    EndEpisode(usize),
    /// The next engine of a release is replaced. Holds the number of engines left
    /// to replace and the interval between them.
    ReplaceEngine(usize, Span),
    /// A target that was told to leave stops.
    RemoveTarget(usize),
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler<Action>,
    rng: Rng,
    vms: Vec<State>,
    /// Indices of the gateways by their address.
    addresses: HashMap<SocketAddr, usize>,
    targets: Vec<Target>,
    store: Store,
    callers: Vec<Caller>,
    /// Jobs under way, by number.
    jobs: HashMap<u64, Job>,
    /// Number of the last job.
    last_job: u64,
    /// When each shared part was last read.
    last_read: HashMap<Prefix, Moment>,
    /// Targets that each episode crashed and that have not restarted yet.
    crashed: Vec<Vec<usize>>,
    /// Targets that each episode slows.
    slowed: Vec<Vec<usize>>,
    results: Results,
}

/// Simulates a scenario with the random numbers of a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Results {
    let mut fleet = Fleet::new(scenario, seed);
    let end = WARM_UP + scenario.duration + COOL_DOWN;
    while let Some(action) = fleet.scheduler.next() {
        if Moment::default() + end < fleet.scheduler.now() {
            break;
        }
        fleet.apply(action);
    }
    fleet.finish()
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut fleet = Self {
            scenario,
            scheduler: Scheduler::new(),
            rng: Rng::with_seed(seed),
            vms: Vec::new(),
            addresses: HashMap::new(),
            targets: Vec::new(),
            store: Store::new(vm::catalog(scenario)),
            callers: Vec::new(),
            jobs: HashMap::new(),
            last_job: 0,
            last_read: HashMap::new(),
            crashed: vec![Vec::new(); scenario.episodes.len()],
            slowed: vec![Vec::new(); scenario.episodes.len()],
            results: Results::default(),
        };
        for _ in 0..scenario.engines.0 {
            fleet.add_target(true);
        }
        for _ in 0..scenario.runners.0 {
            fleet.add_target(false);
        }
        for vm in 0..scenario.vms {
            let me = vm::identity(vm, scenario, &mut fleet.rng);
            fleet.addresses.insert(me.address, vm);
            fleet.vms.push(State::new(me));
            let delay = Span(fleet.rng.u64(..TICK_INTERVAL.0));
            fleet.scheduler.schedule(delay, Action::Tick(vm));
        }
        for workload in 0..scenario.workloads.len() {
            fleet.scheduler.schedule(WARM_UP, Action::Arrival(workload));
        }
        for (episode, Episode { start, duration, .. }) in scenario.episodes.iter().enumerate() {
            fleet.scheduler.schedule(WARM_UP + *start, Action::StartEpisode(episode));
            fleet.scheduler.schedule(WARM_UP + *start + *duration, Action::EndEpisode(episode));
        }
        fleet
    }

    /// Adds a target and registers it in the store.
    fn add_target(&mut self, is_engine: bool) {
        let Scenario { engines, runners, speeds, .. } = self.scenario;
        let pool = pool(is_engine);
        let place = self.targets.iter().filter(|target| target.pool == pool).count();
        let by_turns = |speeds: &[f64]| speeds[place % speeds.len()];
        let (spec, lasting) = match is_engine {
            true => {
                let lasting = by_turns(speeds.engines);
                (Spec::Engine(engines.1.slowed(lasting)), lasting)
            }
            false => (Spec::Runner(runners.1), by_turns(speeds.runners)),
        };
        let target = Target::new(self.targets.len(), &pool, spec, lasting);
        self.store.put(Name::Target(target.id.clone()), Some(target.row(Status::Ready)));
        self.targets.push(target);
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Tick(vm) => {
                self.scheduler.schedule(TICK_INTERVAL, Action::Tick(vm));
                self.deliver(vm, Kind::Tick);
            }
            Action::Arrival(workload) => self.arrive(workload),
            Action::Retry(caller) => self.send_request(caller),
            Action::Deadline(caller, attempts) => self.expire(caller, attempts),
            Action::Deliver(vm, kind) => self.deliver(vm, kind),
            Action::StoreCall(vm, call, sent) => {
                let answer = Answer { era: Some(Era(0)), result: self.store.answer(&call) };
                self.deliver(vm, Kind::Store { call, sent, answer });
            }
            Action::Receive(job) => self.receive(job),
            Action::StepEngine(target) => self.step_engine(target),
            Action::EndStep(target, step) => self.end_step(target, &step),
            Action::FinishJob(target, job) => self.finish_job(target, job),
            Action::StartEpisode(episode) => self.start_episode(episode),
            Action::EndEpisode(episode) => self.end_episode(episode),
            Action::ReplaceEngine(left, interval) => self.replace_engine(left, interval),
            Action::RemoveTarget(target) => self.remove_target(target),
        }
    }

    /// Ends all requests that are still under way and returns the results.
    fn finish(mut self) -> Results {
        for caller in 0..self.callers.len() {
            self.complete(caller, Outcome::Failed);
        }
        self.results.store_calls = self.store.calls;
        self.results
    }
}

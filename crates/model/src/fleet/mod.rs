//! Gateways, targets, callers, the store and the network between them.

mod caller;
mod job;
mod trouble;
mod vm;

use std::collections::HashMap;
use std::net::SocketAddr;

use briarshift_gateway::{Kind, State};
use briarshift_routing::cache::Prefix;
use briarshift_store::registry::{Call, Name, Status};
use briarshift_units::{Moment, Span};
use fastrand::Rng;

use self::caller::Caller;
use self::job::Job;
use self::trouble::pool;
use crate::clock::Clock;
use crate::engine::Step;
use crate::results::{Outcome, Results};
use crate::scenario::{Episode, Scenario};
use crate::store::Store;
use crate::target::{Spec, Target};

/// One way between any two machines.
const WAY: Span = Span::from_millis(1);
/// How often gateways are told that time passed.
const TICK: Span = Span::from_millis(25);
/// The load begins when the gateways know each other.
const LEAD: Span = Span::from_secs(8);
/// Time after the load in which the last requests end.
const REST: Span = Span::from_secs(8);

/// What happens.
enum What {
    Tick(usize),
    /// A caller's next request of a kind, and that one's successor.
    Arrival(usize),
    /// A caller comes, or comes back.
    Try(usize),
    /// A caller waits no longer.
    Deadline(usize, u32),
    Vm(usize, Kind),
    Call(usize, Call, Moment),
    /// A send reaches its target.
    Send(u64),
    Step(usize),
    Stepped(usize, Step),
    /// A plain service has done a job.
    Done(usize, u64),
    Begin(usize),
    End(usize),
    /// The next engine of a release leaves; how many follow.
    Replace(usize, Span),
    Gone(usize),
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    clock: Clock<What>,
    rng: Rng,
    vms: Vec<State>,
    addresses: HashMap<SocketAddr, usize>,
    targets: Vec<Target>,
    store: Store,
    callers: Vec<Caller>,
    jobs: HashMap<u64, Job>,
    sent: u64,
    /// When shared parts were read last.
    seen: HashMap<Prefix, Moment>,
    down: Vec<Vec<usize>>,
    tally: Results,
}

/// Plays a scenario with the luck of a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Results {
    let mut fleet = Fleet::new(scenario, seed);
    let end = LEAD + scenario.duration + REST;
    while let Some(what) = fleet.clock.next() {
        if Moment::default() + end < fleet.clock.now() {
            break;
        }
        fleet.apply(what);
    }
    fleet.close()
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut fleet = Self {
            scenario,
            clock: Clock::new(),
            rng: Rng::with_seed(seed),
            vms: Vec::new(),
            addresses: HashMap::new(),
            targets: Vec::new(),
            store: Store::new(vm::catalog(scenario)),
            callers: Vec::new(),
            jobs: HashMap::new(),
            sent: 0,
            seen: HashMap::new(),
            down: vec![Vec::new(); scenario.episodes.len()],
            tally: Results::default(),
        };
        for _ in 0..scenario.engines.0 {
            fleet.join(true);
        }
        for _ in 0..scenario.desks.0 {
            fleet.join(false);
        }
        for vm in 0..scenario.vms {
            let me = vm::identity(vm, &mut fleet.rng);
            fleet.addresses.insert(me.address, vm);
            fleet.vms.push(State::new(me));
            let wait = Span(fleet.rng.u64(..TICK.0));
            fleet.clock.after(wait, What::Tick(vm));
        }
        for load in 0..scenario.workloads.len() {
            fleet.clock.after(LEAD, What::Arrival(load));
        }
        for (spell, Episode { start: from, duration: length, .. }) in
            scenario.episodes.iter().enumerate()
        {
            fleet.clock.after(LEAD + *from, What::Begin(spell));
            fleet.clock.after(LEAD + *from + *length, What::End(spell));
        }
        fleet
    }

    /// A new target registers itself.
    fn join(&mut self, is_engine: bool) {
        let spec = match is_engine {
            true => Spec::Engine(self.scenario.engines.1),
            false => Spec::Desk(self.scenario.desks.1),
        };
        let target = Target::new(self.targets.len(), &pool(is_engine), spec);
        self.store.put(Name::Target(target.id.clone()), Some(target.row(Status::Ready)));
        self.targets.push(target);
    }

    fn apply(&mut self, what: What) {
        match what {
            What::Tick(vm) => {
                self.clock.after(TICK, What::Tick(vm));
                self.tell(vm, Kind::Tick);
            }
            What::Arrival(load) => self.arrival(load),
            What::Try(caller) => self.attempt(caller),
            What::Deadline(caller, tries) => self.deadline(caller, tries),
            What::Vm(vm, kind) => self.tell(vm, kind),
            What::Call(vm, call, sent) => {
                let result = self.store.answer(&call);
                self.tell(vm, Kind::Store { call, sent, result });
            }
            What::Send(job) => self.reach(job),
            What::Step(target) => self.step(target),
            What::Stepped(target, step) => self.stepped(target, &step),
            What::Done(target, job) => self.done(target, job),
            What::Begin(spell) => self.begin(spell),
            What::End(spell) => self.end(spell),
            What::Replace(left, pause) => self.replace(left, pause),
            What::Gone(target) => self.gone(target),
        }
    }

    fn close(mut self) -> Results {
        for caller in 0..self.callers.len() {
            self.over(caller, Outcome::Failed);
        }
        self.tally.store_calls = self.store.calls;
        self.tally
    }
}

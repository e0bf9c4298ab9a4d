//! A simulation of order holders, a store and engines, with faults and virtual
//! time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_control::order::{State, View};
use briarshift_control::{Context, Effect, Identity, Kind, Output, Record, member, target, usage};
use briarshift_settings::{Document, Engine as EngineSettings, Orders, Pool};
use briarshift_standin::store::MemoryStore;
use briarshift_store::{Error, LeaseId, ListedVm, Operation, Role, Status};
use briarshift_target::{Failure, LoadReport, Order, Outcome};
use briarshift_units::{
    FencingToken, ModelId, Moment, PoolId, Span, StartNumber, TargetId, WallTime,
};

use super::model;

/// Time of one step.
pub const STEP: Span = Span::from_secs(1);
/// Number of models that an engine can hold.
pub const MODELS_PER_ENGINE: u32 = 2;
/// Maximum number of engines that load at the same time.
pub const MAX_CONCURRENT_LOADS: u32 = 2;
/// Time for which a model loads.
const LOAD_TIME: Span = Span::from_secs(20);

/// An event of the simulation.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Some steps pass.
    Run(u64),
    /// A VM is paused for some steps.
    Pause(usize, u64),
    /// The store refuses all operations for some steps.
    Outage(u64),
    /// The next replies of the store are lost, although it carries out the
    /// operations.
    LoseReplies(u32),
    /// Orders arrive this many steps late, until the next such fault.
    DelayOrders(u64),
    /// The next orders are lost.
    LoseOrders(u32),
    /// Callers send requests for a model.
    Demand(usize, u32),
}

struct Vm {
    me: Identity,
    state: State,
    targets: target::State,
    paused_until: Moment,
    inbox: Vec<Kind>,
}

/// A fake engine that carries out orders. Each model loads for [`LOAD_TIME`].
pub struct Engine {
    id: TargetId,
    checks_fencing: bool,
    pub models: Vec<ModelId>,
    loading: Vec<(Moment, ModelId)>,
    newest: FencingToken,
    /// The fencing tokens of the orders that the engine accepted, in order.
    pub accepted: Vec<FencingToken>,
}

impl Engine {
    fn execute(&mut self, now: Moment, order: &Order) -> Outcome {
        if self.checks_fencing && order.fencing < self.newest {
            return Outcome::Stale { newest: self.newest };
        }
        self.newest = self.newest.max(order.fencing);
        self.accepted.push(order.fencing);
        self.models.retain(|model| order.models.contains(model));
        self.loading.retain(|(_, model)| order.models.contains(model));
        for model in &order.models {
            let known = self.loading.iter().any(|(_, loading)| loading == model);
            if !known && !self.models.contains(model) {
                self.loading.push((now + LOAD_TIME, model.clone()));
            }
        }
        Outcome::Accepted
    }

    fn step(&mut self, now: Moment) {
        let (ready, loading) = self.loading.drain(..).partition(|(at, _)| *at <= now);
        self.loading = loading;
        self.models.extend(ready.into_iter().map(|(_, model): (Moment, ModelId)| model));
    }

    fn report(&self) -> LoadReport {
        let fencing = Some(self.newest).filter(|_| self.checks_fencing);
        LoadReport {
            start: StartNumber(1),
            models: self.models.clone(),
            fencing,
            ..LoadReport::default()
        }
    }
}

struct InTransit {
    arrives: Moment,
    vm: usize,
    target: TargetId,
    order: Order,
}

pub struct Fleet {
    pub now: Moment,
    pub pool: PoolId,
    pub engines: Vec<Engine>,
    pub log: Vec<Record>,
    /// Number of orders that were sent.
    pub orders: usize,
    /// Maximum number of engines that loaded at the same time.
    pub max_loading: usize,
    vms: Vec<Vm>,
    members: member::State,
    memory: MemoryStore,
    document: Document,
    in_transit: Vec<InTransit>,
    outage_until: Moment,
    lost_replies: u32,
    lost_orders: u32,
    order_delay: Span,
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

impl Fleet {
    /// Creates a fleet of `vms` VMs. All engines hold the first of three
    /// models; every other engine checks fencing tokens.
    pub fn new(vms: usize, engines: usize) -> Self {
        let pool: PoolId = "p".parse().unwrap();
        let settings = EngineSettings { load_factor: 1.5, place_wait_ms: 0, overnight_share: 0.5 };
        let row = Pool::engines(pool.clone(), "o".parse().unwrap(), settings).orders(Orders {
            models_per_engine: MODELS_PER_ENGINE,
            loads_at_once: MAX_CONCURRENT_LOADS,
        });
        let mut document = Document::builder().pool(row.build());
        for name in ["a", "b", "c"] {
            document = document.model(model(name), pool.clone());
        }
        let engines: Vec<_> = (0..engines).map(engine).collect();
        let rows: Vec<_> = engines.iter().map(|engine| listed(engine, &pool)).collect();
        Self {
            now: Moment(0),
            engines,
            log: Vec::new(),
            orders: 0,
            max_loading: 0,
            vms: (0..vms).map(|number| vm(number, &rows)).collect(),
            members: member::State::default(),
            memory: MemoryStore::default(),
            document: document.build(),
            pool,
            in_transit: Vec::new(),
            outage_until: Moment(0),
            lost_replies: 0,
            lost_orders: 0,
            order_delay: Span::ZERO,
        }
    }

    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Run(steps) => self.run(*steps),
            Fault::Pause(vm, steps) => {
                let count = self.vms.len();
                self.vms[vm % count].paused_until = self.now + Span(STEP.0 * steps);
            }
            Fault::Outage(steps) => self.outage_until = self.now + Span(STEP.0 * steps),
            Fault::LoseReplies(count) => self.lost_replies = *count,
            Fault::DelayOrders(steps) => self.order_delay = Span(STEP.0 * steps),
            Fault::LoseOrders(count) => self.lost_orders = *count,
            Fault::Demand(number, count) => {
                let name = ["a", "b", "c"][number % 3];
                for _ in 0..*count {
                    self.demand(name);
                }
            }
        }
    }

    fn demand(&mut self, name: &str) {
        let sample = usage::Sample {
            owner: "o".parse().unwrap(),
            account: "x".parse().unwrap(),
            pool: self.pool.clone(),
            model: Some(name.into()),
            tokens: Default::default(),
            queued: Span::ZERO,
            booked: false,
            refused: false,
            returning: Default::default(),
        };
        for vm in &mut self.vms {
            let ctx = Context { at: self.now, wall: WallTime(0), entropy: 0, me: &vm.me };
            vm.state.record_demand(&ctx, &sample);
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.outage_until = self.now;
        self.lost_replies = 0;
        self.lost_orders = 0;
        self.order_delay = Span::ZERO;
        for vm in &mut self.vms {
            vm.paused_until = self.now;
        }
    }

    /// Returns the VMs that hold the pool's lock by their own clock.
    pub fn holders(&self) -> Vec<usize> {
        let holds = |vm: &Vm| vm.state.fencing_token(self.now, &self.pool).is_some();
        (0..self.vms.len()).filter(|number| holds(&self.vms[*number])).collect()
    }

    /// Returns the models that a holder wants on each engine.
    pub fn desired_models(&self, vm: usize) -> BTreeMap<TargetId, Vec<ModelId>> {
        let state = &self.vms[vm].state;
        let ids = self.engines.iter().map(|engine| engine.id.clone());
        ids.filter_map(|id| Some((id.clone(), state.desired_models(&self.pool, &id)?.to_vec())))
            .collect()
    }

    /// Returns the models that each engine holds.
    pub fn held_models(&self) -> BTreeMap<TargetId, Vec<ModelId>> {
        let held = |engine: &Engine| (engine.id.clone(), engine.models.clone());
        self.engines.iter().map(held).collect()
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.deliver();
            for engine in &mut self.engines {
                engine.step(self.now);
            }
            let loading = self.engines.iter().filter(|engine| !engine.loading.is_empty());
            self.max_loading = self.max_loading.max(loading.count());
            for number in 0..self.vms.len() {
                if self.vms[number].paused_until <= self.now {
                    self.step(number);
                }
            }
        }
    }

    fn step(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let ctx = Context { at: self.now, wall: WallTime(0), entropy: 0, me: &vm.me };
        let mut out = Output::default();
        for kind in std::mem::take(&mut vm.inbox) {
            match kind {
                Kind::Store { result, .. } => {
                    vm.state.handle_store_reply(&ctx, &self.pool, &result, &mut out);
                }
                Kind::TargetReport { target, result } => {
                    vm.state.handle_report(&ctx, &target, &result);
                }
                Kind::OrderAnswered { target, result } => {
                    vm.state.handle_outcome(&ctx, &target, &result, &mut out);
                }
                kind => panic!("{kind:?}"),
            }
        }
        let view = View {
            targets: &vm.targets,
            members: &self.members,
            document: Some(&self.document),
            draining: false,
        };
        vm.state.tick(&ctx, view, &mut out);
        for effect in out.effects {
            self.execute_effect(number, effect);
        }
    }

    fn execute_effect(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Store { ticket, operation } => {
                let result = self.store(operation);
                self.vms[vm].inbox.push(Kind::Store { ticket, result });
            }
            Effect::Poll { target, .. } => {
                let engine = self.engines.iter().find(|engine| engine.id == target).unwrap();
                let result = Ok(engine.report());
                self.vms[vm].inbox.push(Kind::TargetReport { target, result });
            }
            Effect::Order { target, order, .. } => {
                self.orders += 1;
                self.check_lease(order.fencing);
                if 0 < self.lost_orders {
                    self.lost_orders -= 1;
                    let result = Err(Failure::Timeout);
                    self.vms[vm].inbox.push(Kind::OrderAnswered { target, result });
                    return;
                }
                let arrives = self.now + self.order_delay;
                self.in_transit.push(InTransit { arrives, vm, target, order });
            }
            Effect::Log(record) => self.log.push(record),
            effect => panic!("{effect:?}"),
        }
    }

    fn store(&mut self, operation: Operation) -> Result<briarshift_store::Reply, Error> {
        if self.now < self.outage_until {
            return Err(Error::Refused("outage".into()));
        }
        let result = self.memory.execute(self.now, operation);
        if 0 < self.lost_replies {
            self.lost_replies -= 1;
            return Err(Error::Unknown("lost".into()));
        }
        result
    }

    /// Panics unless the lease of an order is still valid in the store when the
    /// order is sent.
    fn check_lease(&self, fencing: FencingToken) {
        let renew = Operation::Renew { lease: LeaseId(fencing.0) };
        let renewed = self.memory.clone().execute(self.now, renew);
        assert!(renewed.is_ok(), "order under {fencing} left at {}: {renewed:?}", self.now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, _) =
            self.in_transit.drain(..).partition(|order| order.arrives <= now);
        self.in_transit = later;
        for InTransit { vm, target, order, .. } in due {
            let engine = self.engines.iter_mut().find(|engine| engine.id == target).unwrap();
            let result = Ok(engine.execute(now, &order));
            self.vms[vm].inbox.push(Kind::OrderAnswered { target, result });
        }
    }
}

fn engine(number: usize) -> Engine {
    Engine {
        id: format!("e{number}").parse().unwrap(),
        checks_fencing: number.is_multiple_of(2),
        models: vec![model("a")],
        loading: Vec::new(),
        newest: FencingToken(0),
        accepted: Vec::new(),
    }
}

fn listed(engine: &Engine, pool: &PoolId) -> ListedVm {
    ListedVm {
        vm: engine.id.as_str().parse().unwrap(),
        role: Role::Target { pool: pool.clone() },
        data_centre: "d".parse().unwrap(),
        address: address(),
        status: Status::Live,
    }
}

fn vm(number: usize, rows: &[ListedVm]) -> Vm {
    let me = Identity {
        vm: format!("v{number}").parse().unwrap(),
        start: StartNumber(1),
        data_centre: "d".parse().unwrap(),
        address: address(),
        environment: "test".into(),
        token_key: [0; 32],
    };
    let ctx = Context { at: Moment(0), wall: WallTime(0), entropy: 0, me: &me };
    let mut targets = target::State::default();
    targets.handle_list(&ctx, rows, &mut Output::default());
    Vm { me, state: State::default(), targets, paused_until: Moment(0), inbox: Vec::new() }
}

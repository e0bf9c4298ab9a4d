//! Orders to the engines of each pool whose lock this VM holds.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use briarshift_routing::rank;
use briarshift_settings::{Document, Kind, Pool};
use briarshift_store::{Error, Key, Reply};
use briarshift_target::{Failure, LoadReport, Order, Outcome};
use briarshift_units::{ChatKey, FencingToken, ModelId, Moment, PoolId, Span, TargetId};
use smol_str::{SmolStr, format_smolstr};

use super::demand::Demand;
use super::lock::{Change, Lock};
use super::plan::{self, Engine, ModelDemand, Move, Reason};
use crate::{Context, Effect, Output, Record, Ticket, member, target, usage};

/// Number of VMs, the first by rendezvous hash, that try to acquire a pool's
/// lock.
const MAX_CONTENDERS: usize = 3;
/// Time for which a new holder only reads reports. The last order of the
/// previous holder has ended by then.
const SETTLE_TIME: Span = Span::from_secs(5);
/// Time for which a new holder waits for engines that have not reported.
const REPORT_WAIT: Span = Span::from_secs(15);
/// Time between two reads of an engine's report.
const POLL_INTERVAL: Span = Span::from_secs(2);
/// Age from which a report is ignored.
const MAX_REPORT_AGE: Span = Span::from_secs(30);
/// Time between two orders to the same engine with the same content.
const RESEND_INTERVAL: Span = Span::from_secs(10);
/// Time for which the plan must propose the same move for demand before it is
/// made.
const MIN_PROPOSAL_TIME: Span = Span::from_secs(60);
/// The role in all orders; engines have no other.
const ROLE: &str = "serve";

/// The limits for orders to the engines of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Number of models that an engine can hold.
    pub models_per_engine: usize,
    /// Maximum number of engines that load a model at the same time.
    pub max_concurrent_loads: usize,
}

/// The state of other components that orders depend on.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// All known targets.
    pub targets: &'a target::State,
    /// All known entry VMs.
    pub members: &'a member::State,
    /// The document in force, if there is one.
    pub document: Option<&'a Document>,
    /// Whether this VM is shutting down.
    pub draining: bool,
}

/// Returns the store key whose holder sends orders to a pool's engines.
///
/// # Examples
///
/// ```
/// use briarshift_control::order::key;
/// assert_eq!(key(&"rota".parse().unwrap()).to_string(), "orders/rota");
/// ```
pub fn key(pool: &PoolId) -> Key {
    Key::from(format!("orders/{pool}"))
}

/// What the holder of a pool's lock knows of one engine.
#[derive(Debug, Default)]
struct EngineState {
    report: Option<LoadReport>,
    reported_at: Moment,
    polled_at: Option<Moment>,
    /// The models that it should hold; `None` until its first report is read.
    desired: Option<Vec<ModelId>>,
    ordered_at: Option<Moment>,
    reason: Option<Reason>,
}

impl EngineState {
    /// Returns the last report unless it is too old.
    fn recent_report(&self, now: Moment) -> Option<&LoadReport> {
        self.report.as_ref().filter(|_| now.since(self.reported_at) < MAX_REPORT_AGE)
    }

    /// Returns true if the engine's report differs from the models that it
    /// should hold.
    fn differs(&self) -> bool {
        let (Some(report), Some(desired)) = (&self.report, &self.desired) else { return false };
        let same = report.models.len() == desired.len();
        !same || !desired.iter().all(|model| report.models.contains(model))
    }

    /// Returns true if the engine was ordered to load a model and does not hold
    /// it yet.
    fn is_loading(&self) -> bool {
        self.ordered_at.is_some() && self.lacks_model()
    }

    /// Returns true if the engine's report lacks a model that it should hold.
    fn lacks_model(&self) -> bool {
        let (Some(report), Some(desired)) = (&self.report, &self.desired) else { return false };
        desired.iter().any(|model| !report.models.contains(model))
    }
}

/// The move for demand that the plan proposes, and since when.
#[derive(Debug)]
struct Proposal {
    load: Option<ModelId>,
    unload: Option<ModelId>,
    since: Moment,
}

/// The lock of a pool, and what its holder knows of the pool's engines.
#[derive(Debug)]
struct PoolState {
    lock: Lock,
    acquired_at: Moment,
    engines: BTreeMap<TargetId, EngineState>,
    proposal: Option<Proposal>,
}

/// The state of orders: a lock and the engines for each pool, and the demand.
#[derive(Debug, Default)]
pub struct State {
    pools: BTreeMap<PoolId, PoolState>,
    demand: BTreeMap<PoolId, Demand>,
}

impl State {
    /// Counts a request, served or refused, as demand for its model.
    pub fn record_demand(&mut self, ctx: &Context<'_>, sample: &usage::Sample) {
        let model = sample.model.as_ref().and_then(|model| model.parse().ok());
        if let Some(model) = model {
            self.demand.entry(sample.pool.clone()).or_default().record(ctx.at, &model);
        }
    }

    /// Returns the fencing token of this VM's orders to a pool's engines, if
    /// it holds the pool's lock at `now`.
    pub fn fencing_token(&self, now: Moment, pool: &PoolId) -> Option<FencingToken> {
        self.pools.get(pool)?.lock.fencing_token(now)
    }

    /// Returns the models that an engine should hold, if this VM holds the
    /// pool's lock and has read the engine's report.
    pub fn desired_models(&self, pool: &PoolId, target: &TargetId) -> Option<&[ModelId]> {
        self.pools.get(pool)?.engines.get(target)?.desired.as_deref()
    }

    /// Runs what is due for each pool: lease operations, reads of reports, the
    /// plan and orders.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        let Some(document) = view.document else { return };
        for pool in &document.pools {
            let Some(policy) = policy(pool) else { continue };
            let pool_state = self.pools.entry(pool.id.clone()).or_insert_with(|| PoolState {
                lock: Lock::new(key(&pool.id), holder(ctx)),
                acquired_at: Moment::default(),
                engines: BTreeMap::new(),
                proposal: None,
            });
            let wanted = !view.draining && is_contender(ctx, view.members, &pool.id);
            let change = pool_state.lock.expire(ctx.at);
            handle_lock_change(ctx, &pool.id, pool_state, &change, out);
            if let Some(operation) = pool_state.lock.next_operation(ctx.at, wanted) {
                let ticket = Ticket::Order(pool.id.clone());
                out.push(Effect::Store { ticket, operation });
            }
            if pool_state.lock.fencing_token(ctx.at).is_none() {
                continue;
            }
            pool_state.poll(ctx, view, &pool.id, out);
            let demand = self.demand.get(&pool.id);
            let demand_by_model = demand_by_model(document, &pool.id, demand, ctx.at);
            pool_state.decide(ctx, &pool.id, policy, &demand_by_model, out);
            pool_state.send(ctx, view, &pool.id, policy, out);
        }
    }

    /// Applies the store's reply to a lease operation.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        pool: &PoolId,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(pool_state) = self.pools.get_mut(pool) else { return };
        let change = pool_state.lock.expire(ctx.at);
        handle_lock_change(ctx, pool, pool_state, &change, out);
        let change = pool_state.lock.handle_reply(ctx.at, result);
        handle_lock_change(ctx, pool, pool_state, &change, out);
    }

    /// Applies a report that was read from an engine. Failed reads are ignored.
    pub fn handle_report(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        result: &Result<LoadReport, Failure>,
    ) {
        let Ok(report) = result else { return };
        let mut pools = self.pools.values_mut();
        let Some(engine) = pools.find_map(|pool_state| pool_state.engines.get_mut(target)) else {
            return;
        };
        engine.report = Some(report.clone());
        engine.reported_at = ctx.at;
    }

    /// Logs an engine's reply to an order. Gives the pool's lock up if the
    /// reply names a newer holder.
    pub fn handle_outcome(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        result: &Result<Outcome, Failure>,
        out: &mut Output,
    ) {
        let mut pools = self.pools.iter_mut();
        let Some((pool, pool_state)) =
            pools.find(|(_, pool_state)| pool_state.engines.contains_key(target))
        else {
            return;
        };
        let line = Record::new("order_answered").with("pool", pool).with("target", target);
        match result {
            Ok(Outcome::Accepted) => out.log(line.with("outcome", "accepted")),
            Ok(Outcome::Stale { newest }) => {
                out.log(line.with("outcome", "stale").with("newest", newest));
                let is_outdated =
                    pool_state.lock.fencing_token(ctx.at).is_some_and(|own| own < *newest);
                if is_outdated {
                    pool_state.lock.abandon(ctx.at);
                    let change = Change::Lost(format_smolstr!("newer_holder_{newest}"));
                    handle_lock_change(ctx, pool, pool_state, &change, out);
                }
            }
            Err(failure) => out.log(line.with("outcome", "failed").with("error", failure)),
        }
    }
}

impl PoolState {
    /// Starts the reads of reports that are due, and drops engines that left
    /// the pool.
    fn poll(&mut self, ctx: &Context<'_>, view: View<'_>, pool: &PoolId, out: &mut Output) {
        let targets = view.targets;
        self.engines.retain(|id, _| targets.get(id).is_some_and(|target| target.pool == *pool));
        for target in targets.all().filter(|target| target.pool == *pool) {
            let engine = self.engines.entry(target.id.clone()).or_default();
            if engine.polled_at.is_some_and(|at| ctx.at.since(at) < POLL_INTERVAL) {
                continue;
            }
            engine.polled_at = Some(ctx.at);
            out.push(Effect::Poll { target: target.id.clone(), address: target.address });
        }
    }

    /// Reads from each engine's first report what it holds, then makes at most
    /// one move.
    fn decide(
        &mut self,
        ctx: &Context<'_>,
        pool: &PoolId,
        policy: Policy,
        demand_by_model: &ModelDemand,
        out: &mut Output,
    ) {
        let settled_at = self.acquired_at + SETTLE_TIME;
        if ctx.at < settled_at {
            return;
        }
        for engine in self.engines.values_mut() {
            let is_current = engine.desired.is_none() && settled_at <= engine.reported_at;
            if let Some(report) = engine.report.as_ref().filter(|_| is_current) {
                engine.desired =
                    Some(report.models.iter().take(policy.models_per_engine).cloned().collect());
            }
        }
        let is_incomplete = self.engines.values().any(|engine| engine.desired.is_none());
        if is_incomplete && ctx.at < settled_at + REPORT_WAIT {
            return;
        }
        let loading = self.engines.values().filter(|engine| engine.lacks_model()).count();
        if policy.max_concurrent_loads <= loading {
            return;
        }
        let engines: Vec<_> = self.plan_input(ctx.at, policy).collect();
        let Some(next) = plan::next_move(&engines, demand_by_model) else {
            self.proposal = None;
            return;
        };
        if next.reason == Reason::Demand && !self.is_confirmed(ctx.at, &next) {
            return;
        }
        self.proposal = None;
        let line = Record::new("placement").with("pool", pool).with("target", &next.engine);
        let none = || SmolStr::new_static("none");
        let load = next.load.as_ref().map_or_else(none, |model| model.as_str().into());
        let unload = next.unload.as_ref().map_or_else(none, |model| model.as_str().into());
        out.log(line.with("load", load).with("unload", unload).with("why", next.reason));
        self.apply(next);
    }

    /// Returns the engines as input of the plan: those whose report is recent
    /// and that are not leaving.
    fn plan_input(&self, now: Moment, policy: Policy) -> impl Iterator<Item = Engine> {
        self.engines.iter().filter_map(move |(id, engine)| {
            let report = engine.recent_report(now).filter(|report| !report.leaving)?;
            Some(Engine {
                id: id.clone(),
                capacity: policy.models_per_engine,
                models: engine.desired.clone()?,
                running: report.running,
                order_pending: engine.differs(),
            })
        })
    }

    /// Returns true if the plan has proposed this move for
    /// [`MIN_PROPOSAL_TIME`]. A move that differs from the current proposal
    /// replaces it.
    fn is_confirmed(&mut self, now: Moment, next: &Move) -> bool {
        let same =
            |proposal: &&Proposal| proposal.load == next.load && proposal.unload == next.unload;
        if let Some(proposal) = self.proposal.as_ref().filter(same) {
            return MIN_PROPOSAL_TIME <= now.since(proposal.since);
        }
        let (load, unload) = (next.load.clone(), next.unload.clone());
        self.proposal = Some(Proposal { load, unload, since: now });
        false
    }

    /// Applies a move to the models that its engine should hold.
    fn apply(&mut self, next: Move) {
        let Some(engine) = self.engines.get_mut(&next.engine) else { return };
        let Some(desired) = &mut engine.desired else { return };
        desired.retain(|model| Some(model) != next.unload.as_ref());
        desired.extend(next.load);
        engine.ordered_at = None;
        engine.reason = Some(next.reason);
    }

    /// Sends an order to each engine whose report differs from what it should
    /// hold, within the limit of concurrent loads.
    fn send(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        pool: &PoolId,
        policy: Policy,
        out: &mut Output,
    ) {
        let mut loading = self.engines.values().filter(|engine| engine.is_loading()).count();
        for (id, engine) in &mut self.engines {
            let due = engine.ordered_at.is_none_or(|at| RESEND_INTERVAL <= ctx.at.since(at));
            if !due || !engine.differs() || engine.recent_report(ctx.at).is_none() {
                continue;
            }
            let starts_load = engine.lacks_model() && !engine.is_loading();
            if starts_load && policy.max_concurrent_loads <= loading {
                continue;
            }
            let (Some(models), Some(target)) = (&engine.desired, view.targets.get(id)) else {
                continue;
            };
            // Checked for each order, since the lease may have ended since the
            // last one.
            let Some(fencing) = self.lock.fencing_token(ctx.at) else { return };
            let why = match (engine.ordered_at, engine.reason) {
                (None, Some(reason)) => format_smolstr!("{reason}"),
                _ => "report_differs".into(),
            };
            loading += usize::from(starts_load);
            engine.ordered_at = Some(ctx.at);
            let names: Vec<_> = models.iter().map(ModelId::as_str).collect();
            let line = Record::new("order").with("pool", pool).with("target", id);
            let line = line.with("fencing", fencing).with("models", names.join(","));
            out.log(line.with("role", ROLE).with("why", why));
            let order = Order { fencing, models: models.clone(), role: ROLE.into() };
            let address = target.address;
            out.push(Effect::Order { target: id.clone(), address, order });
        }
    }
}

/// Returns the limits of a pool, `None` if its engines get no orders.
fn policy(pool: &Pool) -> Option<Policy> {
    let Kind::Engine(_) = &pool.kind else { return None };
    let orders = pool.orders?;
    let models_per_engine = usize::try_from(orders.models_per_engine).ok()?;
    let max_concurrent_loads = usize::try_from(orders.loads_at_once).ok()?;
    Some(Policy { models_per_engine, max_concurrent_loads })
}

/// Returns the text that identifies this VM and its start in the lock's value.
fn holder(ctx: &Context<'_>) -> SmolStr {
    format_smolstr!("{} {}", ctx.me.vm, ctx.me.start)
}

/// Returns true if this VM is among the first [`MAX_CONTENDERS`] by rendezvous
/// hash for a pool's lock.
fn is_contender(ctx: &Context<'_>, members: &member::State, pool: &PoolId) -> bool {
    let score = |vm: &str| Reverse(rank::score(ChatKey(0), &format!("{pool}/{vm}")));
    let own = score(ctx.me.vm.as_str());
    let before = members.live().filter(|member| score(member.vm.as_str()) < own);
    before.count() < MAX_CONTENDERS
}

fn demand_by_model(
    document: &Document,
    pool: &PoolId,
    demand: Option<&Demand>,
    now: Moment,
) -> ModelDemand {
    let models = document.models.iter().filter(|model| model.pool == *pool);
    models
        .map(|model| {
            let value = demand.map_or(0.0, |demand| demand.value(now, &model.id));
            (model.id.clone(), value)
        })
        .collect()
}

/// Logs a change of the pool's lock, and drops what was known under the last
/// lease.
fn handle_lock_change(
    ctx: &Context<'_>,
    pool: &PoolId,
    pool_state: &mut PoolState,
    change: &Change,
    out: &mut Output,
) {
    match change {
        Change::None => {}
        Change::Acquired => {
            pool_state.acquired_at = ctx.at;
            pool_state.engines.clear();
            pool_state.proposal = None;
            let line = Record::new("order_lease_taken").with("pool", pool);
            let fencing = pool_state.lock.fencing_token(ctx.at).unwrap_or_default();
            out.log(line.with("fencing", fencing));
        }
        Change::Lost(why) => {
            pool_state.engines.clear();
            let line = Record::new("order_lease_lost").with("pool", pool);
            out.log(line.with("why", why));
        }
    }
}

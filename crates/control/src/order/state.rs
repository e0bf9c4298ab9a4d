//! Pools whose engines this VM orders.

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

/// VMs by rank that try to hold a pool's lease.
const CANDIDATES: usize = 3;
/// How long a new holder only reads reports: the older holder's last order has
/// its outcome by then.
const SETTLE: Span = Span::from_secs(5);
/// How long a new holder waits for engines that have not reported.
const REPORT_WAIT: Span = Span::from_secs(15);
/// Time between two reads of an engine's report.
const POLL_INTERVAL: Span = Span::from_secs(2);
/// Age at which a report says nothing of the engine any more.
const MAX_AGE: Span = Span::from_secs(30);
/// Time between two orders to one engine.
const RESEND_INTERVAL: Span = Span::from_secs(10);
/// How long a move for demand must stay worth making.
const DWELL: Span = Span::from_secs(60);
/// Role of all engines.
const ROLE: &str = "serve";

/// What the engines of a pool may be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Models that an engine has room for.
    pub models_per_engine: usize,
    /// Most engines that load at once.
    pub max_concurrent_loads: usize,
}

/// What the order holder looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Targets.
    pub targets: &'a target::State,
    /// Entry VMs.
    pub members: &'a member::State,
    /// The document in force.
    pub document: Option<&'a Document>,
    /// This VM is shutting down.
    pub draining: bool,
}

/// The store key whose holder orders a pool's engines.
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

#[derive(Debug, Default)]
struct Seen {
    report: Option<LoadReport>,
    reported_at: Moment,
    polled_at: Option<Moment>,
    /// The models it should hold, once its report was read back.
    wanted: Option<Vec<ModelId>>,
    ordered_at: Option<Moment>,
    why: Option<Reason>,
}

impl Seen {
    fn fresh(&self, now: Moment) -> Option<&LoadReport> {
        self.report.as_ref().filter(|_| now.since(self.reported_at) < MAX_AGE)
    }

    /// Whether the engine does not yet hold what it should.
    fn differs(&self) -> bool {
        let (Some(report), Some(wanted)) = (&self.report, &self.wanted) else { return false };
        let same = report.models.len() == wanted.len();
        !same || !wanted.iter().all(|model| report.models.contains(model))
    }

    /// Whether an order has made it load a model that it does not hold yet.
    fn loads(&self) -> bool {
        self.ordered_at.is_some() && self.missing()
    }

    fn missing(&self) -> bool {
        let (Some(report), Some(wanted)) = (&self.report, &self.wanted) else { return false };
        wanted.iter().any(|model| !report.models.contains(model))
    }
}

/// A move for demand that is worth making, and since when.
#[derive(Debug)]
struct Proposal {
    load: Option<ModelId>,
    unload: Option<ModelId>,
    since: Moment,
}

#[derive(Debug)]
struct Orders {
    lock: Lock,
    taken_at: Moment,
    engines: BTreeMap<TargetId, Seen>,
    proposal: Option<Proposal>,
}

/// Pools whose engines this VM orders, or may come to order.
#[derive(Debug, Default)]
pub struct State {
    pools: BTreeMap<PoolId, Orders>,
    demand: BTreeMap<PoolId, Demand>,
}

impl State {
    /// Counts a request, served or refused, towards the demand.
    pub fn record_demand(&mut self, ctx: &Context<'_>, sample: &usage::Sample) {
        let model = sample.model.as_ref().and_then(|model| model.parse().ok());
        if let Some(model) = model {
            self.demand.entry(sample.pool.clone()).or_default().record(ctx.at, &model);
        }
    }

    /// The fencing number with which this VM orders a pool's engines at this
    /// moment.
    pub fn fencing(&self, now: Moment, pool: &PoolId) -> Option<FencingToken> {
        self.pools.get(pool)?.lock.fencing(now)
    }

    /// The models that this VM, as holder, wants on an engine.
    pub fn desired_models(&self, pool: &PoolId, target: &TargetId) -> Option<&[ModelId]> {
        self.pools.get(pool)?.engines.get(target)?.wanted.as_deref()
    }

    /// Keeps leases, reads reports, plans, and sends orders.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        let Some(document) = view.document else { return };
        for pool in &document.pools {
            let Some(policy) = policy(pool) else { continue };
            let orders = self.pools.entry(pool.id.clone()).or_insert_with(|| Orders {
                lock: Lock::new(key(&pool.id), holder(ctx)),
                taken_at: Moment::default(),
                engines: BTreeMap::new(),
                proposal: None,
            });
            let wanted = !view.draining && is_candidate(ctx, view.members, &pool.id);
            let change = orders.lock.expire(ctx.at);
            note(ctx, &pool.id, orders, &change, out);
            if let Some(operation) = orders.lock.next_operation(ctx.at, wanted) {
                let ticket = Ticket::Order(pool.id.clone());
                out.push(Effect::Store { ticket, operation });
            }
            if orders.lock.fencing(ctx.at).is_none() {
                continue;
            }
            orders.poll(ctx, view, &pool.id, out);
            let demand = self.demand.get(&pool.id);
            let needs = needs(document, &pool.id, demand, ctx.at);
            orders.decide(ctx, &pool.id, policy, &needs, out);
            orders.send(ctx, view, &pool.id, policy, out);
        }
    }

    /// A lease operation was answered.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        pool: &PoolId,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(orders) = self.pools.get_mut(pool) else { return };
        let change = orders.lock.expire(ctx.at);
        note(ctx, pool, orders, &change, out);
        let change = orders.lock.handle_reply(ctx.at, result);
        note(ctx, pool, orders, &change, out);
    }

    /// A target's load was read.
    pub fn handle_report(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        result: &Result<LoadReport, Failure>,
    ) {
        let Ok(report) = result else { return };
        let mut pools = self.pools.values_mut();
        let Some(seen) = pools.find_map(|orders| orders.engines.get_mut(target)) else { return };
        seen.report = Some(report.clone());
        seen.reported_at = ctx.at;
    }

    /// An engine answered an order.
    pub fn handle_outcome(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        result: &Result<Outcome, Failure>,
        out: &mut Output,
    ) {
        let mut pools = self.pools.iter_mut();
        let Some((pool, orders)) = pools.find(|(_, orders)| orders.engines.contains_key(target))
        else {
            return;
        };
        let line = Record::new("order_answered").with("pool", pool).with("target", target);
        match result {
            Ok(Outcome::Accepted) => out.log(line.with("outcome", "accepted")),
            Ok(Outcome::Stale { newest }) => {
                out.log(line.with("outcome", "stale").with("newest", newest));
                let older = orders.lock.fencing(ctx.at).is_some_and(|mine| mine < *newest);
                if older {
                    orders.lock.abandon(ctx.at);
                    let change = Change::Lost(format_smolstr!("newer_holder_{newest}"));
                    note(ctx, pool, orders, &change, out);
                }
            }
            Err(failure) => out.log(line.with("outcome", "failed").with("error", failure)),
        }
    }
}

impl Orders {
    fn poll(&mut self, ctx: &Context<'_>, view: View<'_>, pool: &PoolId, out: &mut Output) {
        let targets = view.targets;
        self.engines.retain(|id, _| targets.get(id).is_some_and(|target| target.pool == *pool));
        for target in targets.all().filter(|target| target.pool == *pool) {
            let seen = self.engines.entry(target.id.clone()).or_default();
            if seen.polled_at.is_some_and(|at| ctx.at.since(at) < POLL_INTERVAL) {
                continue;
            }
            seen.polled_at = Some(ctx.at);
            out.push(Effect::Poll { target: target.id.clone(), address: target.address });
        }
    }

    /// Reads the engines' state back, then makes at most one move.
    fn decide(
        &mut self,
        ctx: &Context<'_>,
        pool: &PoolId,
        policy: Policy,
        needs: &ModelDemand,
        out: &mut Output,
    ) {
        let settled = self.taken_at + SETTLE;
        if ctx.at < settled {
            return;
        }
        for seen in self.engines.values_mut() {
            let read = seen.wanted.is_none() && settled <= seen.reported_at;
            if let Some(report) = seen.report.as_ref().filter(|_| read) {
                seen.wanted =
                    Some(report.models.iter().take(policy.models_per_engine).cloned().collect());
            }
        }
        let waits = self.engines.values().any(|seen| seen.wanted.is_none());
        if waits && ctx.at < settled + REPORT_WAIT {
            return;
        }
        let loading = self.engines.values().filter(|seen| seen.missing()).count();
        if policy.max_concurrent_loads <= loading {
            return;
        }
        let engines: Vec<_> = self.planned(ctx.at, policy).collect();
        let Some(next) = plan::next_move(&engines, needs) else {
            self.proposal = None;
            return;
        };
        if next.reason == Reason::Demand && !self.dwelt(ctx.at, &next) {
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

    fn planned(&self, now: Moment, policy: Policy) -> impl Iterator<Item = Engine> {
        self.engines.iter().filter_map(move |(id, seen)| {
            let report = seen.fresh(now).filter(|report| !report.leaving)?;
            Some(Engine {
                id: id.clone(),
                capacity: policy.models_per_engine,
                models: seen.wanted.clone()?,
                running: report.running,
                order_pending: seen.differs(),
            })
        })
    }

    /// Whether a move has stayed worth making for long enough.
    fn dwelt(&mut self, now: Moment, next: &Move) -> bool {
        let same =
            |proposal: &&Proposal| proposal.load == next.load && proposal.unload == next.unload;
        if let Some(proposal) = self.proposal.as_ref().filter(same) {
            return DWELL <= now.since(proposal.since);
        }
        let (load, unload) = (next.load.clone(), next.unload.clone());
        self.proposal = Some(Proposal { load, unload, since: now });
        false
    }

    fn apply(&mut self, next: Move) {
        let Some(seen) = self.engines.get_mut(&next.engine) else { return };
        let Some(wanted) = &mut seen.wanted else { return };
        wanted.retain(|model| Some(model) != next.unload.as_ref());
        wanted.extend(next.load);
        seen.ordered_at = None;
        seen.why = Some(next.reason);
    }

    /// Orders each engine whose report differs from what it should hold.
    fn send(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        pool: &PoolId,
        policy: Policy,
        out: &mut Output,
    ) {
        let mut loading = self.engines.values().filter(|seen| seen.loads()).count();
        for (id, seen) in &mut self.engines {
            let due = seen.ordered_at.is_none_or(|at| RESEND_INTERVAL <= ctx.at.since(at));
            if !due || !seen.differs() || seen.fresh(ctx.at).is_none() {
                continue;
            }
            let starts_load = seen.missing() && !seen.loads();
            if starts_load && policy.max_concurrent_loads <= loading {
                continue;
            }
            let (Some(models), Some(target)) = (&seen.wanted, view.targets.get(id)) else {
                continue;
            };
            // Asked for each order: the lease may have ended since the last.
            let Some(fencing) = self.lock.fencing(ctx.at) else { return };
            let why = match (seen.ordered_at, seen.why) {
                (None, Some(why)) => format_smolstr!("{why}"),
                _ => "report_differs".into(),
            };
            loading += usize::from(starts_load);
            seen.ordered_at = Some(ctx.at);
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

fn policy(pool: &Pool) -> Option<Policy> {
    let Kind::Engine(_) = &pool.kind else { return None };
    let orders = pool.orders?;
    let models_per_engine = usize::try_from(orders.models_per_engine).ok()?;
    let max_concurrent_loads = usize::try_from(orders.loads_at_once).ok()?;
    Some(Policy { models_per_engine, max_concurrent_loads })
}

fn holder(ctx: &Context<'_>) -> SmolStr {
    format_smolstr!("{} {}", ctx.me.vm, ctx.me.start)
}

/// Whether this VM is among the first by rank for a pool's lease.
fn is_candidate(ctx: &Context<'_>, members: &member::State, pool: &PoolId) -> bool {
    let score = |vm: &str| Reverse(rank::score(ChatKey(0), &format!("{pool}/{vm}")));
    let mine = score(ctx.me.vm.as_str());
    let before = members.live().filter(|member| score(member.vm.as_str()) < mine);
    before.count() < CANDIDATES
}

fn needs(document: &Document, pool: &PoolId, demand: Option<&Demand>, now: Moment) -> ModelDemand {
    let models = document.models.iter().filter(|model| model.pool == *pool);
    models
        .map(|model| {
            let need = demand.map_or(0.0, |demand| demand.value(now, &model.id));
            (model.id.clone(), need)
        })
        .collect()
}

/// Starts afresh on a new lease, and logs what became of it.
fn note(ctx: &Context<'_>, pool: &PoolId, orders: &mut Orders, change: &Change, out: &mut Output) {
    match change {
        Change::None => {}
        Change::Acquired => {
            orders.taken_at = ctx.at;
            orders.engines.clear();
            orders.proposal = None;
            let line = Record::new("order_lease_taken").with("pool", pool);
            let fencing = orders.lock.fencing(ctx.at).unwrap_or_default();
            out.log(line.with("fencing", fencing));
        }
        Change::Lost(why) => {
            orders.engines.clear();
            let line = Record::new("order_lease_lost").with("pool", pool);
            out.log(line.with("why", why));
        }
    }
}

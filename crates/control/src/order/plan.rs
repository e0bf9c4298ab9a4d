//! The plan of which models each engine should hold.
//!
//! A greedy algorithm makes one move at a time: it replaces a replica of the
//! model with the least load per replica by one of the model with the most. The
//! alternative, to compute the optimal placement at each change and to move
//! towards it, moves more models for the same share of unserved requests,
//! because a small change of demand can change the whole placement. Hysteresis
//! comes from [`MIN_LOAD_RATIO`] and from the time for which the same move must
//! be proposed before it is made (in [`super::State`]).

use std::collections::BTreeMap;
use std::fmt;

use briarshift_units::{ModelId, TargetId};

/// Minimum ratio between the load per replica of the model that gains a replica
/// and that of the model that loses one, after the loss.
pub const MIN_LOAD_RATIO: f64 = 1.5;

/// The state of an engine, as input of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The engine.
    pub id: TargetId,
    /// Number of models that it can hold.
    pub capacity: usize,
    /// Models that it should hold, by the moves made so far.
    pub models: Vec<ModelId>,
    /// Requests running on it.
    pub running: u32,
    /// Whether it has not yet carried out an order.
    pub order_pending: bool,
}

impl Engine {
    fn holds(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }

    fn has_free_slot(&self) -> bool {
        self.models.len() < self.capacity
    }
}

/// The reason for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The document no longer has the model for this pool.
    Retired,
    /// No engine holds the model.
    Unserved,
    /// The engine has a free slot.
    FreeSlot,
    /// The model has much more load per replica than another one.
    Demand,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Retired => "retired",
            Self::Unserved => "unserved",
            Self::FreeSlot => "room",
            Self::Demand => "demand",
        })
    }
}

/// One change to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: TargetId,
    /// The model to load.
    pub load: Option<ModelId>,
    /// The model to unload.
    pub unload: Option<ModelId>,
    /// The reason for the change.
    pub reason: Reason,
}

/// Demand by model, with an entry for each model that the document has for the
/// pool.
pub type ModelDemand = BTreeMap<ModelId, f64>;

/// Returns the next move, if any is needed. A move removes a model that left
/// the document, serves a model that no engine holds, fills a free slot, or
/// follows demand, in this order of priority.
///
/// # Examples
///
/// ```
/// use briarshift_control::order::plan::{Engine, ModelDemand, Reason, next_move};
/// let engine = Engine {
///     id: "e1".parse().unwrap(),
///     capacity: 1,
///     models: Vec::new(),
///     running: 0,
///     order_pending: false,
/// };
/// let demand = ModelDemand::from([("m".parse().unwrap(), 1.0)]);
/// assert_eq!(next_move(&[engine], &demand).unwrap().reason, Reason::Unserved);
/// ```
pub fn next_move(engines: &[Engine], demand_by_model: &ModelDemand) -> Option<Move> {
    remove_retired(engines, demand_by_model)
        .or_else(|| serve_unserved(engines, demand_by_model))
        .or_else(|| fill_free_slot(engines, demand_by_model))
        .or_else(|| follow_demand(engines, demand_by_model))
}

/// Returns the number of engines that should hold a model.
fn replicas(engines: &[Engine], model: &ModelId) -> usize {
    engines.iter().filter(|engine| engine.holds(model)).count()
}

/// Returns the engine with the fewest running requests, among those without a
/// pending order.
fn least_busy<'a>(engines: impl Iterator<Item = &'a Engine>) -> Option<&'a Engine> {
    engines.filter(|engine| !engine.order_pending).min_by_key(|engine| engine.running)
}

/// Returns a move that unloads a model that left the document.
fn remove_retired(engines: &[Engine], demand_by_model: &ModelDemand) -> Option<Move> {
    let mut idle = engines.iter().filter(|engine| !engine.order_pending);
    idle.find_map(|engine| {
        let model = engine.models.iter().find(|model| !demand_by_model.contains_key(*model))?;
        Some(Move {
            engine: engine.id.clone(),
            load: None,
            unload: Some(model.clone()),
            reason: Reason::Retired,
        })
    })
}

/// Returns a move that loads the most requested of the models that no engine
/// holds: into a free slot, else in place of a replica of another model.
fn serve_unserved(engines: &[Engine], demand_by_model: &ModelDemand) -> Option<Move> {
    let mut missing: Vec<_> =
        demand_by_model.iter().filter(|(model, _)| replicas(engines, model) == 0).collect();
    missing.sort_by(|a, b| b.1.total_cmp(a.1));
    missing.into_iter().find_map(|(model, _)| {
        let with_free_slot = least_busy(engines.iter().filter(|engine| engine.has_free_slot()));
        if let Some(engine) = with_free_slot {
            return Some(load_move(engine, model, Reason::Unserved));
        }
        donors(engines, demand_by_model)
            .into_iter()
            .find_map(|donor| swap_move(engines, &donor.model, model, Reason::Unserved))
    })
}

/// Returns a move that fills a free slot with the model that has the highest
/// load per replica.
fn fill_free_slot(engines: &[Engine], demand_by_model: &ModelDemand) -> Option<Move> {
    let engine = least_busy(engines.iter().filter(|engine| engine.has_free_slot()))?;
    let mut eligible = replica_loads(engines, demand_by_model);
    eligible.retain(|replica_load| !engine.holds(&replica_load.model));
    Some(load_move(engine, &eligible.first()?.model, Reason::FreeSlot))
}

/// Returns a move that replaces a replica of one model by one of another, if
/// their loads per replica differ by more than [`MIN_LOAD_RATIO`].
fn follow_demand(engines: &[Engine], demand_by_model: &ModelDemand) -> Option<Move> {
    let donors = donors(engines, demand_by_model);
    replica_loads(engines, demand_by_model).into_iter().find_map(|gainer| {
        let is_eligible = |donor: &&ReplicaLoad| donor.load * MIN_LOAD_RATIO < gainer.load;
        let eligible = donors.iter().filter(is_eligible);
        eligible
            .filter(|donor| donor.model != gainer.model)
            .find_map(|donor| swap_move(engines, &donor.model, &gainer.model, Reason::Demand))
    })
}

/// A model's load per replica.
struct ReplicaLoad {
    model: ModelId,
    load: f64,
    replicas: usize,
}

/// Returns all models by load per replica, highest first; at equal load those
/// with fewer replicas first.
fn replica_loads(engines: &[Engine], demand_by_model: &ModelDemand) -> Vec<ReplicaLoad> {
    let mut all: Vec<_> = demand_by_model
        .iter()
        .map(|(model, demand)| {
            let replicas = replicas(engines, model);
            ReplicaLoad { model: model.clone(), load: demand / replicas.max(1) as f64, replicas }
        })
        .collect();
    all.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.replicas.cmp(&b.replicas)));
    all
}

/// Returns the models with more than one replica, by the load per replica that
/// remains after one is removed, lowest first.
fn donors(engines: &[Engine], demand_by_model: &ModelDemand) -> Vec<ReplicaLoad> {
    let mut all: Vec<_> = demand_by_model
        .iter()
        .map(|(model, demand)| (model, demand, replicas(engines, model)))
        .filter(|(_, _, replicas)| 1 < *replicas)
        .map(|(model, demand, replicas)| ReplicaLoad {
            model: model.clone(),
            load: demand / (replicas - 1) as f64,
            replicas,
        })
        .collect();
    all.sort_by(|a, b| a.load.total_cmp(&b.load));
    all
}

fn load_move(engine: &Engine, model: &ModelId, reason: Reason) -> Move {
    Move { engine: engine.id.clone(), load: Some(model.clone()), unload: None, reason }
}

fn swap_move(engines: &[Engine], from: &ModelId, to: &ModelId, reason: Reason) -> Option<Move> {
    let suitable = engines.iter().filter(|engine| engine.holds(from) && !engine.holds(to));
    let engine = least_busy(suitable)?;
    let (load, unload) = (Some(to.clone()), Some(from.clone()));
    Some(Move { engine: engine.id.clone(), load, unload, reason })
}

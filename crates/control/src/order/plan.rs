//! Which model should be on which engine.
//!
//! A greedy rule, one move at a time: give a place from the model that would
//! miss it least to the one that needs it most. Weighed: computing the whole
//! best placement at each change and moving towards it; it moves more models
//! for the same unserved share, because a small change of demand can change
//! the whole placement. Hysteresis is [`MIN_LOAD_RATIO`] here, and the time that a move
//! must stay worth making (in [`super::State`]).

use std::collections::BTreeMap;
use std::fmt;

use briarshift_units::{ModelId, TargetId};

/// The model in need must have this many times the load for each replica that
/// the giving model would have after giving one up.
pub const MIN_LOAD_RATIO: f64 = 1.5;

/// An engine as the plan sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The engine.
    pub id: TargetId,
    /// Models it has room for.
    pub capacity: usize,
    /// Models it is wanted to hold.
    pub models: Vec<ModelId>,
    /// Requests running on it.
    pub running: u32,
    /// An order to it is not carried out yet.
    pub order_pending: bool,
}

impl Engine {
    fn holds(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }

    fn has_room(&self) -> bool {
        self.models.len() < self.capacity
    }
}

/// Reason a move is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The document no longer has the model for this pool.
    Retired,
    /// No engine holds the model.
    Unserved,
    /// The engine has room.
    FreeSlot,
    /// The model has much more load for each replica than another.
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
    /// Reason.
    pub reason: Reason,
}

/// Demand by model, with an entry for each model of the pool.
pub type ModelDemand = BTreeMap<ModelId, f64>;

/// The next move, if any is worth making.
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
/// let needs = ModelDemand::from([("m".parse().unwrap(), 1.0)]);
/// assert_eq!(next_move(&[engine], &needs).unwrap().reason, Reason::Unserved);
/// ```
pub fn next_move(engines: &[Engine], needs: &ModelDemand) -> Option<Move> {
    retired(engines, needs)
        .or_else(|| unserved(engines, needs))
        .or_else(|| room(engines, needs))
        .or_else(|| demand(engines, needs))
}

fn replicas(engines: &[Engine], model: &ModelId) -> usize {
    engines.iter().filter(|engine| engine.holds(model)).count()
}

/// The engine that a change disturbs least.
fn quietest<'a>(engines: impl Iterator<Item = &'a Engine>) -> Option<&'a Engine> {
    engines.filter(|engine| !engine.order_pending).min_by_key(|engine| engine.running)
}

fn retired(engines: &[Engine], needs: &ModelDemand) -> Option<Move> {
    let mut idle = engines.iter().filter(|engine| !engine.order_pending);
    idle.find_map(|engine| {
        let model = engine.models.iter().find(|model| !needs.contains_key(*model))?;
        Some(Move {
            engine: engine.id.clone(),
            load: None,
            unload: Some(model.clone()),
            reason: Reason::Retired,
        })
    })
}

fn unserved(engines: &[Engine], needs: &ModelDemand) -> Option<Move> {
    let mut missing: Vec<_> =
        needs.iter().filter(|(model, _)| replicas(engines, model) == 0).collect();
    missing.sort_by(|a, b| b.1.total_cmp(a.1));
    missing.into_iter().find_map(|(model, _)| {
        let roomy = quietest(engines.iter().filter(|engine| engine.has_room()));
        if let Some(engine) = roomy {
            return Some(load(engine, model, Reason::Unserved));
        }
        givers(engines, needs)
            .into_iter()
            .find_map(|giver| swap(engines, &giver.model, model, Reason::Unserved))
    })
}

fn room(engines: &[Engine], needs: &ModelDemand) -> Option<Move> {
    let engine = quietest(engines.iter().filter(|engine| engine.has_room()))?;
    let mut wanting = pressures(engines, needs);
    wanting.retain(|pressure| !engine.holds(&pressure.model));
    Some(load(engine, &wanting.first()?.model, Reason::FreeSlot))
}

fn demand(engines: &[Engine], needs: &ModelDemand) -> Option<Move> {
    let givers = givers(engines, needs);
    pressures(engines, needs).into_iter().find_map(|hot| {
        let worth = |giver: &&Pressure| giver.load * MIN_LOAD_RATIO < hot.load;
        let worthy = givers.iter().filter(worth);
        worthy
            .filter(|giver| giver.model != hot.model)
            .find_map(|giver| swap(engines, &giver.model, &hot.model, Reason::Demand))
    })
}

/// A model's load for each replica.
struct Pressure {
    model: ModelId,
    load: f64,
    replicas: usize,
}

/// Models by load for each replica, highest first; of equal ones, those with
/// fewer replicas first.
fn pressures(engines: &[Engine], needs: &ModelDemand) -> Vec<Pressure> {
    let mut all: Vec<_> = needs
        .iter()
        .map(|(model, need)| {
            let replicas = replicas(engines, model);
            Pressure { model: model.clone(), load: need / replicas.max(1) as f64, replicas }
        })
        .collect();
    all.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.replicas.cmp(&b.replicas)));
    all
}

/// Models that can give a replica up, by the load for each one left, lowest
/// first.
fn givers(engines: &[Engine], needs: &ModelDemand) -> Vec<Pressure> {
    let mut all: Vec<_> = needs
        .iter()
        .map(|(model, need)| (model, need, replicas(engines, model)))
        .filter(|(_, _, replicas)| 1 < *replicas)
        .map(|(model, need, replicas)| Pressure {
            model: model.clone(),
            load: need / (replicas - 1) as f64,
            replicas,
        })
        .collect();
    all.sort_by(|a, b| a.load.total_cmp(&b.load));
    all
}

fn load(engine: &Engine, model: &ModelId, reason: Reason) -> Move {
    Move { engine: engine.id.clone(), load: Some(model.clone()), unload: None, reason }
}

fn swap(engines: &[Engine], from: &ModelId, to: &ModelId, reason: Reason) -> Option<Move> {
    let fits = engines.iter().filter(|engine| engine.holds(from) && !engine.holds(to));
    let engine = quietest(fits)?;
    let (load, unload) = (Some(to.clone()), Some(from.clone()));
    Some(Move { engine: engine.id.clone(), load, unload, reason })
}

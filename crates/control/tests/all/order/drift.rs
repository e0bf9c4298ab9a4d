//! Compares placement that follows demand with a static placement, over a
//! simulated day.

use std::collections::BTreeMap;

use briarshift_control::order::plan::{self, Engine, ModelDemand, Reason};
use briarshift_units::ModelId;

use super::model;

const ENGINES: usize = 20;
const MODELS_PER_ENGINE: usize = 2;
const MODELS: usize = 6;
const HOURS: usize = 24;
/// Steps of the simulation, each one minute long.
const STEPS: usize = HOURS * 60;
/// Steps for which a model loads.
const LOAD_STEPS: usize = 3;
/// Steps for which the plan must propose a move for demand before it is made.
const MIN_PROPOSAL_STEPS: usize = 1;
/// Factor by which a demand estimate decays from one step to the next. It gives
/// a half-life of five steps.
const DECAY: f64 = 0.87;
/// The pool's capacity as a multiple of its mean demand.
const HEADROOM: f64 = 1.4;

/// The result of a simulated day.
#[derive(Debug)]
struct Summary {
    moves_per_hour: f64,
    unserved_share: f64,
}

fn name(number: usize) -> ModelId {
    model(&format!("m{number}"))
}

/// Returns the requests in a step, by model: a daily wave that peaks at another
/// hour for each model, and one surge of model 3.
fn demand(step: usize) -> ModelDemand {
    let wave = |number: usize| {
        let hours = step as f64 / 60.0 + 4.0 * number as f64;
        let wave = 1.0 + 0.8 * (hours * std::f64::consts::TAU / 24.0).sin();
        let surge = if number == 3 && (600..640).contains(&step) { 2.5 } else { 1.0 };
        100.0 * wave * surge
    };
    (0..MODELS).map(|number| (name(number), wave(number))).collect()
}

/// The simulated engines; `ready` has the models that are loading, by engine,
/// with the step at which they begin to serve.
struct Pool {
    engines: Vec<Engine>,
    ready: BTreeMap<usize, (ModelId, usize)>,
    moves: usize,
}

impl Pool {
    fn new() -> Self {
        let engine = |number: usize| Engine {
            id: format!("e{number}").parse().unwrap(),
            capacity: MODELS_PER_ENGINE,
            models: (0..MODELS_PER_ENGINE)
                .map(|slot| name((number * MODELS_PER_ENGINE + slot) % MODELS))
                .collect(),
            running: 0,
            order_pending: false,
        };
        Self { engines: (0..ENGINES).map(engine).collect(), ready: BTreeMap::new(), moves: 0 }
    }

    fn apply(&mut self, next: plan::Move, step: usize) {
        let index = self.engines.iter().position(|engine| engine.id == next.engine).unwrap();
        let engine = &mut self.engines[index];
        engine.models.retain(|model| Some(model) != next.unload.as_ref());
        engine.order_pending = true;
        if let Some(model) = next.load {
            engine.models.push(model.clone());
            self.ready.insert(index, (model, step + LOAD_STEPS));
            self.moves += 1;
        }
    }

    fn finish_loads(&mut self, step: usize) {
        self.ready.retain(|_, (_, ready)| step < *ready);
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.order_pending = self.ready.contains_key(&index);
        }
    }

    /// Returns the number of requests in a step that exceed the capacity of the
    /// replicas that serve their model.
    fn unserved(&self, demand: &ModelDemand, capacity: f64) -> f64 {
        let loading = |index: &usize, model: &ModelId| {
            self.ready.get(index).is_some_and(|(loading, _)| loading == model)
        };
        let serving = |model: &ModelId| {
            let holds = |index: &usize| self.engines[*index].models.contains(model);
            (0..ENGINES).filter(holds).filter(|index| !loading(index, model)).count()
        };
        let over =
            |(model, requests): (&ModelId, &f64)| requests - serving(model) as f64 * capacity;
        demand.iter().map(over).filter(|over| 0.0 < *over).sum()
    }
}

fn measure(follows_demand: bool) -> Summary {
    let mut pool = Pool::new();
    let mut estimate = demand(0);
    let capacity = HEADROOM * 100.0 * MODELS as f64 / (ENGINES * MODELS_PER_ENGINE) as f64;
    let (mut unserved, mut total, mut since) = (0.0, 0.0, 0);
    for step in 0..STEPS {
        pool.finish_loads(step);
        let demand = demand(step);
        for (model, requests) in &demand {
            let updated = estimate[model] * DECAY + requests * (1.0 - DECAY);
            estimate.insert(model.clone(), updated);
        }
        let next = plan::next_move(&pool.engines, &estimate).filter(|_| follows_demand);
        since = if next.is_some() { since + 1 } else { 0 };
        if let Some(next) =
            next.filter(|next| next.reason != Reason::Demand || MIN_PROPOSAL_STEPS < since)
        {
            since = 0;
            pool.apply(next, step);
        }
        unserved += pool.unserved(&demand, capacity);
        total += demand.values().sum::<f64>();
    }
    Summary { moves_per_hour: pool.moves as f64 / HOURS as f64, unserved_share: unserved / total }
}

#[test]
fn following_demand_leaves_less_unserved_than_a_static_placement() {
    let fixed = measure(false);
    let following = measure(true);
    println!("static {fixed:?}\nfollowing {following:?}");
    assert!(following.unserved_share < fixed.unserved_share / 4.0, "{fixed:?} {following:?}");
    assert!(following.moves_per_hour < 6.0, "{following:?}");
}

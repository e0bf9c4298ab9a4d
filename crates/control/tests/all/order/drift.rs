//! Placement that follows demand, against a static one, over a day.

use std::collections::BTreeMap;

use briarshift_control::order::plan::{self, Engine, ModelDemand, Reason};
use briarshift_units::ModelId;

use super::model;

const ENGINES: usize = 20;
const ROOM: usize = 2;
const MODELS: usize = 6;
const HOURS: usize = 24;
/// One step of the loop is a minute.
const STEPS: usize = HOURS * 60;
/// Steps that a model takes to load.
const LOAD_STEPS: usize = 3;
/// Steps that a move must stay worth making.
const DWELL_STEPS: usize = 1;
/// Share of a demand estimate that is kept from one step to the next: a
/// half-life of five.
const KEPT: f64 = 0.87;
/// The pool's capacity as a multiple of its mean demand.
const HEADROOM: f64 = 1.4;

/// What a placement cost and gave.
#[derive(Debug)]
struct Figures {
    moves_per_hour: f64,
    unserved_share: f64,
}

fn name(number: usize) -> ModelId {
    model(&format!("m{number}"))
}

/// Requests a minute: a daily wave whose peak comes at another hour for each
/// model, and one surge.
fn needs(step: usize) -> ModelDemand {
    let wave = |number: usize| {
        let hours = step as f64 / 60.0 + 4.0 * number as f64;
        let wave = 1.0 + 0.8 * (hours * std::f64::consts::TAU / 24.0).sin();
        let surge = if number == 3 && (600..640).contains(&step) { 2.5 } else { 1.0 };
        100.0 * wave * surge
    };
    (0..MODELS).map(|number| (name(number), wave(number))).collect()
}

/// Moves made, with the step at which a loaded model begins to serve.
struct Pool {
    engines: Vec<Engine>,
    ready: BTreeMap<usize, (ModelId, usize)>,
    moves: usize,
}

impl Pool {
    fn new() -> Self {
        let engine = |number: usize| Engine {
            id: format!("e{number}").parse().unwrap(),
            capacity: ROOM,
            models: (0..ROOM).map(|place| name((number * ROOM + place) % MODELS)).collect(),
            running: 0,
            order_pending: false,
        };
        Self { engines: (0..ENGINES).map(engine).collect(), ready: BTreeMap::new(), moves: 0 }
    }

    fn apply(&mut self, next: plan::Move, step: usize) {
        let place = self.engines.iter().position(|engine| engine.id == next.engine).unwrap();
        let engine = &mut self.engines[place];
        engine.models.retain(|model| Some(model) != next.unload.as_ref());
        engine.order_pending = true;
        if let Some(model) = next.load {
            engine.models.push(model.clone());
            self.ready.insert(place, (model, step + LOAD_STEPS));
            self.moves += 1;
        }
    }

    fn load(&mut self, step: usize) {
        self.ready.retain(|_, (_, ready)| step < *ready);
        for (place, engine) in self.engines.iter_mut().enumerate() {
            engine.order_pending = self.ready.contains_key(&place);
        }
    }

    /// Requests that no replica has room for, each place serving its share.
    fn unserved(&self, needs: &ModelDemand, capacity: f64) -> f64 {
        let loading = |place: &usize, model: &ModelId| {
            self.ready.get(place).is_some_and(|(loading, _)| loading == model)
        };
        let serving = |model: &ModelId| {
            let holds = |place: &usize| self.engines[*place].models.contains(model);
            (0..ENGINES).filter(holds).filter(|place| !loading(place, model)).count()
        };
        let over = |(model, need): (&ModelId, &f64)| need - serving(model) as f64 * capacity;
        needs.iter().map(over).filter(|over| 0.0 < *over).sum()
    }
}

fn measure(moves: bool) -> Figures {
    let mut pool = Pool::new();
    let mut estimate = needs(0);
    let capacity = HEADROOM * 100.0 * MODELS as f64 / (ENGINES * ROOM) as f64;
    let (mut unserved, mut total, mut since) = (0.0, 0.0, 0);
    for step in 0..STEPS {
        pool.load(step);
        let needs = needs(step);
        for (model, need) in &needs {
            let kept = estimate[model] * KEPT + need * (1.0 - KEPT);
            estimate.insert(model.clone(), kept);
        }
        let next = plan::next_move(&pool.engines, &estimate).filter(|_| moves);
        since = if next.is_some() { since + 1 } else { 0 };
        if let Some(next) = next.filter(|next| next.reason != Reason::Demand || DWELL_STEPS < since)
        {
            since = 0;
            pool.apply(next, step);
        }
        unserved += pool.unserved(&needs, capacity);
        total += needs.values().sum::<f64>();
    }
    Figures { moves_per_hour: pool.moves as f64 / HOURS as f64, unserved_share: unserved / total }
}

#[test]
fn following_demand_leaves_less_unserved_than_a_static_placement() {
    let fixed = measure(false);
    let following = measure(true);
    println!("static {fixed:?}\nfollowing {following:?}");
    assert!(following.unserved_share < fixed.unserved_share / 4.0, "{fixed:?} {following:?}");
    assert!(following.moves_per_hour < 6.0, "{following:?}");
}

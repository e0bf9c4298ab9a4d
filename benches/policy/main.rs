//! The routing policy, measured: cache reuse, skew, waits and control bytes.
//!
//! `cargo bench --bench policy` prints a table; `-- --json` one JSON line for
//! each scenario, policy and seed. `-- NAME...` runs only scenarios and
//! policies whose names are given, `-- --seed=N` only one seed; `-- --trace` prints
//! each decision of one run. Time is virtual: the placement reducers of N VMs are fed by a loop.

mod baseline;
mod document;
mod engine;
mod fleet;
mod measure;
mod oracle;
mod plot;
mod policy;
mod scenario;
mod table;
mod trouble;
mod world;

use std::rc::Rc;
use std::thread;

use baseline::{Baseline, Kind};
use fleet::Fleet;
use measure::Row;
use oracle::Oracle;
use policy::Maker;
use scenario::Scenario;
use world::World;

/// Seeds of the runs.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// Policies by name.
const POLICIES: [(&str, Maker); 7] = [
    ("random", |vms, document, seed| Baseline::make(Kind::Random, vms, document, seed)),
    ("least-loaded", |vms, document, seed| Baseline::make(Kind::LeastLoaded, vms, document, seed)),
    ("two-choices", |vms, document, seed| Baseline::make(Kind::TwoChoices, vms, document, seed)),
    ("rendezvous", |vms, document, seed| Baseline::make(Kind::Rendezvous, vms, document, seed)),
    ("bounded-rendezvous", |vms, document, seed| {
        Baseline::make(Kind::BoundedRendezvous, vms, document, seed)
    }),
    ("briarshift", Fleet::make),
    ("oracle", |_, _, _| Box::new(Oracle::default())),
];

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let has = |flag: &str| args.iter().any(|arg| arg == flag);
    let named = |names: &[&str], name: &str| {
        let some = args.iter().any(|arg| names.contains(&arg.as_str()));
        !some || has(name)
    };
    let trace = has("--trace");
    let mut named_seeds = args.iter().filter_map(|arg| arg.strip_prefix("--seed=")?.parse().ok());
    let one: Option<u64> = named_seeds.next().or(trace.then_some(SEEDS[0]));
    let scenario_names = scenario::ALL.map(|scenario| scenario.name);
    let policy_names = POLICIES.map(|(name, _)| name);
    let mut rows = Vec::new();
    if !has("--json") {
        table::head();
    }
    for scenario in scenario::ALL.iter().filter(|row| named(&scenario_names, row.name)) {
        for (_, make) in POLICIES.iter().filter(|(name, _)| named(&policy_names, name)) {
            let seeds = SEEDS.into_iter().filter(|seed| one.is_none_or(|one| one == *seed));
            let done = run(scenario, *make, &seeds.collect::<Vec<_>>(), trace);
            if has("--json") {
                for row in &done {
                    println!("{}", serde_json::to_string(row).expect("rows are plain"));
                }
            } else {
                table::line(&done);
            }
            rows.extend(done);
        }
    }
    if let Err(err) = plot::draw(&rows) {
        eprintln!("no plots: {err}");
    }
}

/// Runs all seeds, two at a time.
fn run(scenario: &'static Scenario, make: Maker, seeds: &[u64], trace: bool) -> Vec<Row> {
    let one = |seed: u64| {
        let document = Rc::new(document::document(scenario));
        World::run(scenario, make, &document, seed, trace)
    };
    let both = |pair: &[u64]| {
        thread::scope(|scope| {
            let runs: Vec<_> = pair.iter().map(|&seed| scope.spawn(move || one(seed))).collect();
            let done = runs.into_iter().map(|run| run.join().expect("a run does not panic"));
            done.collect::<Vec<_>>()
        })
    };
    seeds.chunks(2).flat_map(both).collect()
}

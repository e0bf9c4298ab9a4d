//! Compares the routing policy with baselines: cache reuse, skew, waits and control bytes.
//!
//! `cargo bench --bench policy` prints a table, `-- --json` one JSON line for each scenario, policy
//! and seed. `-- NAME...` runs only the scenarios and policies with these names, `-- --seed=N` only
//! one seed. `-- --trace` runs only the first seed, unless `--seed` names another, and prints
//! refusals, log records of the VMs and assignments above the load bound.
//!
//! Time is virtual: a discrete-event simulation calls the reservation reducers of all VMs.

mod baseline;
mod document;
mod engine;
mod fleet;
mod results;
mod oracle;
mod plot;
mod policy;
mod scenario;
mod table;
mod disturbance;
mod simulation;

use std::rc::Rc;
use std::thread;

use baseline::{Baseline, Kind};
use fleet::Fleet;
use oracle::Oracle;
use policy::Factory;
use results::Results;
use scenario::Scenario;
use simulation::Simulation;

/// Seeds of the runs.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// The policies by name.
const POLICIES: [(&str, Factory); 7] = [
    ("random", |vms, document, seed| Baseline::create(Kind::Random, vms, document, seed)),
    ("least-loaded", |vms, document, seed| {
        Baseline::create(Kind::LeastLoaded, vms, document, seed)
    }),
    ("two-choices", |vms, document, seed| Baseline::create(Kind::TwoChoices, vms, document, seed)),
    ("rendezvous", |vms, document, seed| Baseline::create(Kind::Rendezvous, vms, document, seed)),
    ("bounded-rendezvous", |vms, document, seed| {
        Baseline::create(Kind::BoundedRendezvous, vms, document, seed)
    }),
    ("briarshift", Fleet::create),
    ("oracle", |_, _, _| Box::new(Oracle::default())),
];

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let has_arg = |flag: &str| args.iter().any(|arg| arg == flag);
    let is_selected = |names: &[&str], name: &str| {
        let any_name_given = args.iter().any(|arg| names.contains(&arg.as_str()));
        !any_name_given || has_arg(name)
    };
    let trace = has_arg("--trace");
    let mut requested_seeds =
        args.iter().filter_map(|arg| arg.strip_prefix("--seed=")?.parse().ok());
    let only_seed: Option<u64> = requested_seeds.next().or(trace.then_some(SEEDS[0]));
    let scenario_names = scenario::ALL.map(|scenario| scenario.name);
    let policy_names = POLICIES.map(|(name, _)| name);
    let mut all_results = Vec::new();
    if !has_arg("--json") {
        table::print_header();
    }
    for scenario in
        scenario::ALL.iter().filter(|scenario| is_selected(&scenario_names, scenario.name))
    {
        for (_, create) in POLICIES.iter().filter(|(name, _)| is_selected(&policy_names, name)) {
            let seeds = SEEDS
                .into_iter()
                .filter(|seed| only_seed.is_none_or(|only_seed| only_seed == *seed));
            let results = run(scenario, *create, &seeds.collect::<Vec<_>>(), trace);
            if has_arg("--json") {
                for result in &results {
                    println!("{}", serde_json::to_string(result).expect("results are valid JSON"));
                }
            } else {
                table::print_line(&results);
            }
            all_results.extend(results);
        }
    }
    if let Err(err) = plot::draw(&all_results) {
        eprintln!("can't draw the plots: {err}");
    }
}

/// Runs a scenario with a policy for all seeds, two at a time.
fn run(scenario: &'static Scenario, create: Factory, seeds: &[u64], trace: bool) -> Vec<Results> {
    let run_seed = |seed: u64| {
        let document = Rc::new(document::build(scenario));
        Simulation::run(scenario, create, &document, seed, trace)
    };
    let run_pair = |pair: &[u64]| {
        thread::scope(|scope| {
            let runs: Vec<_> =
                pair.iter().map(|&seed| scope.spawn(move || run_seed(seed))).collect();
            let results = runs.into_iter().map(|run| run.join().expect("a run does not panic"));
            results.collect::<Vec<_>>()
        })
    };
    seeds.chunks(2).flat_map(run_pair).collect()
}

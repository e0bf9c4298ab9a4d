//! What second sends of late requests change for callers, and what they cost.

use briarshift_model::fleet;
use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::{Disturbance, Episode, slow_runners};
use briarshift_routing::hedge::Policy;
use briarshift_units::Span;

/// Index of the workload whose requests may be repeated.
const LOOKUP: usize = 1;

fn run(factor: f64, share: f64) -> Results {
    let results = fleet::run(&slow_runners(factor, Policy { share, ..Policy::OFF }), 1);
    let at = |quantile| results.duration_quantile(LOOKUP, quantile).as_millis();
    println!(
        "factor {factor} share {share}: p50 {} p95 {} p99 {} p999 {} ms, {} hedges of {} requests",
        at(0.5),
        at(0.95),
        at(0.99),
        at(0.999),
        results.hedges,
        results.request_count()
    );
    results
}

#[test]
fn hedges_cut_the_slowest_answers_within_their_limit() {
    let (without, with) = (run(10.0, 0.0), run(10.0, 0.02));
    assert_eq!(without.hedges, 0);
    assert!(0 < with.hedges);
    assert!(with.hedges as f64 <= 0.02 * with.request_count() as f64);
    let slowest = |results: &Results| results.duration_quantile(LOOKUP, 0.99);
    assert!(slowest(&with).0 * 2 < slowest(&without).0);
    assert!(without.share(None, Outcome::InTime) < with.share(None, Outcome::InTime));
}

/// Half of the runners are lost for a while, and the others have no room for hedges.
#[test]
fn hedges_lose_nothing_when_runners_are_lost() {
    let run = |share| {
        let mut scenario = slow_runners(2.5, Policy { share, ..Policy::OFF });
        scenario.episodes.push(Episode {
            disturbance: Disturbance::Crash { runners: true, count: 10 },
            start: Span::from_secs(20),
            duration: Span::from_secs(15),
        });
        fleet::run(&scenario, 1)
    };
    let (without, with) = (run(0.0), run(0.05));
    let unserved = |results: &Results| {
        results.share(None, Outcome::Failed) + results.share(None, Outcome::Refused)
    };
    println!("unserved: {} without hedges, {} with", unserved(&without), unserved(&with));
    assert!(unserved(&with) <= unserved(&without) + 0.001);
}

#[test]
fn little_slowness_costs_little() {
    let (without, with) = (run(2.5, 0.0), run(2.5, 0.02));
    assert!(with.hedges as f64 <= 0.02 * with.request_count() as f64);
    let slowest = |results: &Results| results.duration_quantile(LOOKUP, 0.99);
    assert!(slowest(&with) <= slowest(&without) + Span::from_millis(5));
}

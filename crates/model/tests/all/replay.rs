//! Simulations of a fleet with simulated targets. They check the service levels
//! that the operators' pages require.

use briarshift_model::fleet;
use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::{self, Scenario};
use briarshift_units::Span;

/// Maximum fraction of sends that reach an engine above the bound on its load.
const MAX_OVERLOADED_SHARE: f64 = 0.03;

/// Simulates a scenario. Checks the conditions that hold for all scenarios, and
/// that at least the fraction `in_time` of the requests is answered in time.
#[track_caller]
fn check(name: &str, in_time: f64) -> Results {
    let scenario = scenario::all().into_iter().find(|scenario| scenario.name == name);
    let results = fleet::run(&scenario.unwrap(), 1);
    assert!(0 < results.request_count());
    let overloaded = results.overloaded_sends as f64 / results.sends.max(1) as f64;
    assert!(
        overloaded <= MAX_OVERLOADED_SHARE,
        "{overloaded} of the sends reached an engine above the load bound"
    );
    let share = results.share(None, Outcome::InTime);
    assert!(in_time <= share, "only {share} of the requests were answered in time");
    results
}

#[test]
fn run_depends_only_on_scenario_and_seed() {
    let scenario = Scenario { duration: Span::from_secs(4), ..scenario::steady() };
    assert_eq!(fleet::run(&scenario, 3), fleet::run(&scenario, 3));
    assert_ne!(fleet::run(&scenario, 3), fleet::run(&scenario, 4));
}

#[test]
fn steady_load_is_served_in_time() {
    check("steady", 0.99);
}

/// Three times the load for six seconds, for which the engines have enough
/// capacity.
#[test]
fn burst_is_served_in_time() {
    check("burst", 0.95);
}

/// Two fifths of the longest prompts have the same topic. Several engines serve
/// it, and almost no send reaches an engine above the load bound.
#[test]
fn popular_topic_is_spread_over_engines() {
    let results = check("popular", 0.95);
    assert!(0.95 <= results.share(Some(0), Outcome::InTime));
}

/// A third of the engines crash. The requests that ran there are lost, and few
/// others.
#[test]
fn crash_loses_little_more_than_running_requests() {
    check("crash", 0.95);
}

/// More than half of the engines are replaced one after the other. The new engines
/// copy the cached parts from others instead of reading them again.
#[test]
fn release_rereads_little() {
    let baseline = check("steady", 0.99);
    let results = check("release", 0.99);
    assert!(
        results.reread_tokens * 10 <= baseline.shared_tokens,
        "{} of {}",
        results.reread_tokens,
        baseline.shared_tokens
    );
}

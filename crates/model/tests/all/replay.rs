//! The fleet before modelled targets: what the operators' pages ask of it.

use briarshift_model::fleet;
use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::{self, Scenario};
use briarshift_units::Span;

/// Of the sends to engines, so many may meet one above the bound on its load.
const OVER: f64 = 0.03;

/// Plays a scenario, checks what holds in all of them, and that this share of
/// the requests is answered in time.
#[track_caller]
fn check(name: &str, in_time: f64) -> Results {
    let scenario = scenario::all().into_iter().find(|scenario| scenario.name == name);
    let tally = fleet::run(&scenario.unwrap(), 1);
    assert!(0 < tally.request_count());
    let over = tally.overloaded_sends as f64 / tally.sends.max(1) as f64;
    assert!(over <= OVER, "{over} of the sends met an engine above the bound");
    let share = tally.share(None, Outcome::InTime);
    assert!(in_time <= share, "{share} in time");
    tally
}

#[test]
fn a_seed_fixes_a_run() {
    let scenario = Scenario { duration: Span::from_secs(4), ..scenario::steady() };
    assert_eq!(fleet::run(&scenario, 3), fleet::run(&scenario, 3));
    assert_ne!(fleet::run(&scenario, 3), fleet::run(&scenario, 4));
}

#[test]
fn steady_load_is_served_in_time() {
    check("steady", 0.99);
}

/// Three times the load for six seconds: the engines have room for it.
#[test]
fn a_burst_is_served_in_time() {
    check("burst", 0.95);
}

/// One thing gets two fifths of the longest prompts: several engines serve it,
/// and none of them is loaded above the bound.
#[test]
fn a_popular_thing_is_spread() {
    let tally = check("popular", 0.95);
    assert!(0.95 <= tally.share(Some(0), Outcome::InTime));
}

/// A third of the engines crash: what ran there is lost, and little else.
#[test]
fn a_crash_costs_what_ran_there() {
    check("crash", 0.95);
}

/// More than half of the engines are replaced one after the other: what they held
/// is taken over by others, not read again.
#[test]
fn a_release_reads_little_again() {
    let calm = check("steady", 0.99);
    let tally = check("release", 0.99);
    assert!(
        tally.reread_tokens * 10 <= calm.shared_tokens,
        "{} of {}",
        tally.reread_tokens,
        calm.shared_tokens
    );
}

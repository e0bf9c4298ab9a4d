//! Simulations of targets of unequal speed, against the choice by numbers of requests.

use briarshift_gateway::Features;
use briarshift_model::fleet;
use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::{self, Disturbance, Episode, Scenario, Speeds};
use briarshift_units::Span;

/// Maximum fraction of sends that reach a target above twice the mean load plus three.
const MAX_OVERLOADED_SHARE: f64 = 0.03;

/// The same scenario with the choice by numbers of requests.
fn by_counts(scenario: &Scenario) -> Scenario {
    let speeds = Speeds { are_stated: false, ..scenario.speeds };
    Scenario { features: Features::default(), speeds, ..scenario.clone() }
}

/// Returns the 99th percentile of the first workload in milliseconds, and the share in time.
fn figures(runs: &[Results]) -> (u64, f64) {
    let count = runs.len() as u64;
    let p99 = runs.iter().map(|run| run.duration_quantile(0, 0.99).as_millis()).sum::<u64>();
    let in_time = runs.iter().map(|run| run.share(None, Outcome::InTime)).sum::<f64>();
    (p99 / count, in_time / count as f64)
}

/// Simulates a scenario of runners with both choices, with the same seeds. The choice by
/// speed must be better, and no runner may get too much.
#[track_caller]
fn check(scenario: &Scenario) {
    let run = |scenario: &Scenario| -> Vec<_> {
        (1..=3).map(|seed| fleet::run(scenario, seed)).collect()
    };
    let (counts, speed) = (run(&by_counts(scenario)), run(scenario));
    let ((p99_before, before), (p99_after, after)) = (figures(&counts), figures(&speed));
    println!("p99 {p99_before} ms -> {p99_after} ms, in time {before:.4} -> {after:.4}");
    assert!(p99_after <= p99_before, "{p99_before} ms -> {p99_after} ms");
    assert!(before <= after, "{before} -> {after}");
    let sends: u64 = speed.iter().map(|run| run.runner_sends).sum();
    let over: u64 = speed.iter().map(|run| run.overloaded_runner_sends).sum();
    assert!(over as f64 <= MAX_OVERLOADED_SHARE * sends as f64, "{over} of {sends}");
}

fn uneven(vms: usize) -> Scenario {
    Scenario { duration: Span::from_secs(16), ..scenario::uneven(vms) }
}

/// VMs hear of loads by relays, so that these are older than the requests.
#[test]
fn passing_slowness_is_avoided_by_66_vms() {
    check(&uneven(66));
}

#[test]
fn passing_slowness_is_avoided_by_36_vms() {
    check(&uneven(36));
}

#[test]
fn a_slow_quarter_of_the_runners_is_learned() {
    let speeds = Speeds { runners: &[1.0, 1.0, 1.0, 2.0], passing: None, ..uneven(66).speeds };
    check(&Scenario { speeds, ..uneven(66) });
}

/// Half of the callers of two data centres come to the third one's VMs.
#[test]
fn a_shift_of_callers_makes_no_herd() {
    let episode = Episode {
        disturbance: Disturbance::Shift { share: 0.5 },
        start: Span::from_secs(4),
        duration: Span::from_secs(8),
    };
    check(&Scenario { episodes: vec![episode], ..uneven(66) });
}

/// Engines of two makes and a topic that gets two fifths of the longest prompts: parts are
/// read again no more often than with the choice by counts.
#[test]
fn a_popular_topic_on_engines_of_two_makes_is_served_in_time() {
    let episode = Episode {
        disturbance: Disturbance::Popular { share: 0.4 },
        start: Span::from_secs(2),
        duration: Span::from_secs(5),
    };
    let duration = Span::from_secs(8);
    let scenario = Scenario { episodes: vec![episode], duration, ..scenario::two_makes(36) };
    let (counts, speed) = (fleet::run(&by_counts(&scenario), 1), fleet::run(&scenario, 1));
    let in_time = speed.share(None, Outcome::InTime);
    assert!(0.99 <= in_time, "{in_time}");
    assert_eq!(speed.share(None, Outcome::Refused), 0.0);
    assert!(speed.reread_tokens <= counts.reread_tokens * 11 / 10);
    let over = speed.overloaded_sends as f64 / speed.sends as f64;
    assert!(over <= MAX_OVERLOADED_SHARE, "{over}");
}

/// Engines with little memory under twice the load, a third of them lost: requests wait
/// less, and fewer reach an engine that has no memory for them.
#[track_caller]
fn check_little_memory(vms: usize, hint_error: f64) {
    let scenario = Scenario { hint_error: Some(hint_error), ..scenario::little_memory(vms) };
    let (counts, room) = (fleet::run(&by_counts(&scenario), 1), fleet::run(&scenario, 1));
    let share = |run: &Results, outcome| run.share(None, outcome);
    let (before, after) = (share(&counts, Outcome::InTime), share(&room, Outcome::InTime));
    let overfull = |run: &Results| run.overfull_sends as f64 / run.sends as f64;
    println!("in time {before:.4} -> {after:.4}, refused {:.4}", share(&room, Outcome::Refused));
    println!("overfull {:.3} -> {:.3}", overfull(&counts), overfull(&room));
    assert!(before <= after, "{before} -> {after}");
    assert!(overfull(&room) <= overfull(&counts));
    assert!(share(&room, Outcome::Refused) <= 0.01);
}

#[test]
fn engines_with_little_memory_are_not_overfilled_by_6_vms() {
    check_little_memory(6, 0.5);
}

#[test]
fn engines_with_little_memory_are_not_overfilled_by_36_vms() {
    check_little_memory(36, 0.5);
}

/// Hints are often ten times too high or too low.
#[test]
fn wrong_hints_do_no_harm() {
    check_little_memory(36, 2.3);
}

//! The estimate of answer times, the limit over all VMs, and each reason against a hedge.

use briarshift_routing::hedge::{
    Condition, Denial, Estimate, Policy, Waiting, Window, may_hedge, with_room,
};
use briarshift_routing::selection::Candidate;
use briarshift_units::{Moment, Span};
use proptest::prelude::prop;
use proptest::proptest;

const POLICY: Policy = Policy { share: 0.1, ..Policy::OFF };

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

#[test]
fn few_answers_give_no_estimate() {
    let mut estimate = Estimate::new(at(0));
    for _ in 0..19 {
        estimate.record_answer(Span::from_millis(10), at(0));
    }
    assert_eq!(estimate.quantile(0.95, at(0)), None);
    estimate.record_answer(Span::from_millis(10), at(0));
    assert!(estimate.quantile(0.95, at(0)).is_some());
    // A hundredth of twenty answers is not known.
    assert_eq!(estimate.quantile(0.99, at(0)), None);
    assert_eq!(estimate.quantile(0.95, at(10_000)), None);
}

#[test]
fn the_estimate_follows_a_pool_that_becomes_slower() {
    let mut estimate = Estimate::new(at(0));
    for step in 0..600 {
        let time = if step < 300 { 20 } else { 200 };
        estimate.record_answer(Span::from_millis(time), at(step * 100));
    }
    let half = estimate.quantile(0.5, at(60_000)).unwrap();
    assert!(Span::from_millis(200) <= half && half < Span::from_millis(230), "{half}");
}

/// Half of the answers take more than 32 ms and some almost a second, and each send that has waited for the estimate is given up
/// because another send was answered.
fn estimate_with_hedges(count_unanswered: bool) -> Span {
    let mut estimate = Estimate::new(at(0));
    for step in 0..20_000 {
        let now = at(step * 50);
        let rank = (step * 37 % 100) as f64 / 100.0;
        let time = Span::from_millis(1_000_f64.powf(rank) as u64);
        match estimate.quantile(0.95, now) {
            Some(late_after) if late_after < time => {
                if count_unanswered {
                    estimate.record_unanswered(late_after, now);
                }
            }
            _ => estimate.record_answer(time, now),
        }
    }
    estimate.quantile(0.95, at(20_000 * 50)).unwrap()
}

#[test]
fn hedging_does_not_shrink_its_own_estimate() {
    let (counted, ignored) = (estimate_with_hedges(true), estimate_with_hedges(false));
    assert!(Span::from_millis(600) <= counted, "{counted}");
    assert!(ignored < Span::from_millis(300), "{ignored}");
}

#[test]
fn a_share_of_zero_is_off() {
    let mut window = Window::default();
    for _ in 0..10_000 {
        window.record_request(&Policy::OFF, at(0));
    }
    assert!(!window.withdraw(&Policy::OFF, at(0)));
}

#[test]
fn a_window_of_another_length_starts_empty() {
    let mut window = Window::default();
    for _ in 0..100 {
        window.record_request(&POLICY, at(0));
    }
    let longer = Policy { window: Span::from_secs(60), ..POLICY };
    assert!(!window.has_left(&longer, at(0)));
}

proptest! {
    /// However requests are spread over six VMs, and whichever VMs stop for a while,
    /// all of them together hedge at most the share of the requests of a window and the
    /// one before it, and of all requests.
    #[test]
    fn the_limit_holds_over_all_vms(
        steps in prop::collection::vec((0..6_usize, 0..40_u64, 0..4_u32), 100..3_000),
        cut_off in 0..6_usize,
    ) {
        let mut windows = vec![Window::default(); 6];
        let (mut requests, mut hedges, mut now) = (Vec::new(), Vec::<Moment>::new(), at(0));
        for (step, (vm, wait, wanted)) in steps.into_iter().enumerate() {
            now = now + Span::from_millis(wait);
            // Three in four requests arrive at the first two VMs.
            let vm = if step % 4 < 3 { vm % 2 } else { vm };
            if vm == cut_off && step % 1_000 < 500 {
                continue;
            }
            windows[vm].record_request(&POLICY, now);
            requests.push(now);
            for _ in 0..wanted {
                if windows[vm].withdraw(&POLICY, now) {
                    hedges.push(now);
                }
            }
            let within = |times: &[Moment], length: Span| {
                times.iter().filter(|at| now.since(**at) < length).count() as f64
            };
            let two_windows = POLICY.window + POLICY.window;
            assert!(
                within(&hedges, POLICY.window) <= POLICY.share * within(&requests, two_windows)
            );
            assert!(hedges.len() as f64 <= POLICY.share * requests.len() as f64);
        }
    }
}

const WAITING: Waiting = Waiting {
    is_idempotent: true,
    has_begun: false,
    is_suspect: false,
    age: Span::from_millis(90),
    time_left: Span::from_millis(100),
    attempts_left: 1,
};
const CONDITION: Condition = Condition {
    is_draining: false,
    is_fresh: true,
    has_left: true,
    late_after: Some(Span::from_millis(90)),
    typical: Some(Span::from_millis(60)),
};

#[track_caller]
fn check(change: impl FnOnce(&mut Waiting, &mut Condition), denial: Denial) {
    let (mut waiting, mut condition) = (WAITING, CONDITION);
    change(&mut waiting, &mut condition);
    assert_eq!(may_hedge(&waiting, &condition), Err(denial));
}

#[test]
fn each_obstacle_has_its_reason() {
    assert_eq!(may_hedge(&WAITING, &CONDITION), Ok(()));
    check(|waiting, _| waiting.is_idempotent = false, Denial::NotIdempotent);
    check(|waiting, _| waiting.has_begun = true, Denial::Began);
    check(|waiting, _| waiting.is_suspect = true, Denial::Suspect);
    check(|_, condition| condition.is_draining = true, Denial::Draining);
    check(|_, condition| condition.is_fresh = false, Denial::Stale);
    check(|waiting, _| waiting.age = Span::from_millis(89), Denial::Early);
    check(|_, condition| condition.late_after = None, Denial::Early);
    check(|waiting, _| waiting.attempts_left = 0, Denial::Attempts);
    check(|waiting, _| waiting.time_left = Span::from_millis(60), Denial::TimeLeft);
    check(|_, condition| condition.has_left = false, Denial::Limit);
}

#[test]
fn only_healthy_targets_with_free_slots_have_room() {
    let candidate = |name, load, healthy| Candidate {
        name,
        load,
        backlog: 0,
        slots: 8,
        local: true,
        healthy,
        error_rate: 0.0,
    };
    let given = vec![candidate("a", 5, true), candidate("b", 4, true), candidate("c", 0, false)];
    let names: Vec<_> = with_room(given).unwrap().iter().map(|it| it.name).collect();
    assert_eq!(names, ["b"]);
    assert_eq!(with_room(Vec::new()), Err(Denial::NoTarget));
    assert_eq!(with_room(vec![candidate("a", 5, true)]), Err(Denial::NoTarget));
    assert_eq!(with_room(vec![candidate("a", 6, true)]), Err(Denial::Overload));
}

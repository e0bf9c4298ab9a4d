//! Targets over several real reducers, with faults as events.

use briarshift_control::{Context, Effect, Identity, Output, target};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::{Failure, LoadReport};
use briarshift_units::{Moment, Span, StartNumber, WallTime};
use proptest::prelude::*;

use crate::member_fleet::{Fleet, cases};

/// After this no VM gives a leaving target new work.
const LEAVE: Span = Span::from_secs(3);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    #[test]
    fn leaving_target_gets_no_work_after_three_seconds(
        seed in any::<u64>(),
        vms in 1usize..=24,
        by_list in any::<bool>(),
        killed in any::<Option<usize>>(),
        cut in any::<Option<(usize, usize)>>(),
        loss in 0u64..10,
    ) {
        let mut fleet = Fleet::settled(seed, vms, 6, 3);
        prop_assert_eq!(fleet.givers(0).len(), vms);
        fleet.loss = loss;
        fleet.lag = Span::from_millis(500);
        // A poller may die, and two VMs may be cut off from each other, at the
        // very moment; the others still hear of it.
        if let Some(killed) = killed.filter(|_| 1 < vms) {
            fleet.kill(killed % vms);
        }
        if let Some((a, b)) = cut.filter(|_| 3 < vms) {
            let (a, b) = (a % vms, b % vms);
            fleet.cut(|from| from == a || from == b, |to| to == a || to == b);
        }
        if by_list {
            fleet.engines[0].standing = Status::Leaving;
        } else {
            fleet.engines[0].report.leaving = true;
        }
        fleet.run(LEAVE);
        let mut late = Vec::new();
        for _ in 0..250 {
            late.extend(fleet.givers(0));
            fleet.tick();
        }
        prop_assert_eq!(late, Vec::<usize>::new());
    }

    #[test]
    fn leaving_is_sticky_until_a_new_start(seed in any::<u64>(), vms in 1usize..=9) {
        let mut fleet = Fleet::settled(seed, vms, 3, 3);
        fleet.engines[0].report.leaving = true;
        fleet.run(LEAVE);
        fleet.engines[0].report.leaving = false;
        fleet.run(Span::from_secs(5));
        prop_assert_eq!(fleet.givers(0), Vec::<usize>::new());
        fleet.engines[0].report.start = StartNumber(fleet.engines[0].report.start.0 + 1);
        fleet.run(Span::from_secs(4));
        prop_assert_eq!(fleet.givers(0).len(), vms);
    }
}

#[test]
fn each_target_has_one_poller() {
    let mut fleet = Fleet::settled(3, 12, 12, 3);
    let mut polls = std::collections::BTreeMap::<String, std::collections::BTreeSet<usize>>::new();
    for _ in 0..100 {
        fleet.tick();
        for index in 0..12 {
            let state = fleet.nodes[index].state.as_mut().unwrap();
            for target in state.targets().all().filter(|target| target.is_polled_here()) {
                polls.entry(target.id.to_string()).or_default().insert(index);
            }
        }
    }
    assert_eq!(polls.len(), 12);
    for (target, pollers) in polls {
        assert_eq!(pollers.len(), 1, "{target}: {pollers:?}");
    }
}

#[test]
fn loads_reach_every_vm_within_three_seconds() {
    let mut fleet = Fleet::settled(3, 12, 23, 3);
    for (index, engine) in fleet.engines.iter_mut().enumerate() {
        engine.report.running = 100 + index as u32;
    }
    fleet.run(Span::from_secs(3));
    for node in &fleet.nodes {
        for (index, engine) in fleet.engines.iter().enumerate() {
            let state = node.state.as_ref().unwrap();
            let report = state.targets().get(&engine.id).unwrap().report.as_ref().unwrap();
            assert_eq!(report.running, 100 + index as u32, "{} at {}", engine.id, node.vm);
        }
    }
}

#[test]
fn dead_target_is_known_everywhere_and_taken_back_when_it_returns() {
    let mut fleet = Fleet::settled(3, 12, 6, 3);
    fleet.engines[0].up = false;
    fleet.run(Span::from_secs(5));
    assert_eq!(fleet.givers(0).len(), 0);
    fleet.engines[0].up = true;
    fleet.run(Span::from_secs(4));
    assert_eq!(fleet.givers(0).len(), 12);
}

#[test]
fn flapping_target_is_held_back_longer_each_time() {
    let mut fleet = Fleet::settled(3, 1, 1, 1);
    let mut out = Vec::new();
    for _ in 0..4 {
        fleet.engines[0].up = false;
        fleet.run(Span::from_secs(4));
        fleet.engines[0].up = true;
        let back = fleet.now;
        while fleet.givers(0).is_empty() {
            fleet.tick();
        }
        out.push(fleet.now.since(back));
    }
    assert!(out.windows(2).all(|pair| pair[0] < pair[1]), "{out:?}");
    assert!(Span::from_secs(4) <= out[3], "{out:?}");
}

#[test]
fn target_gone_from_the_list_and_silent_is_forgotten() {
    let mut fleet = Fleet::settled(3, 3, 2, 3);
    let gone = fleet.engines.pop().unwrap();
    let knows = |fleet: &Fleet| {
        let state = fleet.nodes[0].state.as_ref().unwrap();
        state.targets().get(&gone.id).is_some()
    };
    fleet.run(Span::from_secs(10));
    assert!(knows(&fleet));
    fleet.run(Span::from_secs(60));
    assert!(!knows(&fleet));
}

fn identity() -> Identity {
    Identity {
        vm: "vm-0".parse().unwrap(),
        start: StartNumber(1),
        data_centre: "dc-0".parse().unwrap(),
        address: "127.0.0.1:4000".parse().unwrap(),
        environment: "trial".into(),
        token_key: [0; 32],
    }
}

/// One VM that was told of an engine, asked it, and then suspects it; with
/// the answer of the poll that follows, if any.
fn check_suspect(answer: Option<Result<LoadReport, Failure>>, takes_work: bool) {
    let me = identity();
    let ctx = Context { at: Moment(1), wall: WallTime(0), entropy: 1, me: &me };
    let (mut state, mut out) = (target::State::default(), Output::default());
    let id = "engine-0".parse().unwrap();
    let row = ListedVm {
        vm: "engine-0".parse().unwrap(),
        role: Role::Target { pool: "chat".parse().unwrap() },
        data_centre: "dc-0".parse().unwrap(),
        address: "127.0.0.1:5000".parse().unwrap(),
        status: Status::Live,
    };
    state.handle_list(&ctx, &[row], &mut out);
    state.handle_report(
        &ctx,
        &id,
        Ok(LoadReport { start: StartNumber(1), ..LoadReport::default() }),
        &mut out,
    );
    assert!(state.get(&id).unwrap().takes_work());
    out.effects.clear();
    state.suspect(&ctx, &id, &mut out);
    assert!(out.effects.iter().any(|effect| matches!(effect, Effect::Poll { .. })));
    if let Some(answer) = answer {
        state.handle_report(&ctx, &id, answer, &mut out);
    }
    assert_eq!(state.get(&id).unwrap().takes_work(), takes_work);
}

#[test]
fn suspected_target_takes_no_work_until_its_poll_answers() {
    check_suspect(None, false);
}

#[test]
fn suspected_target_that_answers_is_used_again() {
    check_suspect(Some(Ok(LoadReport { start: StartNumber(1), ..LoadReport::default() })), true);
}

#[test]
fn suspected_target_that_does_not_answer_is_out() {
    check_suspect(Some(Err(Failure::NotSent("gone".into()))), false);
}

#[test]
fn list_that_lags_over_a_restart_does_not_keep_the_new_process_out() {
    let mut fleet = Fleet::settled(3, 3, 2, 3);
    fleet.lag = Span::from_secs(4);
    fleet.engines[0].standing = Status::Leaving;
    fleet.run(Span::from_secs(6));
    assert_eq!(fleet.givers(0).len(), 0);
    fleet.engines[0].report.start = StartNumber(fleet.engines[0].report.start.0 + 1);
    fleet.engines[0].standing = Status::Live;
    fleet.run(Span::from_secs(8));
    assert_eq!(fleet.givers(0).len(), 3);
}

//! Bookings run at most once, and callers are told "not run" only if that is
//! true.

use std::collections::BTreeMap;

use briarshift_control::request::{Outcome, Reason};
use briarshift_units::{RequestId, Span};
use proptest::prelude::{
    ProptestConfig, Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest,
};

use crate::world::{Document, Faults, Response, World, booking, desk};

const VMS: usize = 3;

/// One action of a script.
#[derive(Debug, Clone)]
enum Action {
    Send { vm: usize, account: usize, key: u8 },
    Vanish,
    Kill(usize),
    Start(usize),
    Freeze(usize, u64),
    Outage(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        10 => (0..VMS, 0..2_usize, 0..3_u8)
            .prop_map(|(vm, account, key)| Action::Send { vm, account, key }),
        1 => any::<bool>().prop_map(|_| Action::Vanish),
        1 => (0..VMS).prop_map(Action::Kill),
        2 => (0..VMS).prop_map(Action::Start),
        1 => (0..VMS, 1..40_000_u64).prop_map(|(vm, millis)| Action::Freeze(vm, millis)),
        1 => (1..10_000_u64).prop_map(Action::Outage),
    ]
}

fn script() -> impl Strategy<Value = Vec<(u64, Action)>> {
    let pause = prop_oneof![3 => 0..20_u64, 2 => 20..400_u64, 1 => 400..5_000_u64];
    prop::collection::vec((pause, action()), 1..25)
}

fn faults() -> impl Strategy<Value = Faults> {
    (0..30_u64, 0..30_u64, 0..20_u64, 0..20_u64, 0..30_u64).prop_map(
        |(lost_replies, slow_replies, late_writes, refusals, broken_runs)| Faults {
            lost_replies,
            slow_replies,
            late_writes,
            refusals,
            broken_runs,
        },
    )
}

/// Runs a script of pauses in milliseconds and actions. Returns the VM, account
/// and key of each request.
fn play(world: &mut World, script: &[(u64, Action)]) -> BTreeMap<u64, (usize, usize, u8)> {
    let mut sent = BTreeMap::new();
    for (request, (pause, action)) in script.iter().enumerate() {
        world.run(*pause);
        let request = request as u64;
        match *action {
            Action::Send { vm, account, key } => {
                sent.insert(request, (vm, account, key));
                world.send(vm, booking(request, account, &format!("k-{key}"), "body"));
            }
            Action::Vanish => {
                if let Some((request, (vm, ..))) = sent.last_key_value() {
                    world.disconnect(*vm, RequestId(*request));
                }
            }
            Action::Kill(vm) => world.kill(vm),
            Action::Start(vm) => world.start(vm),
            Action::Freeze(vm, millis) => world.freeze(vm, Span::from_millis(millis)),
            Action::Outage(millis) => world.store_outage(Span::from_millis(millis)),
        }
    }
    sent
}

/// Returns the requests that ran for each account and key according to the
/// runners' logs.
fn runs(
    world: &World,
    sent: &BTreeMap<u64, (usize, usize, u8)>,
) -> BTreeMap<(usize, u8), Vec<u64>> {
    let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for run in &world.runs {
        let (_, account, key) = sent[&run.id.request.0];
        runs.entry((account, key)).or_default().push(run.id.request.0);
    }
    runs
}

proptest! {
    #[test]
    fn under_any_faults_a_booking_runs_at_most_once(
        script in script(),
        seed in any::<u64>(),
        faults in faults(),
    ) {
        let mut world = World::new(VMS, 3, 0, seed, faults);
        let sent = play(&mut world, &script);
        // Long enough for late writes, for frozen VMs to continue, and for all
        // retries.
        world.run(60_000);
        let runs = runs(&world, &sent);
        for (key, requests) in &runs {
            prop_assert!(requests.len() <= 1, "{:?} ran for {:?}", key, requests);
        }
        prop_assert_eq!(world.verify_not_run(), Ok(()));
        for (request, response) in &world.responses {
            let (Response::Completed(bytes) | Response::Replayed(bytes)) = response else {
                continue;
            };
            let (_, account, key) = sent[&request.0];
            let run = world.runs.iter().find(|run| run.id.request.0 == runs[&(account, key)][0]);
            prop_assert_eq!(bytes, &crate::world::response_body(run.unwrap().id));
        }
    }

    #[test]
    fn without_faults_each_booking_runs_once_and_is_answered(
        sends in prop::collection::vec((0..400_u64, 0..VMS, 0..2_usize, 0..4_u8), 1..20),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(VMS, 3, 0, seed, Faults::default());
        let script: Vec<_> = sends
            .iter()
            .map(|&(pause, vm, account, key)| (pause, Action::Send { vm, account, key }))
            .collect();
        let sent = play(&mut world, &script);
        world.run(5_000);
        let runs = runs(&world, &sent);
        for (request, (_, account, key)) in &sent {
            let ran = &runs[&(*account, *key)];
            prop_assert_eq!(ran.len(), 1);
            let response = world.responses.get(&RequestId(*request));
            let run = world.runs.iter().find(|run| run.id.request.0 == ran[0]).unwrap();
            let bytes = crate::world::response_body(run.id);
            let want = if ran[0] == *request {
                Response::Completed(bytes)
            } else {
                Response::Replayed(bytes)
            };
            prop_assert_eq!(response, Some(&want));
        }
        prop_assert_eq!(world.booking_rows(), runs.len());
    }
}

proptest! {
    // Fewer cases, because each one runs for three minutes of virtual time.
    #![proptest_config(ProptestConfig::with_cases(ProptestConfig::default().cases.div_ceil(4)))]
    #[test]
    fn resends_get_the_response_that_the_caller_got(
        script in script(),
        seed in any::<u64>(),
        faults in faults(),
    ) {
        let lives = |action: &Action| !matches!(action, Action::Kill(_) | Action::Start(_));
        let script: Vec<_> = script.into_iter().filter(|(_, action)| lives(action)).collect();
        let mut world = World::new(VMS, 3, 0, seed, faults);
        let sent = play(&mut world, &script);
        world.run(60_000);
        world.faults = Faults::default();
        world.tick = Span::from_millis(200);
        world.run(120_000);
        world.tick = Span::from_millis(50);
        let answered = world.responses.clone().into_iter();
        for (request, response) in answered {
            let (Response::Completed(bytes) | Response::Replayed(bytes)) = response else {
                continue;
            };
            let (vm, account, key) = sent[&request.0];
            let resend = 1_000 + request.0;
            world.send((vm + 1) % VMS, booking(resend, account, &format!("k-{key}"), "body"));
            world.run(5_000);
            prop_assert_eq!(
                world.responses.get(&RequestId(resend)),
                Some(&Response::Replayed(bytes))
            );
        }
        // Unused claims are deleted. The remaining ones belong to bookings that
        // ran or may have run.
        let ran: std::collections::BTreeSet<_> =
            world.runs.iter().map(|run| run.id.request.0 % 1_000).map(|r| {
                let (_, account, key) = sent[&r];
                (account, key)
            }).collect();
        prop_assert_eq!(world.booking_rows(), ran.len());
    }
}

fn refusal(world: &World, request: u64) -> (Reason, Outcome) {
    match world.responses.get(&RequestId(request)) {
        Some(Response::Refused(refusal)) => (refusal.reason.clone(), refusal.outcome),
        response => panic!("{request} was answered with {response:?}"),
    }
}

#[test]
fn while_the_store_is_down_bookings_are_refused_promptly_as_not_run() {
    let mut world = World::new(1, 1, 0, 1, Faults::default());
    world.store_outage(Span::from_secs(60));
    for request in 0..20 {
        world.send(0, booking(request, 0, &format!("k-{request}"), "body"));
        world.run(3_000);
        assert_eq!(refusal(&world, request), (Reason::ClaimFailed, Outcome::NotRun));
    }
    assert!(world.runs.is_empty());
    world.run(30_000);
    world.send(0, booking(99, 0, "k-0", "body"));
    world.run(1_000);
    assert!(
        matches!(world.responses[&RequestId(99)], Response::Completed(_)),
        "{:?}",
        world.responses[&RequestId(99)]
    );
}

#[test]
fn another_body_or_another_account_never_gets_a_bookings_response() {
    let mut world = World::new(2, 1, 0, 1, Faults::default());
    world.send(0, booking(1, 0, "k", "body"));
    world.run(1_000);
    world.send(1, booking(2, 0, "k", "other"));
    world.send(1, booking(3, 1, "k", "body"));
    world.run(1_000);
    assert_eq!(refusal(&world, 2), (Reason::KeyReused, Outcome::NotRun));
    assert!(matches!(world.responses[&RequestId(3)], Response::Completed(_)));
}

#[test]
fn resend_of_a_failed_vms_booking_is_unknown_and_never_runs() {
    let mut world = World::new(2, 1, 0, 1, Faults::default());
    world.send(0, booking(1, 0, "k", "body"));
    world.run_until(|world| world.booking_rows() == 1);
    world.kill(0);
    world.send(1, booking(2, 0, "k", "body"));
    world.run(5_000);
    assert_eq!(refusal(&world, 2), (Reason::OutcomeUnknown, Outcome::Unknown));
    assert!(world.runs.len() <= 1);
}

#[test]
fn vm_suspended_after_its_claim_sends_nothing() {
    let mut world = World::new(1, 1, 0, 1, Faults::default());
    world.send(0, booking(1, 0, "k", "body"));
    // The claim is written, but the VM is suspended when the reply arrives.
    world.freeze(0, Span::from_secs(20));
    world.run(25_000);
    assert_eq!(refusal(&world, 1), (Reason::ClaimFailed, Outcome::NotRun));
    assert!(world.runs.is_empty());
    world.send(0, booking(2, 0, "k", "body"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(2)], Response::Completed(_)));
}

#[test]
fn booking_of_a_disconnected_caller_runs_to_its_end() {
    let mut world = World::new(2, 1, 0, 1, Faults::default());
    world.send(0, booking(1, 0, "k", "body"));
    world.run_until(|world| world.runs.len() == 1);
    world.disconnect(0, RequestId(1));
    world.run(1_000);
    world.send(1, booking(2, 0, "k", "body"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(2)], Response::Replayed(_)));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn resend_is_answered_from_the_stored_response_if_no_runner_is_available() {
    let mut world = World::new(1, 1, 0, 1, Faults::default());
    world.send(0, booking(1, 0, "k", "poison"));
    world.run(1_000);
    // Another request crashes the only runner.
    world.poison_body = Some(crate::world::digest("crash"));
    world.send(0, desk(2, 0, "GET", "stock", None, "crash"));
    world.run(200);
    assert_eq!(world.crashes.len(), 1);
    world.send(0, booking(3, 0, "k", "poison"));
    world.send(0, booking(4, 0, "k-4", "body"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(3)], Response::Replayed(_)));
    assert_eq!(refusal(&world, 4), (Reason::NoTarget, Outcome::NotRun));
}

#[test]
fn responses_are_kept_for_the_retention_time_and_then_deleted() {
    let mut world =
        World::with_document(1, 1, 0, 1, Document { retention_s: 100, ..Document::default() });
    for n in 0..30 {
        world.send(0, booking(n, 0, &format!("k-{n}"), "body"));
        world.run(4_000);
    }
    // The first response was stored 120 s ago, the one at 24 s less than 100 s
    // ago.
    world.send(0, booking(100, 0, "k-6", "body"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(100)], Response::Replayed(_)));
    world.run(126_000);
    world.send(0, booking(101, 0, "k-101", "body"));
    world.run(1_000);
    assert_eq!(world.booking_rows(), 1);
}

#[test]
fn claim_that_takes_effect_after_its_refusal_is_found_and_deleted() {
    let mut world = World::new(1, 1, 0, 1, Faults { late_writes: 100, ..Faults::default() });
    world.send(0, booking(1, 0, "k", "body"));
    world.run(2_500);
    assert_eq!(refusal(&world, 1), (Reason::ClaimFailed, Outcome::NotRun));
    world.faults = Faults::default();
    world.run(180_000);
    assert_eq!(world.booking_rows(), 0);
    assert!(world.runs.is_empty());
    world.send(0, booking(2, 0, "k", "body"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(2)], Response::Completed(_)));
}

#[test]
fn late_delete_of_an_unused_claim_keeps_the_next_claim() {
    let mut world = World::new(2, 1, 0, 1, Faults::default());
    world.refusing_targets = vec!["desk-0".parse().unwrap()];
    world.send(0, booking(1, 0, "k", "body"));
    world.run_until(|world| world.sends == 1);
    world.faults.late_writes = 100;
    world.run_until(|world| world.responses.contains_key(&RequestId(1)));
    assert_eq!(refusal(&world, 1).1, Outcome::NotRun);
    world.faults.late_writes = 0;
    world.refusing_targets.clear();
    world.run_until(|world| world.booking_rows() == 0);
    world.send(1, booking(2, 0, "k", "body"));
    world.run(30_000);
    world.send(0, booking(3, 0, "k", "body"));
    world.run(5_000);
    assert!(
        matches!(world.responses[&RequestId(3)], Response::Replayed(_)),
        "{:?}",
        world.responses
    );
    assert_eq!(world.runs.len(), 1);
}

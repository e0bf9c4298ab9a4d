//! Requests that crash their targets, and the innocents beside them.

use std::net::SocketAddr;

use briarshift_control::request::{Outcome, Reason};
use briarshift_control::{Context, Identity, Output, Scope, Signal, member, poison, target};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::LoadReport;
use briarshift_units::{Fingerprint, Moment, RequestId, Span, StartNumber, WallTime};
use briarshift_wire::poison::Trial;
use proptest::prelude::{Just, any, prop, prop_assert, prop_assert_eq, proptest};

use crate::world::{Faults, Response, World, chat, desk, digest};

const CRASH: &str = "crash";

fn world(vms: usize, engines: usize, seed: u64) -> World {
    let mut world = World::new(vms, 3, engines, seed, Faults::default());
    world.poison_body = Some(digest(CRASH));
    world
}

fn reason(world: &World, request: u64) -> Option<Reason> {
    match world.responses.get(&RequestId(request)) {
        Some(Response::Refused(refusal)) => Some(refusal.reason.clone()),
        _ => None,
    }
}

proptest! {
    #[test]
    fn a_request_takes_down_at_most_two_targets_through_any_vms(
        resends in prop::collection::vec((0..3_000_u64, 0..4_usize), 1..12),
        innocents in prop::collection::vec((0..300_u64, 0..4_usize), 0..30),
        delay in 1..40_u64,
        seed in any::<u64>(),
    ) {
        let mut world = world(4, 6, seed);
        world.delay = Span::from_millis(delay);
        for (n, (at, vm)) in resends.iter().enumerate() {
            let (vm, request) = (*vm, n as u64);
            world.after(at * 1_000, move |world| world.send(vm, chat(request, 0, CRASH)));
        }
        let mut at = 0;
        for (n, (pause, vm)) in innocents.iter().enumerate() {
            at += pause;
            let (vm, request) = (*vm, 1_000 + n as u64);
            let body = format!("innocent {n}");
            world.after(at * 1_000, move |world| world.send(vm, chat(request, 0, &body)));
        }
        world.run(40_000);
        prop_assert!(world.crashes.len() <= 2, "died: {:?}", world.crashes);
        for request in 0..resends.len() as u64 {
            prop_assert!(reason(&world, request).is_some(), "{}", request);
        }
        for n in 0..innocents.len() {
            let told = world.responses.get(&RequestId(1_000 + n as u64));
            let blamed = matches!(told, Some(Response::Refused(r)) if r.reason == Reason::Poison);
            prop_assert!(!blamed);
            prop_assert!(told.is_some());
        }
        prop_assert_eq!(world.verify_not_run(), Ok(()));
    }

    #[test]
    fn innocents_in_flight_beside_it_are_answered(
        seed in any::<u64>(),
        innocents in 1..6_u64,
        vms in Just(3_usize),
    ) {
        let mut world = world(vms, 8, seed);
        // Enough arrivals before to have a retry for each.
        for request in 0..300 {
            let vm = usize::try_from(request).unwrap() % vms;
            world.send(vm, chat(10_000 + request, 0, &format!("earlier {request}")));
            world.run(30);
        }
        for n in 0..innocents {
            let vm = usize::try_from(n).unwrap() % vms;
            world.send(vm, chat(1_000 + n, 0, &format!("innocent {n}")));
        }
        world.send(0, chat(1, 0, CRASH));
        world.run(20_000);
        prop_assert_eq!(reason(&world, 1), Some(Reason::Poison));
        for n in 0..innocents {
            let told = world.responses.get(&RequestId(1_000 + n));
            prop_assert!(matches!(told, Some(Response::Completed(_))), "{:?}", told);
        }
    }
}

#[test]
fn a_known_request_is_refused_everywhere_for_a_while() {
    let mut world = world(3, 4, 1);
    world.send(0, chat(1, 0, CRASH));
    world.run(5_000);
    assert_eq!(world.crashes.len(), 2);
    assert_eq!(reason(&world, 1), Some(Reason::Poison));
    for vm in 0..3 {
        world.send(vm, chat(10 + vm as u64, 0, CRASH));
        // Another account's equal request is another request.
        world.send(vm, chat(20 + vm as u64, 1, "else"));
        world.run(1_000);
        let told = &world.responses[&RequestId(10 + vm as u64)];
        let Response::Refused(refusal) = told else { panic!("{told:?}") };
        assert_eq!((&refusal.reason, refusal.outcome), (&Reason::Poison, Outcome::NotRun));
        assert!(matches!(world.responses[&RequestId(20 + vm as u64)], Response::Completed(_)));
    }
    world.run(600_000);
    world.poison_body = None;
    world.send(1, chat(30, 0, CRASH));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(30)], Response::Completed(_)), "blamed for good");
}

#[test]
fn equal_desk_calls_meet_the_same_runner() {
    let mut world = world(3, 0, 1);
    for vm in 0..3 {
        world.send(vm, desk(vm as u64, 0, "GET", "stock", None, CRASH));
    }
    world.run(10_000);
    assert!(world.crashes.len() <= 2, "{:?}", world.crashes);
}

#[test]
fn two_suspects_never_share_a_target() {
    let me = Identity {
        vm: "vm".parse().unwrap(),
        start: StartNumber(1),
        data_centre: "dc".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        environment: "test".into(),
        token_key: [0; 32],
    };
    let ctx = |millis: u64| {
        let at = Moment::default() + Span::from_millis(millis);
        Context { at, wall: WallTime(0), entropy: 0, me: &me }
    };
    let mut out = Output::default();
    let mut targets = target::State::default();
    let rows = ["e-0", "e-1", "e-2"].map(|id| ListedVm {
        vm: id.parse().unwrap(),
        role: Role::Target { pool: "chat".parse().unwrap() },
        data_centre: "dc".parse().unwrap(),
        address: me.address,
        status: Status::Live,
    });
    targets.handle_list(&ctx(0), &rows, &mut out);
    for row in &rows {
        let report = LoadReport { start: StartNumber(1), ..LoadReport::default() };
        let id = row.vm.as_str().parse().unwrap();
        targets.handle_report(&ctx(1), &id, Ok(report), &mut out);
    }
    let members = member::State::default();
    let view = poison::View { targets: &targets, members: &members };
    let mut state = poison::State::default();
    for n in 0..3 {
        let fingerprint = Fingerprint(n);
        state.strike(
            &mut Scope { ctx: &ctx(2), view, out: &mut out },
            fingerprint,
            &"e-0".parse().unwrap(),
        );
        let pool = "chat".parse().unwrap();
        let trial = Trial { request: RequestId(n), fingerprint, pool, running: None };
        state.attempt(&mut Scope { ctx: &ctx(2), view, out: &mut out }, trial);
    }
    let granted = |out: &Output| -> Vec<_> {
        let tried = out.signals.iter().filter_map(|signal| match signal {
            Signal::TrialDecided(decision) => decision.target.clone().ok(),
            _ => None,
        });
        tried.map(|target| target.to_string()).collect()
    };
    assert!(granted(&out).is_empty(), "copies that run are awaited first");
    state.tick(&mut Scope { ctx: &ctx(400), view, out: &mut out });
    let mut first = granted(&out);
    first.sort_unstable();
    assert_eq!(first, ["e-1", "e-2"], "e-0 died, and the third waits");
}

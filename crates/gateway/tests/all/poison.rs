//! Requests that crash targets.

use briarshift_gateway::request::{Arrival, Cause, Decision, End, Event};
use briarshift_gateway::{Check, Kind};
use briarshift_routing::selection::Part;
use briarshift_store::registry::{Call, Name, Target, Value};
use briarshift_units::{Fingerprint, PartId, PartSet, StartNumber};
use briarshift_wire::crash::{PromptCrash, Report};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Crash, TargetHash};

use crate::prompt::written_holdings;
use crate::world::{
    World, expect_refusal, expect_send, heartbeat, interrupted, member, prompt, target,
};

const POISON: Fingerprint = Fingerprint(0xbad);

/// Sends the poison request, which is interrupted. The check then finds the
/// target listening or down.
fn run_poison(world: &mut World, listens: bool) -> Decision {
    let decision = world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON);
    if let Decision::Send(send) = &decision {
        world.end(send, interrupted());
        let (target, address) = (send.target.clone(), send.address);
        let found = if listens { Check::Listens } else { Check::Refuses };
        world.apply(Kind::TargetChecked { target, address, found });
        world.advance(4_000);
        world.reply_rows(crate::world::changes(), Ok(Vec::new()));
    }
    decision
}

#[test]
fn a_request_that_crashed_three_targets_is_refused() {
    let mut world = World::new(&["t-1", "t-2", "t-3", "t-4", "t-5"]);
    let mut targets = Vec::new();
    while let Decision::Send(send) = run_poison(&mut world, false) {
        targets.push(send.target);
        assert!(targets.len() < 20);
    }
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 3);
    assert_eq!(expect_refusal(run_poison(&mut world, false)), Cause::Poison);
    expect_send(world.arrive("/book/a"));
}

/// Guards against a lookup that callers repeat, and that is refused because its targets
/// crashed for another reason three times in two minutes.
#[test]
fn a_request_that_is_answered_between_crashes_is_not_refused() {
    let engines: Vec<_> = (0..12).map(|number| format!("t-{number}")).collect();
    let mut world = World::new(&engines.iter().map(String::as_str).collect::<Vec<_>>());
    for _ in 0..6 {
        expect_send(run_poison(&mut world, false));
        let again = world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON);
        world.end(&expect_send(again), End::Complete { ok: true });
    }
}

#[test]
fn a_peer_that_saw_an_answer_acquits_a_request() {
    let mut world = World::new(&["t-1", "t-2", "t-3", "t-4", "t-5"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    while let Decision::Send(_) = run_poison(&mut world, false) {}
    let Kind::Datagram(Datagram::CrashReport(report)) = crash_report(Vec::new(), Vec::new()) else {
        unreachable!()
    };
    let report = Report { answered: vec![POISON], ..report };
    world.apply(Kind::Datagram(Datagram::CrashReport(report)));
    expect_send(run_poison(&mut world, false));
    assert!(world.log.iter().any(|line| line.starts_with("event=strikes_cleared")));
}

/// A request went on crashing a pool of two targets that kept their ids, because each
/// target counted once.
#[test]
fn a_request_that_crashed_targets_that_keep_their_ids_is_refused() {
    let mut world = World::new(&["t-1", "t-2"]);
    let mut start = 1;
    while let Decision::Send(send) = run_poison(&mut world, false) {
        start += 1;
        let Value::Target(again) = target(send.target.as_str(), "desk") else { unreachable!() };
        let again = Target { start: Some(StartNumber(start)), ..again };
        world.change_row(Name::Target(send.target), Some(Value::Target(again)));
        assert!(start < 20);
    }
    // The first start of each target has no number.
    assert_eq!(start - 1, 3);
}

#[test]
fn a_crash_that_a_peer_repeats_counts_once() {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    for step in 0..40 {
        let start = Some(StartNumber(7));
        let crash = Crash { request: POISON, target: TargetHash(1), start };
        let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat("vm-2", step + 1) else {
            unreachable!()
        };
        heartbeat.crashes = vec![crash, Crash { start: None, ..crash }];
        world.advance(100);
        world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
    }
    world.confirm_catalog();
    expect_send(world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON));
}

#[test]
fn a_lost_answer_alone_is_no_crash() {
    let mut world = World::new(&["t-1", "t-2", "t-3", "t-4"]);
    for _ in 0..10 {
        expect_send(run_poison(&mut world, true));
    }
}

#[test]
fn crashes_reported_by_peers_count() {
    let mut world = World::new(&["t-1"]);
    for (index, vm) in ["vm-2", "vm-3", "vm-4"].into_iter().enumerate() {
        world.change_row(Name::Member(vm.parse().unwrap()), Some(member(vm)));
        let crash = Crash { request: POISON, target: TargetHash(index as u32), start: None };
        let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat(vm, 1) else {
            unreachable!()
        };
        heartbeat.crashes = vec![crash, crash];
        world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
    }
    let decision = world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON);
    assert_eq!(expect_refusal(decision), Cause::Poison);
}

#[test]
fn the_end_of_an_interrupted_request_names_its_parts() {
    let mut world = World::new(&["t-1"]);
    let send = expect_send(world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(26, 27)));
    world.end(&send, interrupted());
    assert!(world.log.iter().any(|line| line.ends_with("parts=1a,1b,63")), "{:?}", world.log);
}

/// Shared parts of the prompts below; [`BAD_PART`] crashes each engine.
const FIRST_PART: u64 = 1;
const BAD_PART: u64 = 2;

fn arrive_with_parts(world: &mut World, shared: &[u64], own: u64) -> Decision {
    world.arrive_with("/chat/a", |arrival| {
        let ids = shared.iter().copied().chain([own]);
        arrival.parts = ids.map(|id| Part { id, tokens: 100 }).collect();
    })
}

/// Sends a prompt whose last part is its own. Engines that run the bad part go down,
/// and another one is started in their place; the others answer.
fn run_prompt(world: &mut World, shared: &[u64], own: u64) -> Decision {
    let decision = arrive_with_parts(world, shared, own);
    let Decision::Send(send) = &decision else { return decision };
    if !shared.contains(&BAD_PART) {
        world.apply(Kind::Request(Event::AnswerBegan { id: send.id, report: None }));
        world.end(send, End::Complete { ok: true });
        return decision;
    }
    world.end(send, interrupted());
    let (id, address) = (send.target.clone(), send.address);
    world.apply(Kind::TargetChecked { target: id.clone(), address, found: Check::Refuses });
    world.advance(700);
    world.change_row(Name::Target(id), None);
    let replacement = format!("t-{own}");
    let row = target(&replacement, "desk");
    world.change_row(Name::Target(replacement.parse().unwrap()), Some(row));
    decision
}

#[test]
fn a_part_that_crashed_engines_under_different_requests_is_refused() {
    let engines: Vec<_> = (0..12).map(|number| format!("t-{number}")).collect();
    let mut world = World::new(&engines.iter().map(String::as_str).collect::<Vec<_>>());
    let mut crashes = 0;
    for own in 100..130 {
        match run_prompt(&mut world, &[FIRST_PART, BAD_PART], own) {
            Decision::Send(_) => crashes += 1,
            decision => assert_eq!(expect_refusal(decision), Cause::Poison),
        }
        // Sound prompts of the same caller with the same first part.
        expect_send(run_prompt(&mut world, &[FIRST_PART, own + 1_000], own + 2_000));
    }
    // The operators' rule on parts counts from the fifth crash.
    assert!(crashes <= 5, "{crashes} crashes");
}

/// Guards against a caller's sound requests that are refused because crashing prompts hold
/// the same document.
#[test]
fn a_document_that_follows_a_crashing_part_is_not_refused_elsewhere() {
    let engines: Vec<_> = (0..12).map(|number| format!("t-{number}")).collect();
    let mut world = World::new(&engines.iter().map(String::as_str).collect::<Vec<_>>());
    let document = 40;
    let mut crashes = 0;
    for own in 100..130 {
        match run_prompt(&mut world, &[BAD_PART, document], own) {
            Decision::Send(_) => crashes += 1,
            decision => assert_eq!(expect_refusal(decision), Cause::Poison),
        }
        if own % 4 == 3 {
            expect_send(run_prompt(&mut world, &[FIRST_PART, document], own + 2_000));
        }
    }
    assert!(crashes <= 5, "{crashes} crashes");
}

/// Guards against a prompt part that is refused because a cut interrupted all prompts with it,
/// at engines that could not be reached.
#[test]
fn engines_that_cannot_be_reached_blame_no_part() {
    let engines: Vec<_> = (0..8).map(|number| format!("t-{number}")).collect();
    let mut world = World::new(&engines.iter().map(String::as_str).collect::<Vec<_>>());
    for own in 100..106 {
        let decision = arrive_with_parts(&mut world, &[FIRST_PART, own + 1_000], own);
        let send = expect_send(decision);
        world.end(&send, interrupted());
        let (target, address) = (send.target, send.address);
        let found = Check::Unreachable;
        world.apply(Kind::TargetChecked { target, address, found });
        world.advance(700);
        world.reply_rows(crate::world::changes(), Ok(Vec::new()));
    }
    assert!(!world.log.iter().any(|line| line.starts_with("event=strike")), "{:?}", world.log);
    assert!(world.log.iter().any(|line| line.starts_with("event=target_unreachable")));
}

/// A peer's report of crashes of engines by one prompt.
fn crash_report(crashes: Vec<PromptCrash>, cleared: Vec<PartId>) -> Kind {
    let (from, blocked, requests) = ("vm-2".parse().unwrap(), Vec::new(), Vec::new());
    let answered = Vec::new();
    let report = Report { from, crashes, cleared, answered, blocked, requests };
    Kind::Datagram(Datagram::CrashReport(report))
}

/// Creates a VM that knows a peer, and lets that report three crashes.
fn world_with_blocked_part() -> World {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    for engine in 0..3 {
        let parts = vec![PartId(FIRST_PART), PartId(BAD_PART)];
        let crash = PromptCrash { target: TargetHash(engine), parts };
        world.apply(crash_report(vec![crash], vec![PartId(FIRST_PART)]));
        world.advance(700);
        world.reply_rows(crate::world::changes(), Ok(Vec::new()));
    }
    world
}

#[test]
fn parts_that_crashed_engines_of_peers_are_refused_until_an_answer_begins_there() {
    let mut world = world_with_blocked_part();
    let refused = arrive_with_parts(&mut world, &[FIRST_PART, BAD_PART], 100);
    assert_eq!(expect_refusal(refused), Cause::Poison);
    expect_send(arrive_with_parts(&mut world, &[FIRST_PART, 7], 101));
    world.apply(crash_report(Vec::new(), vec![PartId(BAD_PART)]));
    expect_send(arrive_with_parts(&mut world, &[FIRST_PART, BAD_PART], 102));
}

#[test]
fn a_vm_that_starts_is_told_which_parts_are_refused() {
    let mut world = world_with_blocked_part();
    world.apply(heartbeat("vm-2", 1));
    let told = world.datagrams.iter().any(|datagram| {
        matches!(datagram, Datagram::CrashReport(it) if it.blocked == [PartSet::from_iter([PartId(BAD_PART)])])
    });
    assert!(told, "{:?}", world.datagrams);

    let mut started = World::new(&["t-1"]);
    started.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let Some(Datagram::CrashReport(report)) = world.datagrams.pop() else { unreachable!() };
    started.apply(Kind::Datagram(Datagram::CrashReport(Report {
        from: "vm-2".parse().unwrap(),
        ..report
    })));
    let refused = arrive_with_parts(&mut started, &[BAD_PART], 100);
    assert_eq!(expect_refusal(refused), Cause::Poison);
}

#[test]
fn crashes_and_answers_are_reported_to_peers_several_times() {
    let mut world = World::new(&["t-1", "t-2", "t-3"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    run_prompt(&mut world, &[FIRST_PART, BAD_PART], 100);
    run_prompt(&mut world, &[FIRST_PART], 101);
    for _ in 0..20 {
        world.advance(100);
        world.tick();
    }
    let report = |datagram: &Datagram| match datagram {
        Datagram::CrashReport(report) => Some(report.clone()),
        _ => None,
    };
    let reports: Vec<_> = world.datagrams.iter().filter_map(report).collect();
    assert_eq!(reports.len(), 3);
    for report in reports {
        assert_eq!(report.crashes[0].parts, [PartId(FIRST_PART), PartId(BAD_PART)]);
        assert_eq!(report.cleared, [PartId(FIRST_PART)]);
    }
}

#[test]
fn a_resumable_stream_with_a_refused_part_is_not_repeated() {
    let mut world = world_with_blocked_part();
    let parts = |arrival: &mut Arrival| arrival.parts = prompt(FIRST_PART, 40);
    let send = expect_send(world.arrive_with("/long/a", parts));
    for engine in 10..13 {
        world.advance(500);
        let crash = PromptCrash { target: TargetHash(engine), parts: vec![PartId(40)] };
        world.apply(crash_report(vec![crash], Vec::new()));
    }
    assert_eq!(expect_refusal(world.end(&send, interrupted()).unwrap()), Cause::Unknown);
}

/// All VMs were killed at once, and each part crashed three engines again.
#[test]
fn a_vm_that_starts_without_peers_restores_which_parts_are_refused() {
    let mut before = world_with_blocked_part();
    expect_send(arrive_with_parts(&mut before, &[FIRST_PART, 7], 100));
    let holdings = written_holdings(&mut before).unwrap();

    let mut started = World::empty("vm-1");
    started.tick();
    started.read_with(&["t-1"], Name::Holdings, Value::Holdings(holdings));
    let refused = arrive_with_parts(&mut started, &[FIRST_PART, BAD_PART], 101);
    assert_eq!(expect_refusal(refused), Cause::Poison);
    expect_send(arrive_with_parts(&mut started, &[FIRST_PART, 7], 102));
}

/// All VMs were killed at once, and a request crashed three targets again.
#[test]
fn a_vm_that_starts_without_peers_restores_which_requests_are_refused() {
    let mut before = World::new(&["t-1", "t-2", "t-3", "t-4"]);
    while let Decision::Send(_) = run_poison(&mut before, false) {}
    before.calls.clear();
    before.tick();
    let holdings = before.calls.iter().find_map(|call| match call {
        Call::WriteHoldings { holdings } => Some(holdings.clone()),
        _ => None,
    });

    let mut started = World::empty("vm-1");
    started.tick();
    started.read_with(&["t-1"], Name::Holdings, Value::Holdings(holdings.unwrap()));
    assert_eq!(expect_refusal(run_poison(&mut started, false)), Cause::Poison);
    expect_send(started.arrive("/book/a"));
}

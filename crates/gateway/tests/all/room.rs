//! Placement by the memory of engines and the speed of targets, under load and failure.

use std::collections::BTreeMap;

use briarshift_gateway::request::{Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::{Features, Kind, target};
use briarshift_routing::room::Length;
use briarshift_store::registry::{Name, Target, Value};
use briarshift_units::{Span, StartNumber};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Load, TargetHash};
use briarshift_wire::speed::{Report, Slow};
use proptest::prelude::prop;
use proptest::{prop_assert_eq, proptest};

use crate::world::{
    World, changes, expect_refusal, expect_send, heartbeat, interrupted, member, prompt, target,
};

const ENGINES: [&str; 3] = ["t-1", "t-2", "t-3"];
const ROOM: Features = Features { fair_shares: false, room: true };

fn world(targets: &[&str]) -> World {
    let mut world = World::with_features(ROOM);
    world.tick();
    world.read(targets);
    world
}

/// Lets a request arrive whose prompt has 8,500 tokens of shared parts and `own` tokens of
/// its own, and whose answer is expected to have 500.
fn arrive(world: &mut World, key: u64, own: u32) -> Decision {
    world.arrive_with("/chat/a", |arrival| {
        arrival.parts = prompt(key, key + 1_000);
        arrival.length =
            Length { prompt: Some(8_500 + own), max_output: Some(5_000), hint: Some(500) };
    })
}

/// Lets requests arrive until one is refused. Returns the sends and why.
fn fill(world: &mut World, mut next: impl FnMut(&mut World) -> Decision) -> (Vec<Send>, Cause) {
    let mut sends = Vec::new();
    loop {
        match next(world) {
            Decision::Send(send) => sends.push(send),
            decision => return (sends, expect_refusal(decision)),
        }
    }
}

fn count_at(sends: &[Send], id: &str) -> usize {
    sends.iter().filter(|send| send.target.as_str() == id).count()
}

fn finish(world: &mut World, send: &Send) {
    world.end(send, End::Complete { ok: true });
}

/// Returns the value of a key in the last `placed` line.
fn placed<T: std::str::FromStr>(world: &World, key: &str) -> Option<T> {
    let line = world.log.iter().rfind(|line| line.starts_with("event=placed"))?;
    let value = line.split_whitespace().find_map(|pair| pair.strip_prefix(key))?;
    value.strip_prefix('=')?.parse().ok()
}

/// Returns a heartbeat of a peer with this load at each engine.
fn report(vm: &str, sequence: u64, requests: u32, memory: u64) -> Kind {
    let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat(vm, sequence) else {
        unreachable!()
    };
    let load = |id: &&str| Load { target: TargetHash::of(id), requests, backlog: 0, memory };
    heartbeat.loads = ENGINES.iter().map(load).collect();
    Kind::Datagram(Datagram::Heartbeat(heartbeat))
}

/// Engines have 200,000 tokens of memory each.
#[test]
fn engines_get_no_more_than_their_memory_holds() {
    let mut world = world(&ENGINES);
    let mut key = 0;
    let (sends, cause) = fill(&mut world, |world| {
        key += 1;
        arrive(world, key, 50_000)
    });
    assert_eq!(cause, Cause::NoMemory);
    assert!(world.log.iter().any(|line| line.contains("cause=no_memory outcome=not_run")));
    for id in ENGINES {
        // Each request takes 50,500 tokens, and 8,500 for its shared parts.
        assert_eq!(count_at(&sends, id), 3, "{id}");
    }
    finish(&mut world, &sends[0]);
    let next = expect_send(arrive(&mut world, 1, 50_000));
    assert_eq!(next.target, sends[0].target);
}

/// Requests for the same parts go to an engine that has them while they need up to half as
/// much again as it has, and wait there.
#[test]
fn an_engine_that_has_a_prompt_gets_somewhat_more() {
    let mut world = world(&ENGINES);
    let (sends, cause) = fill(&mut world, |world| arrive(world, 1, 50_000));
    assert_eq!(cause, Cause::NoMemory);
    for id in ENGINES {
        // The shared parts take 8,500 tokens once.
        assert_eq!(count_at(&sends, id), 5, "{id}");
    }
}

#[test]
fn a_prompt_larger_than_each_engine_is_refused_at_once() {
    let mut world = world(&ENGINES);
    let decision = world.arrive_with("/chat/a", |arrival| {
        arrival.parts = prompt(1, 2);
        arrival.length.prompt = Some(200_000);
    });
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!((refusal.cause, refusal.retry_after), (Cause::TooLarge, None));
    assert!(refusal.cause.is_not_run());
    // An empty engine accepts any that fits, however long its answer may get.
    expect_send(arrive(&mut world, 1, 190_000));
}

#[test]
fn without_the_feature_memory_does_not_count() {
    let mut world = World::new(&ENGINES);
    for _ in 0..30 {
        expect_send(arrive(&mut world, 1, 500_000));
    }
    assert_eq!(placed::<u64>(&world, "room"), None);
    assert_eq!(placed::<f64>(&world, "slow"), None);
}

#[test]
fn requests_without_lengths_are_placed_by_their_parts() {
    let mut world = world(&ENGINES);
    for _ in 0..6 {
        let decision = world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(1, 2));
        expect_send(decision);
    }
    // The last part of the prompt has 500 tokens, and 500 are expected of the answer.
    assert_eq!(placed::<u64>(&world, "need"), Some(1_000));
}

/// A VM is lost with its requests: their memory is free when its heartbeats have expired,
/// as their targets cancel them.
#[test]
fn memory_of_a_lost_vm_is_free_when_its_loads_expire() {
    let mut world = world(&ENGINES);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(report("vm-2", 1, 3, 180_000));
    assert_eq!(expect_refusal(arrive(&mut world, 1, 20_000)), Cause::NoMemory);
    for _ in 0..12 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
    expect_send(arrive(&mut world, 1, 20_000));
}

/// The link to a peer is cut: what the engine itself states counts beyond what is known.
#[test]
fn requests_that_only_the_engine_tells_of_count_while_peers_are_silent() {
    let mut world = world(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let send = expect_send(arrive(&mut world, 1, 20_000));
    let load = target::Load { running: 14, waiting: 0, slots: 64, work_percent: None };
    let report = Some(target::Report { load: Some(load), ..target::Report::default() });
    world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report }));
    assert_eq!(expect_refusal(arrive(&mut world, 1, 20_000)), Cause::NoMemory);
    world.apply(heartbeat("vm-2", 1));
    expect_send(arrive(&mut world, 1, 20_000));
}

/// An engine that starts again holds nothing once the sends to it have ended.
#[test]
fn the_memory_of_an_engine_that_restarts_is_empty() {
    let mut world = world(&["t-1"]);
    let (sends, cause) = fill(&mut world, |world| arrive(world, 1, 50_000));
    assert_eq!((sends.len(), cause), (5, Cause::NoMemory));
    let Value::Target(row) = target("t-1", "desk") else { unreachable!() };
    let row = Value::Target(Target { start: Some(StartNumber(2)), ..row });
    world.change_row(Name::Target("t-1".parse().unwrap()), Some(row));
    for send in &sends {
        world.end(send, interrupted());
    }
    expect_send(arrive(&mut world, 1, 50_000));
    assert_eq!(placed::<u64>(&world, "room"), Some(184_000 - 8_500));
}

fn arrive_hinted(world: &mut World, hint: u32) -> Decision {
    world.arrive_with("/chat/a", |arrival| {
        arrival.parts = prompt(1, 2);
        arrival.length.hint = Some(hint);
    })
}

/// Hints that are ten times too high at first hold requests back only until answers have
/// shown what they are worth.
#[test]
fn the_length_of_answers_is_learned_by_route() {
    let mut world = world(&ENGINES);
    for index in 0..60_u32 {
        let hint = [50, 500, 5_000][index as usize % 3];
        let send = expect_send(arrive_hinted(&mut world, hint));
        world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
        world.advance(10);
        world.apply(Kind::Request(Request::Streamed { id: send.id, events: 100 }));
        finish(&mut world, &send);
        world.reply_rows(changes(), Ok(Vec::new()));
    }
    arrive_hinted(&mut world, 5_000);
    // 500 tokens of its own, and about 500 of the answer.
    let need: u64 = placed(&world, "need").unwrap();
    assert!((900..1_400).contains(&need), "{need}");
}

/// Sends that end in any way, or whose callers leave, give back what they took.
#[test]
fn memory_returns_to_nothing_whatever_happens() {
    let mut world = world(&ENGINES);
    for round in 0..40_u64 {
        let send = expect_send(arrive(&mut world, round % 5, 3_000));
        world.advance(20);
        match round % 4 {
            0 => finish(&mut world, &send),
            1 => drop(world.end(&send, interrupted())),
            2 => drop(world.end(&send, End::NotRun { status: 503, moved: false })),
            _ => world.apply(Kind::Request(Request::CallerLeft(send.id.request))),
        }
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
        let loads = world.state.targets().loads();
        assert!(loads.is_empty(), "{loads:?}");
    }
    for id in ENGINES {
        let entry = world.state.targets().get(&id.parse().unwrap()).unwrap();
        assert_eq!(entry.own_memory(), 0);
    }
}

/// A target that says that its machine is slow now gets little until that is old.
#[test]
fn a_target_that_states_that_it_is_slow_gets_less() {
    let slow_sends = |percent, wait| {
        let mut world = World::new(&["t-1", "t-2"]);
        let mut slow = 0;
        for _ in 0..100 {
            let send = expect_send(world.arrive("/safe/a"));
            let percent = if send.target.as_str() == "t-1" { percent } else { 100 };
            let work_percent = Some(percent);
            let load = target::Load { running: 0, waiting: 0, slots: 8, work_percent };
            let report = Some(target::Report { load: Some(load), ..target::Report::default() });
            let end = End::Complete { ok: true };
            world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
            slow += u32::from(send.target.as_str() == "t-1");
            world.advance(wait);
            world.reply_rows(changes(), Ok(Vec::new()));
        }
        slow
    };
    let (equal, slow, old) = (slow_sends(100, 20), slow_sends(400, 20), slow_sends(400, 400));
    assert!((35..=65).contains(&equal), "{equal}");
    assert!(slow < 20, "{slow}");
    assert!((30..=65).contains(&old), "{old}");
}

/// One target in four takes twice as long for good and says nothing of it.
#[test]
fn a_target_that_is_slow_for_good_is_learned() {
    let mut world = world(&["t-1", "t-2", "t-3", "t-4"]);
    let mut slow = [0, 0];
    let mut running: Vec<(u64, Send)> = Vec::new();
    for step in 0..1_200_u64 {
        for (_, send) in running.extract_if(.., |(end, _)| *end <= step) {
            finish(&mut world, &send);
        }
        let send = expect_send(world.arrive("/safe/a"));
        let is_slow = send.target.as_str() == "t-1";
        slow[usize::from(600 <= step)] += u32::from(is_slow && !(100..600).contains(&step));
        running.push((step + if is_slow { 16 } else { 8 }, send));
        world.advance(10);
        world.reply_rows(changes(), Ok(Vec::new()));
    }
    // A quarter of 600 requests would be 150.
    assert!(slow[1] < 110, "{slow:?}");
}

/// Returns a report of a peer that a target was slow this long ago.
fn slow_report(vm: &str, target: &str, percent: u32, age: u64) -> Kind {
    let slow = Slow { target: TargetHash::of(target), percent, age: Span::from_millis(age) };
    Kind::Datagram(Datagram::SpeedReport(Report { from: vm.parse().unwrap(), slow: vec![slow] }))
}

/// Returns the slowness that the next 20 requests found at a target, if one went there.
fn slowness_at(world: &mut World, id: &str) -> Option<f64> {
    let found = (0..20).filter_map(|_| {
        let send = expect_send(world.arrive("/safe/a"));
        let slowness = (send.target.as_str() == id).then(|| placed(world, "slow"));
        world.apply(Kind::Request(Request::CallerLeft(send.id.request)));
        slowness.flatten()
    });
    found.reduce(f64::max)
}

#[test]
fn peers_tell_of_a_slow_target() {
    let mut world = world(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(slow_report("vm-2", "t-1", 250, 0));
    assert_eq!(slowness_at(&mut world, "t-1"), Some(2.5));
    // An older report changes nothing, a report of a VM that is not known neither.
    world.apply(slow_report("vm-2", "t-1", 900, 100));
    world.apply(slow_report("vm-9", "t-1", 900, 0));
    assert_eq!(slowness_at(&mut world, "t-1"), Some(2.5));
    // The link to the peer is cut: what it said last no longer counts.
    world.advance(300);
    assert_eq!(slowness_at(&mut world, "t-1"), Some(1.0));
}

/// A pool that is slow as a whole makes a VM tell of each target once in 150 ms.
#[test]
fn peers_are_told_of_slow_targets_seldom() {
    let mut world = world(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.datagrams.clear();
    for _ in 0..100 {
        let send = expect_send(world.arrive("/safe/a"));
        let load = target::Load { running: 1, waiting: 0, slots: 8, work_percent: Some(250) };
        let report = Some(target::Report { load: Some(load), ..target::Report::default() });
        let end = End::Complete { ok: true };
        world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
        world.advance(10);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
    let is_told = |datagram: &&Datagram| matches!(datagram, Datagram::SpeedReport(_));
    let told = world.datagrams.iter().filter(is_told).count();
    assert!((5..=8).contains(&told), "{told}");
}

/// A plain target has places for what it runs and for what it lets wait.
#[test]
fn a_full_runner_gets_nothing_while_another_has_places() {
    let mut world = world(&["t-1", "t-2"]);
    let full = loop {
        let send = expect_send(world.arrive("/book/a"));
        if send.target.as_str() == "t-1" {
            break send;
        }
        world.end(&send, End::Complete { ok: true });
    };
    let load = target::Load { running: 8, waiting: 2, slots: 8, work_percent: None };
    let report = Some(target::Report { load: Some(load), ..target::Report::default() });
    let end = End::NotRun { status: 503, moved: false };
    world.apply(Kind::Request(Request::SendEnded { id: full.id, end, report }));
    world.advance(3_000);
    world.reply_rows(changes(), Ok(Vec::new()));
    let targets: Vec<_> =
        (0..40).map(|_| expect_send(world.arrive("/book/a")).target.to_string()).collect();
    assert_eq!(targets.iter().filter(|id| *id == "t-1").count(), 10, "{targets:?}");
}

proptest! {
    /// The sum over peers is that of their latest reports, whatever came before.
    #[test]
    fn the_memory_of_peers_is_the_sum_of_their_latest_reports(
        reports in prop::collection::vec((2..5_u64, 0..20_000_u64), 0..30),
    ) {
        let mut world = world(&["t-1"]);
        for vm in ["vm-2", "vm-3", "vm-4"] {
            world.change_row(Name::Member(vm.parse().unwrap()), Some(member(vm)));
            world.apply(report(vm, 1, 1, 0));
        }
        let mut latest = BTreeMap::new();
        for (sequence, (vm, memory)) in reports.into_iter().enumerate() {
            world.apply(report(&format!("vm-{vm}"), sequence as u64 + 2, 1, memory));
            latest.insert(vm, memory);
            let send = expect_send(arrive(&mut world, 1, 100));
            world.apply(Kind::Request(Request::CallerLeft(send.id.request)));
            let free = 184_000 - 8_500 - latest.values().sum::<u64>();
            prop_assert_eq!(placed(&world, "room"), Some(free));
        }
    }
}

//! Requests that wait for room, and accounts that use more than their share.

use briarshift_gateway::request::{Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::{Features, Kind};
use briarshift_store::registry::Name;
use briarshift_units::{AccountId, PoolId, RequestId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::demand::{AccountHash, Demand, PoolHash};
use briarshift_wire::heartbeat::{Load, TargetHash};

use crate::world::{
    World, expect_refusal, expect_send, heartbeat, interrupted, member, prompt, target,
};

/// Requests that a target with 8 slots gets before others wait: three more for each slot,
/// for as long as three quarters of the latency goal, at an assumed quarter for each.
const PLACES: usize = 32;

/// Returns a VM with one target whose places are taken.
fn full_world() -> (World, Vec<Send>) {
    let features = Features { fair_shares: true, ..Features::default() };
    let mut world = World::with_features(features);
    world.tick();
    world.read(&["t-1"]);
    let sends = (0..PLACES).map(|_| expect_send(world.arrive("/safe/a"))).collect();
    (world, sends)
}

/// Lets a request arrive that has to wait, and returns it.
fn wait(world: &mut World, path: &str) -> RequestId {
    let before = world.decisions.len();
    world.arrive_with(path, |arrival| {
        if path.starts_with("/chat") {
            arrival.parts = prompt(1, 2);
        }
    });
    assert_eq!(world.decisions.len(), before, "{:?}", world.decisions.last());
    let waiting = world.state.status(world.now).waiting;
    assert!(0 < waiting);
    RequestId(before as u64 + waiting as u64)
}

/// Returns the decisions on a request.
fn decisions(world: &World, request: RequestId) -> Vec<Decision> {
    let own = world.decisions.iter().filter(|(id, _)| *id == request);
    own.map(|(_, decision)| decision.clone()).collect()
}

fn decision(world: &World, request: RequestId) -> Decision {
    let [decision] = &decisions(world, request)[..] else { panic!("not one decision") };
    decision.clone()
}

fn complete() -> End {
    End::Complete { ok: true }
}

#[test]
fn without_shares_no_request_waits() {
    let mut world = World::new(&["t-1"]);
    for _ in 0..PLACES * 2 {
        expect_send(world.arrive("/safe/a"));
    }
}

#[test]
fn a_waiting_request_is_sent_when_another_ends() {
    let (mut world, sends) = full_world();
    let request = wait(&mut world, "/safe/a");
    world.advance(10);
    world.end(&sends[0], complete());
    assert_eq!(expect_send(decision(&world, request)).id.request, request);
    assert_eq!(world.state.status(world.now).waiting, 0);
    let logged = |event: &str| world.log.iter().any(|line| line.starts_with(event));
    assert!(logged("event=waits request=a33 pool=desk account=bakery position=0"));
    assert!(logged("event=waited request=a33 pool=desk"));
}

#[test]
fn a_waiting_request_is_sent_when_a_target_appears() {
    let (mut world, _) = full_world();
    let request = wait(&mut world, "/safe/a");
    world.change_row(Name::Target("t-2".parse().unwrap()), Some(target("t-2", "desk")));
    world.advance(10);
    world.tick();
    assert_eq!(expect_send(decision(&world, request)).target.as_str(), "t-2");
}

#[test]
fn a_waiting_request_is_refused_when_its_last_target_is_gone() {
    let (mut world, _) = full_world();
    let request = wait(&mut world, "/safe/a");
    world.change_row(Name::Target("t-1".parse().unwrap()), None);
    world.advance(10);
    world.tick();
    assert_eq!(expect_refusal(decision(&world, request)), Cause::NoTarget);
}

#[test]
fn a_waiting_request_is_sent_when_a_peer_reports_less_or_falls_silent() {
    for falls_silent in [false, true] {
        let features = Features { fair_shares: true, ..Features::default() };
        let mut world = World::with_features(features);
        world.read_with(&["t-1"], Name::Member("vm-2".parse().unwrap()), member("vm-2"));
        let report = |world: &mut World, sequence, requests| {
            let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat("vm-2", sequence)
            else {
                unreachable!()
            };
            let target = TargetHash::of("t-1");
            heartbeat.loads = vec![Load { target, requests, backlog: 0, memory: 0 }];
            world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
        };
        expect_send(world.arrive("/safe/a"));
        report(&mut world, 1, 40);
        world.advance(770);
        let before = world.decisions.len();
        world.arrive_with("/safe/a", |_| {});
        assert_eq!(world.decisions.len(), before);
        world.advance(35);
        if falls_silent {
            world.tick();
        } else {
            report(&mut world, 2, 0);
        }
        assert_eq!(world.decisions.len(), before + 1);
        expect_send(world.decisions[before].1.clone());
    }
}

#[test]
fn a_waiting_request_is_given_up_in_time_and_told_when_to_return() {
    let (mut world, sends) = full_world();
    let request = wait(&mut world, "/safe/a");
    world.advance(300 / 8 - 1);
    world.tick();
    assert!(decisions(&world, request).is_empty());
    world.advance(2);
    world.tick();
    let Decision::Refuse(refusal) = decision(&world, request) else { panic!() };
    assert_eq!(refusal.cause, Cause::NoRoom);
    assert!(refusal.retry_after.is_some());
    world.end(&sends[0], complete());
    assert_eq!(decisions(&world, request).len(), 1);
}

#[test]
fn a_request_that_could_not_be_answered_in_time_is_refused_at_once() {
    let (mut world, _) = full_world();
    let decision = world.arrive_with("/safe/a", |arrival| {
        arrival.deadline = Some(briarshift_units::Span::from_millis(70));
    });
    assert_eq!(expect_refusal(decision), Cause::NoRoom);
}

#[test]
fn a_booking_that_waited_is_sent_once() {
    let (mut world, sends) = full_world();
    let request = wait(&mut world, "/book/a");
    world.end(&sends[0], complete());
    let send = expect_send(decision(&world, request));
    let next = world.end(&send, interrupted()).unwrap();
    assert_eq!(expect_refusal(next), Cause::Unknown);
    for send in &sends[1..] {
        world.end(send, complete());
    }
    assert_eq!(decisions(&world, request).len(), 2);
}

#[test]
fn a_caller_that_leaves_while_it_waits_is_forgotten() {
    let (mut world, sends) = full_world();
    let request = wait(&mut world, "/book/a");
    world.apply(Kind::Request(Request::CallerLeft(request)));
    assert_eq!(world.state.status(world.now).waiting, 0);
    world.end(&sends[0], complete());
    assert!(decisions(&world, request).is_empty());
}

#[test]
fn a_shutdown_empties_the_queue() {
    let (mut world, _) = full_world();
    world.apply(Kind::Drain);
    world.advance(2_590);
    world.confirm_catalog();
    let request = wait(&mut world, "/chat/a");
    world.advance(20);
    world.tick();
    assert_eq!(expect_refusal(decision(&world, request)), Cause::Leaving);
}

#[test]
fn a_request_whose_configuration_expires_while_it_waits_is_not_sent() {
    let (mut world, sends) = full_world();
    world.advance(2_990);
    let request = wait(&mut world, "/safe/a");
    world.fail_store();
    world.advance(20);
    world.end(&sends[PLACES - 1], complete());
    assert_eq!(expect_refusal(decision(&world, request)), Cause::Stale);
}

/// An account sends five times as much as there are slots for, and another one a little.
#[test]
fn a_surge_is_refused_while_others_are_sent() {
    let (mut world, sends) = full_world();
    let mut running: Vec<_> = sends.into_iter().map(|send| (world.now, send)).collect();
    let mut seen = world.decisions.len();
    let (mut sent, mut refused) = ([0, 0], [0, 0]);
    for step in 0..1_200 {
        world.advance(5);
        world.confirm_catalog();
        world.tick();
        let now = world.now;
        for (_, send) in running.extract_if(.., |(at, _)| 200 <= now.since(*at).as_millis()) {
            world.end(&send, complete());
        }
        match step % 20 {
            0 => world.arrive_with("/open/a", |arrival| arrival.key = None),
            _ => world.arrive("/safe/a"),
        };
        let settled = 200 <= step;
        for (request, decision) in &world.decisions[seen..] {
            let is_open = (request.0 as usize - PLACES - 1).is_multiple_of(20);
            match decision {
                Decision::Send(send) => {
                    assert_eq!(send.account.is_none(), is_open);
                    running.push((now, send.clone()));
                    sent[usize::from(is_open)] += u32::from(settled);
                }
                Decision::Refuse(refusal) if !is_open => {
                    let is_over = refusal.cause == Cause::OverShare;
                    refused[0] += u32::from(settled && is_over);
                }
                _ => refused[1] += u32::from(settled),
            }
        }
        seen = world.decisions.len();
    }
    assert_eq!((sent[1], refused[1]), (50, 0));
    // Over its share, it gets what the others leave of the 20 places for such requests.
    assert!((300..650).contains(&sent[0]) && 300 < refused[0], "{sent:?}, {refused:?}");
}

#[test]
fn peers_are_told_of_demands_while_a_pool_is_short() {
    let features = Features { fair_shares: true, ..Features::default() };
    let mut world = World::with_features(features);
    world.read_with(&["t-1"], Name::Member("vm-2".parse().unwrap()), member("vm-2"));
    let send = expect_send(world.arrive("/safe/a"));
    world.advance(50);
    world.end(&send, complete());
    let demands = |world: &mut World| {
        world.advance(130);
        world.tick();
        let Some(Datagram::Heartbeat(heartbeat)) = world.datagrams.last() else { panic!() };
        heartbeat.demands.clone()
    };
    assert_eq!(demands(&mut world), []);
    for _ in 0..9 {
        world.arrive("/safe/a");
    }
    let told = demands(&mut world);
    assert_eq!(told[0].pool, PoolHash::of(&"desk".parse().unwrap()));
    assert_eq!(told[0].account, AccountHash::of(Some(&"bakery".parse().unwrap())));
    world.advance(2_000);
    assert_eq!(demands(&mut world), []);
}

#[test]
fn demands_of_a_peer_count_until_it_falls_silent() {
    let (mut world, _) = full_world();
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat("vm-2", 1) else {
        unreachable!()
    };
    let pool: PoolId = "desk".parse().unwrap();
    let account: AccountId = "bakery".parse().unwrap();
    let (pool, account) = (PoolHash::of(&pool), AccountHash::of(Some(&account)));
    heartbeat.demands = vec![Demand { pool, account, slots: 9_000 }];
    world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
    let demand = |world: &mut World| {
        wait(world, "/safe/a");
        let line = world.log.iter().rev().find(|line| line.starts_with("event=waits")).unwrap();
        let pair = line.split_whitespace().find_map(|pair| pair.strip_prefix("demand="));
        pair.unwrap().to_owned()
    };
    assert_eq!(demand(&mut world), "9.000");
    for _ in 0..10 {
        world.advance(130);
        world.tick();
    }
    assert_eq!(demand(&mut world), "0.000");
}

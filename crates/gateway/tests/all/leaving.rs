//! Targets that say in their answers that they leave.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::target::Report;
use briarshift_store::registry::{Name, Target, Value};
use briarshift_units::StartNumber;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::TargetHash;
use briarshift_wire::leaving::{self, Leaving};

use crate::world::{World, changes, expect_refusal, expect_send, heartbeat, member, target};

fn name(id: &str) -> Name {
    Name::Target(id.parse().unwrap())
}

/// Ends a send with a success in which the target says that it leaves.
fn complete_leaving(world: &mut World, send: &Send) {
    let report = Some(Report { is_leaving: true, ..Report::default() });
    let end = End::Complete { ok: true };
    world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
}

/// Returns a VM with the targets `t-1` and `t-2` that `t-1` has told that it leaves.
fn told() -> World {
    let mut world = World::new(&["t-1", "t-2"]);
    loop {
        let send = expect_send(world.arrive("/book/a"));
        if send.target.as_str() == "t-1" {
            complete_leaving(&mut world, &send);
            return world;
        }
        world.end(&send, End::Complete { ok: true });
    }
}

/// Returns the targets of 20 requests, in order and each once.
fn chosen(world: &mut World) -> Vec<String> {
    let mut chosen = Vec::new();
    for _ in 0..20 {
        let send = expect_send(world.arrive("/safe/a"));
        chosen.push(send.target.to_string());
        world.end(&send, End::Complete { ok: true });
    }
    chosen.sort();
    chosen.dedup();
    chosen
}

/// A target that had said that it left got requests until the store told of it.
#[test]
fn a_target_that_says_that_it_leaves_gets_no_new_requests() {
    let mut world = told();
    assert_eq!(chosen(&mut world), ["t-2"]);
}

#[test]
fn a_retry_does_not_go_to_a_leaving_target() {
    let mut world = told();
    let send = expect_send(world.arrive("/safe/a"));
    let Some(Decision::Send(retry)) = world.end(&send, End::Failed { status: 500 }) else {
        panic!()
    };
    assert_eq!(retry.target.as_str(), "t-2");
}

/// Rows of the store may be older than the answer, lapse and return.
#[test]
fn no_row_but_that_of_a_new_start_undoes_a_leaving() {
    let mut world = told();
    let value = target("t-1", "desk");
    world.change_row(name("t-1"), Some(value.clone()));
    world.change_row(name("t-1"), None);
    world.change_row(name("t-1"), Some(value.clone()));
    world.read_unconfirmed(&["t-1", "t-2"]);
    assert_eq!(chosen(&mut world), ["t-2"]);
    let Value::Target(row) = value else { unreachable!() };
    let started = Target { start: Some(StartNumber(9)), ..row };
    world.change_row(name("t-1"), Some(Value::Target(started)));
    assert_eq!(chosen(&mut world), ["t-1", "t-2"]);
}

#[test]
fn peers_are_told_of_a_leaving_target_several_times() {
    let mut world = told();
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    for _ in 0..10 {
        world.advance(100);
        world.tick();
    }
    let is_report = |it: &&Datagram| matches!(it, Datagram::LeavingReport(_));
    assert_eq!(world.datagrams.iter().filter(is_report).count(), 3);
    let told = world.datagrams.iter().find(is_report).unwrap().clone();

    let mut peer = World::new(&["t-1", "t-2"]);
    peer.apply(Kind::Datagram(told.clone()));
    assert_eq!(chosen(&mut peer), ["t-1", "t-2"], "the sender is not a peer");
    peer.change_row(Name::Member("vm-1".parse().unwrap()), Some(member("vm-3")));
    peer.apply(heartbeat("vm-3", 1));
    let Datagram::LeavingReport(report) = told else { unreachable!() };
    let report = leaving::Report { from: "vm-3".parse().unwrap(), ..report };
    peer.change_row(Name::Member("vm-3".parse().unwrap()), Some(member("vm-3")));
    peer.apply(Kind::Datagram(Datagram::LeavingReport(report)));
    assert_eq!(chosen(&mut peer), ["t-2"]);
}

/// A report of an earlier start must not stop the next one.
#[test]
fn a_report_of_an_earlier_start_is_ignored() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let Value::Target(row) = target("t-1", "desk") else { unreachable!() };
    let started = Target { start: Some(StartNumber(9)), ..row };
    world.change_row(name("t-1"), Some(Value::Target(started)));
    let mut report = |start| {
        let targets = vec![Leaving { target: TargetHash::of("t-1"), start }];
        let report = leaving::Report { from: "vm-2".parse().unwrap(), targets };
        world.apply(Kind::Datagram(Datagram::LeavingReport(report)));
        chosen(&mut world)
    };
    assert_eq!(report(Some(StartNumber(8))), ["t-1", "t-2"]);
    assert_eq!(report(Some(StartNumber(9))), ["t-2"]);
}

#[test]
fn requests_are_refused_once_all_targets_have_left() {
    let mut world = World::new(&["t-1"]);
    let send = expect_send(world.arrive("/book/a"));
    complete_leaving(&mut world, &send);
    world.advance(900);
    expect_send(world.arrive("/book/a"));
    world.advance(200);
    world.reply_rows(changes(), Ok(Vec::new()));
    let Decision::Refuse(refusal) = world.arrive("/book/a") else { panic!() };
    assert_eq!(refusal.cause, Cause::NoTarget);
    assert!(refusal.cause.is_not_run() && refusal.retry_after.is_some());
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoTarget);
}

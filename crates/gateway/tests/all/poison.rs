//! Requests that crash targets.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, Decision};
use briarshift_store::registry::Name;
use briarshift_units::Fingerprint;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Crash, TargetHash};

use crate::world::{World, beat, broken, member, refused, sent};

const POISON: Fingerprint = Fingerprint(0xbad);

/// Sends the request, which breaks off; the target turns out to be down or not.
fn run(world: &mut World, listens: bool) -> Decision {
    let decision = world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON);
    if let Decision::Send(send) = &decision {
        world.end(send, broken());
        let (target, address) = (send.target.clone(), send.address);
        world.apply(Kind::TargetChecked { target, address, listens });
        world.pass(4_000);
        world.answer(crate::world::changes(), Ok(Vec::new()));
    }
    decision
}

#[test]
fn a_request_that_crashed_three_targets_is_refused() {
    let mut world = World::new(&["t-1", "t-2", "t-3", "t-4", "t-5"]);
    let mut targets = Vec::new();
    while let Decision::Send(send) = run(&mut world, false) {
        targets.push(send.target);
        assert!(targets.len() < 20);
    }
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 3);
    assert_eq!(refused(run(&mut world, false)), Cause::Poison);
    sent(world.arrive("/book/a"));
}

#[test]
fn a_lost_answer_alone_is_no_strike() {
    let mut world = World::new(&["t-1", "t-2", "t-3", "t-4"]);
    for _ in 0..10 {
        sent(run(&mut world, true));
    }
}

#[test]
fn strikes_of_peers_count() {
    let mut world = World::new(&["t-1"]);
    for (index, vm) in ["vm-2", "vm-3", "vm-4"].into_iter().enumerate() {
        world.change(Name::Member(vm.parse().unwrap()), Some(member(vm)));
        let strike = Crash { request: POISON, target: TargetHash(index as u32) };
        let Kind::Datagram(Datagram::Heartbeat(mut beat)) = beat(vm, 1) else { unreachable!() };
        beat.crashes = vec![strike, strike];
        world.apply(Kind::Datagram(Datagram::Heartbeat(beat)));
    }
    let decision = world.arrive_with("/book/a", |arrival| arrival.fingerprint = POISON);
    assert_eq!(refused(decision), Cause::Poison);
}

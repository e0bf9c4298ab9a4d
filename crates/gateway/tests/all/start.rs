//! The first seconds of a VM.

use briarshift_store::registry::{Answer, Call, Name};
use briarshift_store::{Lease, LeaseId};
use briarshift_units::Span;
use briarshift_wire::datagram::Datagram;

use crate::world::{World, beat, member};

fn beats(world: &World) -> usize {
    world.sent.iter().filter(|datagram| matches!(datagram, Datagram::Beat(_))).count()
}

/// Until its neighbours hear it, a VM asks the store all that it could ask them.
#[test]
fn a_vm_says_where_it_is_before_it_writes_the_secret() {
    let mut world = World::new(&["t-1"]);
    world.tick();
    assert_eq!(world.calls.last(), Some(&Call::Grant { ttl: Span::from_secs(30) }));
    let lease = Lease { id: LeaseId(4), ttl: Span::from_secs(30) };
    let granted = Call::Grant { ttl: Span::from_secs(30) };
    world.result(granted, Answer::Leased(lease));
    world.tick();
    let Some(announce @ Call::Announce { .. }) = world.calls.last().cloned() else { panic!() };
    world.result(announce, Answer::Done);
    let before = world.calls.len();
    for _ in 0..41 {
        world.tick();
        world.pass(100);
    }
    let found = world.calls[before..].iter().filter(|call| matches!(call, Call::Found { .. }));
    assert_eq!(found.count(), 1);
}

#[test]
fn a_vm_that_hears_nobody_beats_at_once() {
    let mut world = World::new(&["t-1"]);
    world.tick();
    world.sent.clear();
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.tick();
    assert_eq!(beats(&world), 1);
    world.apply(beat("vm-2", 1));
    world.sent.clear();
    world.change(Name::Member("vm-3".parse().unwrap()), Some(member("vm-3")));
    world.tick();
    assert_eq!(beats(&world), 0);
}

#[test]
fn a_peer_heard_for_the_first_time_is_answered() {
    let mut world = World::new(&["t-1"]);
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.tick();
    world.sent.clear();
    world.apply(beat("vm-2", 1));
    assert_eq!(beats(&world), 1);
    world.apply(beat("vm-2", 2));
    assert_eq!(beats(&world), 1);
}

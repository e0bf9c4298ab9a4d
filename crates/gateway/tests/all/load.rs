//! What peers have at targets.

use briarshift_gateway::Kind;
use briarshift_store::registry::Name;
use briarshift_units::StartNumber;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Load, TargetHash};

use crate::world::{World, beat, member};

/// One target and two peers that are known.
fn world() -> World {
    let mut world = World::new(&["t-1"]);
    for vm in ["vm-2", "vm-3"] {
        world.change(Name::Member(vm.parse().unwrap()), Some(member(vm)));
    }
    world
}

fn tell(world: &mut World, vm: &str, start: u64, sequence: u64, requests: u32) {
    let Kind::Datagram(Datagram::Heartbeat(mut beat)) = beat(vm, sequence) else { unreachable!() };
    beat.start = StartNumber(start);
    beat.loads = vec![Load { target: TargetHash::of("t-1"), requests, backlog: 0 }];
    world.apply(Kind::Datagram(Datagram::Heartbeat(beat)));
}

/// The load that the next request finds, its VM's own left out.
#[track_caller]
fn check(world: &mut World, expected: usize) {
    world.arrive("/safe/a");
    let placed = world.log.iter().filter(|line| line.starts_with("event=placed"));
    let placed: Vec<_> = placed.collect();
    let own = placed.len() - 1;
    let line = placed[own];
    let load = line.split_whitespace().find_map(|pair| pair.strip_prefix("load="));
    assert_eq!(load.unwrap().parse(), Ok(expected + own), "{line}");
}

#[test]
fn a_beat_replaces_the_one_before_it() {
    let mut world = world();
    tell(&mut world, "vm-2", 1, 1, 7);
    tell(&mut world, "vm-3", 1, 1, 2);
    check(&mut world, 9);
    tell(&mut world, "vm-2", 1, 2, 3);
    tell(&mut world, "vm-2", 1, 1, 50);
    check(&mut world, 5);
}

#[test]
fn a_peer_that_starts_anew_has_what_its_new_beat_says() {
    let mut world = world();
    tell(&mut world, "vm-2", 1, 9, 7);
    tell(&mut world, "vm-2", 2, 1, 4);
    check(&mut world, 4);
}

#[test]
fn a_silent_peer_counts_no_longer_and_again_once_heard() {
    let mut world = world();
    tell(&mut world, "vm-2", 1, 1, 7);
    for sequence in 1..15 {
        world.pass(100);
        tell(&mut world, "vm-3", 1, sequence, 2);
        world.tick();
    }
    check(&mut world, 2);
    tell(&mut world, "vm-2", 1, 2, 5);
    check(&mut world, 7);
}

//! Loads that peers report.

use briarshift_gateway::Kind;
use briarshift_store::registry::Name;
use briarshift_units::StartNumber;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Load, TargetHash};

use crate::world::{World, heartbeat, member};

/// Returns a VM with one target and two known peers.
fn world() -> World {
    let mut world = World::new(&["t-1"]);
    for vm in ["vm-2", "vm-3"] {
        world.change_row(Name::Member(vm.parse().unwrap()), Some(member(vm)));
    }
    world
}

fn report_load(world: &mut World, vm: &str, start: u64, sequence: u64, requests: u32) {
    let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat(vm, sequence) else {
        unreachable!()
    };
    heartbeat.start = StartNumber(start);
    heartbeat.loads = vec![Load { target: TargetHash::of("t-1"), requests, backlog: 0, memory: 0 }];
    world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
}

/// Checks the load that the next request finds, not counting this VM's own
/// requests.
#[track_caller]
fn check_load(world: &mut World, expected: usize) {
    world.arrive("/safe/a");
    let placed = world.log.iter().filter(|line| line.starts_with("event=placed"));
    let placed: Vec<_> = placed.collect();
    let own = placed.len() - 1;
    let line = placed[own];
    let load = line.split_whitespace().find_map(|pair| pair.strip_prefix("load="));
    assert_eq!(load.unwrap().parse(), Ok(expected + own), "{line}");
}

#[test]
fn a_heartbeat_replaces_the_previous_one() {
    let mut world = world();
    report_load(&mut world, "vm-2", 1, 1, 7);
    report_load(&mut world, "vm-3", 1, 1, 2);
    check_load(&mut world, 9);
    report_load(&mut world, "vm-2", 1, 2, 3);
    report_load(&mut world, "vm-2", 1, 1, 50);
    check_load(&mut world, 5);
}

#[test]
fn a_restarted_peer_counts_with_its_new_load() {
    let mut world = world();
    report_load(&mut world, "vm-2", 1, 9, 7);
    report_load(&mut world, "vm-2", 2, 1, 4);
    check_load(&mut world, 4);
}

#[test]
fn a_silent_peer_is_not_counted_until_its_next_heartbeat() {
    let mut world = world();
    report_load(&mut world, "vm-2", 1, 1, 7);
    for sequence in 1..15 {
        world.advance(100);
        report_load(&mut world, "vm-3", 1, sequence, 2);
        world.tick();
    }
    check_load(&mut world, 2);
    report_load(&mut world, "vm-2", 1, 2, 5);
    check_load(&mut world, 7);
}

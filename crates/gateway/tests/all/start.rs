//! The first seconds of a VM.

use briarshift_gateway::request::Cause;
use briarshift_store::registry::{Call, Member, Name, Reply, Value};
use briarshift_store::{Lease, LeaseId};
use briarshift_units::{MegabitsPerSecond, Span};
use briarshift_wire::datagram::Datagram;

use crate::world::{World, beat, member, refused, sent};

fn beats(world: &World) -> usize {
    world.sent.iter().filter(|datagram| matches!(datagram, Datagram::Heartbeat(_))).count()
}

/// Until its neighbours hear it, a VM asks the store all that it could ask them.
#[test]
fn a_vm_says_where_it_is_before_it_writes_the_secret() {
    let mut world = World::new(&["t-1"]);
    world.tick();
    assert_eq!(world.calls.last(), Some(&Call::Grant { ttl: Span::from_secs(30) }));
    let lease = Lease { id: LeaseId(4), ttl: Span::from_secs(30) };
    let granted = Call::Grant { ttl: Span::from_secs(30) };
    world.result(granted, Reply::Leased(lease));
    world.tick();
    let Some(announce @ Call::Register { .. }) = world.calls.last().cloned() else { panic!() };
    world.result(announce, Reply::Done);
    let before = world.calls.len();
    for _ in 0..41 {
        world.tick();
        world.pass(100);
    }
    let found =
        world.calls[before..].iter().filter(|call| matches!(call, Call::CreateSecret { .. }));
    assert_eq!(found.count(), 1);
}

/// Replays a fleet of 300 VMs that all start at once: what had changed of 3,000
/// targets since an old read was more than they could fetch in time, and nothing
/// else confirmed the configuration.
#[test]
fn the_configuration_alone_opens_for_keys() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_only(&["t-1"]);
    assert_eq!(refused(world.arrive("/safe/a")), Cause::Stale);
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadCatalog { .. })));
    let asked = world.now;
    world.catalog();
    assert_eq!(sent(world.arrive("/safe/a")).fence, Some(asked + crate::world::bounds().key_age));
}

#[test]
fn a_fleet_without_a_configuration_asks_for_changes() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.answer(Call::ReadAll { newest: false }, Ok(Vec::new()));
    world.catalog();
    world.calls.clear();
    world.pass(500);
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
    assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadCatalog { .. })));
}

/// Targets write about once a second each, and whoever reads the store for the
/// others reads all of that.
#[test]
fn a_vm_with_a_wide_link_reads_for_the_others() {
    for wide in ["vm-2", "vm-3", "vm-4", "vm-5"] {
        let mut world = World::new(&["t-1"]);
        for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
            let Value::Member(member) = member(vm) else { unreachable!() };
            let link = MegabitsPerSecond(if vm == wide { 400 } else { 100 });
            let member = Value::Member(Member { link, ..member });
            world.change(Name::Member(vm.parse().unwrap()), Some(member));
            world.apply(beat(vm, 1));
        }
        world.calls.clear();
        for step in 2..11 {
            world.pass(100);
            for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
                world.apply(beat(vm, step));
            }
            world.tick();
        }
        assert_eq!(
            world.asked.last().map(ToString::to_string),
            Some(wide.replace("vm-", "10.0.0.") + ":1")
        );
        assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
    }
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

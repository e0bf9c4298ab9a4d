//! The first seconds of a VM.

use briarshift_gateway::request::Cause;
use briarshift_store::registry::{Call, Member, Name, Reply, Value};
use briarshift_store::{Lease, LeaseId};
use briarshift_units::{MegabitsPerSecond, Span};
use briarshift_wire::datagram::Datagram;

use crate::world::{World, expect_refusal, expect_send, heartbeat, member};

fn count_heartbeats(world: &World) -> usize {
    world.datagrams.iter().filter(|datagram| matches!(datagram, Datagram::Heartbeat(_))).count()
}

/// Until its neighbours know a VM, it reads everything from the store that it
/// could get from them, so it registers first.
#[test]
fn a_vm_registers_before_it_writes_the_secret() {
    let mut world = World::new(&["t-1"]);
    world.tick();
    assert_eq!(world.calls.last(), Some(&Call::Grant { ttl: Span::from_secs(30) }));
    let lease = Lease { id: LeaseId(4), ttl: Span::from_secs(30) };
    let granted = Call::Grant { ttl: Span::from_secs(30) };
    world.reply(granted, Reply::Leased(lease));
    world.tick();
    let Some(register @ Call::Register { .. }) = world.calls.last().cloned() else { panic!() };
    world.reply(register, Reply::Done);
    let before = world.calls.len();
    for _ in 0..41 {
        world.tick();
        world.advance(100);
    }
    let secret_writes =
        world.calls[before..].iter().filter(|call| matches!(call, Call::CreateSecret { .. }));
    assert_eq!(secret_writes.count(), 1);
}

/// When 300 VMs started at once, the changes to 3,000 targets since a stale
/// read were more than they could fetch in time, and nothing else confirmed the
/// configuration.
#[test]
fn confirming_the_configuration_is_enough_to_serve_keys() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_unconfirmed(&["t-1"]);
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Stale);
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadCatalog { .. })));
    let sent_at = world.now;
    world.confirm_catalog();
    assert_eq!(
        expect_send(world.arrive("/safe/a")).config_expires_at,
        Some(sent_at + crate::world::bounds().key_age)
    );
}

#[test]
fn a_fleet_without_a_configuration_asks_for_changes() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.reply_rows(Call::ReadAll { newest: false }, Ok(Vec::new()));
    world.confirm_catalog();
    world.calls.clear();
    world.advance(500);
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
    assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadCatalog { .. })));
}

/// Each target writes about once per second, and a delegate reads all of these
/// writes, so VMs with a wide link come first.
#[test]
fn a_vm_with_a_wide_link_is_the_delegate() {
    for wide in ["vm-2", "vm-3", "vm-4", "vm-5"] {
        let mut world = World::new(&["t-1"]);
        for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
            let Value::Member(member) = member(vm) else { unreachable!() };
            let link = MegabitsPerSecond(if vm == wide { 400 } else { 100 });
            let member = Value::Member(Member { link, ..member });
            world.change_row(Name::Member(vm.parse().unwrap()), Some(member));
            world.apply(heartbeat(vm, 1));
        }
        world.calls.clear();
        for step in 2..11 {
            world.advance(100);
            for vm in ["vm-2", "vm-3", "vm-4", "vm-5"] {
                world.apply(heartbeat(vm, step));
            }
            world.tick();
        }
        assert_eq!(
            world.delegate_addresses.last().map(ToString::to_string),
            Some(wide.replace("vm-", "10.0.0.") + ":1")
        );
        assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
    }
}

#[test]
fn a_vm_without_live_peers_sends_a_heartbeat_at_once() {
    let mut world = World::new(&["t-1"]);
    world.tick();
    world.datagrams.clear();
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.tick();
    assert_eq!(count_heartbeats(&world), 1);
    world.apply(heartbeat("vm-2", 1));
    world.datagrams.clear();
    world.change_row(Name::Member("vm-3".parse().unwrap()), Some(member("vm-3")));
    world.tick();
    assert_eq!(count_heartbeats(&world), 0);
}

#[test]
fn a_peer_that_becomes_live_is_sent_a_heartbeat() {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.tick();
    world.datagrams.clear();
    world.apply(heartbeat("vm-2", 1));
    assert_eq!(count_heartbeats(&world), 1);
    world.apply(heartbeat("vm-2", 2));
    assert_eq!(count_heartbeats(&world), 1);
}

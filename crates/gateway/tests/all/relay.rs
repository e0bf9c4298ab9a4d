//! Loads that relays sum up in a large fleet.

use briarshift_gateway::Kind;
use briarshift_store::registry::Name;
use briarshift_units::{Span, StartNumber};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Load, TargetHash};
use briarshift_wire::load::{Report, Scope};

use crate::fleet::{Fleet, address};
use crate::world::{KEY, World, member, prompt};

/// 120 VMs, each with a few requests a second, and eight runners that are half
/// occupied. With loads from heartbeats alone, which are 1.2 s apart, one send in
/// five went to a runner with more than twice the mean load and three requests:
/// each VM took the runner in its own data centre for idle.
#[test]
fn vms_that_decide_at_once_do_not_overload_a_runner() {
    let mut fleet = Fleet::new(120);
    fleet.run(Span::from_secs(3), 0.0);
    fleet.run(Span::from_secs(4), 9.0);
    let share = fleet.overloads as f64 / fleet.sends as f64;
    assert!(share < 0.03, "{} of {} sends", fleet.overloads, fleet.sends);
}

#[test]
fn vms_of_a_data_centre_use_one_relay_and_its_successor() {
    let mut fleet = Fleet::new(60);
    fleet.run(Span::from_secs(3), 0.0);
    let first = fleet.relays();
    assert_eq!(first.len(), 1, "{first:?}");
    let relay = (0..60).find(|index| first.contains(&format!("vm-{index}"))).unwrap();
    fleet.stopped.insert(address(relay));
    fleet.run(Span::from_millis(1_500), 0.0);
    let second = fleet.relays();
    assert_eq!(second.len(), 1, "{second:?}");
    assert!(first.is_disjoint(&second));
}

/// A VM that is no relay sends a few reports a second, whatever the fleet's size.
#[test]
fn reports_cost_a_vm_the_same_in_a_larger_fleet() {
    for size in [60, 120] {
        let mut fleet = Fleet::new(size);
        fleet.run(Span::from_secs(3), 0.0);
        fleet.sent.clear();
        fleet.run(Span::from_secs(4), 0.0);
        // A hundred heartbeats, five reports and five sync requests a second.
        let mut counts: Vec<_> = fleet.sent.values().copied().collect();
        counts.sort_unstable();
        assert!(counts[size / 2] <= 4 * 115, "{size} VMs: {}", counts[size / 2]);
    }
}

fn load_report(from: &str, sequence: u64, scope: Scope, requests: u32) -> Kind {
    let target = TargetHash::of("t-1");
    Kind::Datagram(Datagram::LoadReport(Report {
        from: from.parse().unwrap(),
        start: StartNumber(1),
        sequence,
        scope,
        loads: vec![Load { target, requests, backlog: 0, memory: 0 }],
        placements: Vec::new(),
    }))
}

/// Returns the load with which the next request is placed.
fn placed_load(world: &mut World) -> u32 {
    world.arrive("/open/a");
    let line = world.log.iter().rev().find(|line| line.starts_with("event=placed")).unwrap();
    let load = line.split_whitespace().find_map(|pair| pair.strip_prefix("load="));
    load.unwrap().parse().unwrap()
}

#[test]
fn a_sum_is_used_while_it_is_recent_and_never_goes_back() {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(load_report("vm-2", 2, Scope::Fleet, 9));
    assert_eq!(placed_load(&mut world), 9);
    world.apply(load_report("vm-2", 1, Scope::Fleet, 90));
    assert_eq!(placed_load(&mut world), 10);
    world.advance(1_000);
    assert_eq!(placed_load(&mut world), 2);
    world.apply(load_report("vm-9", 5, Scope::Fleet, 70));
    assert_eq!(placed_load(&mut world), 3);
}

/// Lets a prompt arrive at a VM and returns how many of its tokens the VM expects
/// its engine to hold.
fn held_tokens(fleet: &mut Fleet, vm: usize) -> u64 {
    fleet.arrive_with(address(vm), |arrival| {
        arrival.path = "/chat/a".into();
        arrival.key = Some(KEY.into());
        arrival.parts = prompt(5, 6);
    });
    let placed = |(_, line): &&(_, String)| line.starts_with("event=placed");
    let (_, line) = fleet.log.iter().rev().find(placed).unwrap();
    let held = line.split_whitespace().find_map(|pair| pair.strip_prefix("held="));
    held.unwrap().parse().unwrap()
}

/// The heartbeats of 120 VMs take 1.2 s to tell all of them where a prompt went.
#[test]
fn all_vms_know_within_a_second_where_a_prompt_went() {
    let mut fleet = Fleet::new(120);
    fleet.run(Span::from_secs(3), 0.0);
    assert_eq!(held_tokens(&mut fleet, 0), 0);
    fleet.run(Span::from_millis(700), 0.0);
    let unaware: Vec<_> = (1..120).filter(|vm| held_tokens(&mut fleet, *vm) == 0).collect();
    assert_eq!(unaware, Vec::<usize>::new());
}

//! Prompts, and the engines that hold their parts.

use std::collections::BTreeMap;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{End, Event as Request, Send};
use briarshift_routing::cache::prefixes;
use briarshift_store::registry::{Call, Member, Name, Target, Value};
use briarshift_units::MegabitsPerSecond;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Placement, TargetHash};

use crate::world::{World, expect_send, heartbeat, leaving, member, prompt, target};

const ENGINES: [&str; 8] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"];

fn send_prompt(world: &mut World, first: u64, second: u64) -> Send {
    expect_send(world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(first, second)))
}

fn complete(world: &mut World, send: &Send) {
    world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
    world.end(send, End::Complete { ok: true });
}

#[test]
fn a_prompt_returns_to_its_engine() {
    let mut world = World::new(&ENGINES);
    for second in 0..40 {
        let first = send_prompt(&mut world, 1, second);
        complete(&mut world, &first);
        let again = send_prompt(&mut world, 1, second);
        complete(&mut world, &again);
        assert_eq!((again.target, again.fetch_from), (first.target, None));
        world.advance(50);
    }
}

#[test]
fn vms_choose_the_same_engine_without_messages() {
    let (mut one, mut two) = (World::new(&ENGINES), World::new(&ENGINES));
    for second in 0..40 {
        assert_eq!(
            send_prompt(&mut one, 1, second).target,
            send_prompt(&mut two, 1, second).target
        );
    }
}

#[test]
fn parts_are_fetched_from_a_leaving_holder() {
    let mut world = World::new(&ENGINES);
    let first = send_prompt(&mut world, 1, 2);
    complete(&mut world, &first);
    let id = first.target.to_string();
    world.change_row(Name::Target(first.target.clone()), Some(leaving(&id)));
    let next = send_prompt(&mut world, 1, 2);
    assert_ne!(next.target, first.target);
    assert_eq!(next.fetch_from, Some(first.address));
}

/// One engine of each data centre holds a prompt's parts. If the prompt goes to
/// the other engine of a data centre, the transfer stays within that data
/// centre.
#[test]
fn parts_are_fetched_within_a_data_centre_if_held_there() {
    let mut world = World::new(&["a-1", "a-2"]);
    for id in ["b-1", "b-2"] {
        let Value::Target(target) = target(id, "desk") else { unreachable!() };
        let far = Target { data_centre: "b".parse().unwrap(), ..target };
        world.change_row(Name::Target(id.parse().unwrap()), Some(Value::Target(far)));
    }
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let mut fetched = 0;
    for second in 0..40 {
        world.apply(placements_on(second, &["a-2", "b-2"]));
        let send = send_prompt(&mut world, 1, second);
        let holder = match send.target.as_str() {
            "a-1" => Some("a-2"),
            "b-1" => Some("b-2"),
            _ => None,
        };
        let holder = holder.map(|id| world.state.targets().get(&id.parse().unwrap()).unwrap());
        assert_eq!(send.fetch_from, holder.map(|entry| entry.target.address));
        fetched += usize::from(send.fetch_from.is_some());
        complete(&mut world, &send);
        world.advance(50);
    }
    assert!(5 < fetched, "{fetched}");
}

/// A peer's heartbeat with placements of a prompt on these engines.
fn placements_on(second: u64, engines: &[&str]) -> Kind {
    let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat("vm-2", second + 1) else {
        unreachable!()
    };
    let prefixes = prefixes(&prompt(1, second)[..2]);
    let parts: Vec<_> = prefixes.iter().map(|(prefix, tokens)| (prefix.0, *tokens)).collect();
    let placement = |id: &&str| Placement { target: TargetHash::of(id), parts: parts.clone() };
    heartbeat.placements = engines.iter().map(placement).collect();
    heartbeat.prompts_sent = 2 * (second + 1);
    Kind::Datagram(Datagram::Heartbeat(heartbeat))
}

/// Returns the holdings that the VM writes within five seconds.
pub fn written_holdings(world: &mut World) -> Option<Vec<u8>> {
    for _ in 0..50 {
        world.advance(100);
        world.tick();
    }
    world.calls.iter().rev().find_map(|call| match call {
        Call::WriteHoldings { holdings } => Some(holdings.clone()),
        _ => None,
    })
}

/// After all VMs of a fleet were killed, the engines still held their parts,
/// but the new VMs sent the prompts to other engines, which read them again.
#[test]
fn a_vm_that_starts_restores_what_engines_hold() {
    let mut before = World::new(&ENGINES);
    let first = send_prompt(&mut before, 1, 2);
    complete(&mut before, &first);
    let holdings = written_holdings(&mut before).unwrap();

    let mut world = World::empty("vm-1");
    world.tick();
    world.read_with(&ENGINES, Name::Holdings, Value::Holdings(holdings));
    let id = first.target.to_string();
    world.change_row(Name::Target(first.target.clone()), Some(leaving(&id)));
    let next = send_prompt(&mut world, 1, 2);
    assert_eq!(next.fetch_from, Some(first.address));
}

#[test]
fn unreadable_holdings_are_ignored() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_with(&ENGINES, Name::Holdings, Value::Holdings(vec![9, 9, 9]));
    assert!(
        world
            .log
            .iter()
            .any(|line| line.starts_with("event=holdings") && line.contains("unusable"))
    );
    send_prompt(&mut world, 1, 2);
}

/// The VM with the widest link writes for the whole fleet.
#[test]
fn holdings_are_written_by_one_vm() {
    let mut world = World::new(&ENGINES);
    let Value::Member(member) = member("vm-2") else { unreachable!() };
    let member = Value::Member(Member { link: MegabitsPerSecond(400), ..member });
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member));
    world.apply(heartbeat("vm-2", 1));
    let first = send_prompt(&mut world, 1, 2);
    complete(&mut world, &first);
    for step in 2..50 {
        world.advance(100);
        world.apply(heartbeat("vm-2", step));
        world.tick();
    }
    assert!(!world.calls.iter().any(|call| matches!(call, Call::WriteHoldings { .. })));
    // Without live peers, this VM is the one that writes.
    assert!(written_holdings(&mut world).is_some());
}

/// One prompt suddenly gets most of the traffic in addition to other prompts.
/// The most loaded engine must stay within the load bound that operators set.
#[test]
fn a_popular_prompt_spreads_within_the_load_bound() {
    let mut world = World::new(&ENGINES);
    let mut running: Vec<Send> = Vec::new();
    let (mut over, mut sends) = (0, 0);
    for step in 0..600_u64 {
        let second = if step % 10 < 6 { 1 } else { step % 37 };
        let send = send_prompt(&mut world, 1, second);
        world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
        running.push(send.clone());
        let mut loads: BTreeMap<_, u32> = BTreeMap::new();
        for send in &running {
            *loads.entry(send.target.clone()).or_default() += 1;
        }
        let mean = running.len() as f64 / ENGINES.len() as f64;
        sends += 1;
        if 2.0 * mean + 3.0 < f64::from(loads[&send.target]) {
            over += 1;
        }
        // At most 32 requests run at a time.
        if 32 <= running.len() {
            let done = running.remove((step * 7 % 32) as usize);
            world.end(&done, End::Complete { ok: true });
        }
        world.advance(20);
        if step % 40 == 0 {
            world.reply_rows(crate::world::changes(), Ok(Vec::new()));
        }
    }
    assert!(over * 100 <= 3 * sends, "{over} of {sends}");
}

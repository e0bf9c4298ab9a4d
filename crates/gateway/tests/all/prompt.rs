//! Prompts and the engines that hold their parts.

use std::collections::BTreeMap;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{End, Event as Request, Send};
use briarshift_routing::cache::prefixes;
use briarshift_store::registry::{Call, Member, Name, Target, Value};
use briarshift_units::MegabitsPerSecond;
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Placement, TargetHash};

use crate::world::{World, beat, leaving, member, prompt, sent, target};

const ENGINES: [&str; 8] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"];

fn ask(world: &mut World, first: u64, second: u64) -> Send {
    sent(world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(first, second)))
}

fn finish(world: &mut World, send: &Send) {
    world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
    world.end(send, End::Complete { ok: true });
}

#[test]
fn a_prompt_returns_to_its_engine() {
    let mut world = World::new(&ENGINES);
    for second in 0..40 {
        let first = ask(&mut world, 1, second);
        finish(&mut world, &first);
        let again = ask(&mut world, 1, second);
        finish(&mut world, &again);
        assert_eq!((again.target, again.fetch_from), (first.target, None));
        world.pass(50);
    }
}

#[test]
fn vms_agree_without_a_message() {
    let (mut one, mut two) = (World::new(&ENGINES), World::new(&ENGINES));
    for second in 0..40 {
        assert_eq!(ask(&mut one, 1, second).target, ask(&mut two, 1, second).target);
    }
}

#[test]
fn parts_are_fetched_from_a_leaving_holder() {
    let mut world = World::new(&ENGINES);
    let first = ask(&mut world, 1, 2);
    finish(&mut world, &first);
    let id = first.target.to_string();
    world.change(Name::Target(first.target.clone()), Some(leaving(&id)));
    let next = ask(&mut world, 1, 2);
    assert_ne!(next.target, first.target);
    assert_eq!(next.fetch_from, Some(first.address));
}

/// One engine of each data centre holds a prompt's parts: whichever other one
/// the prompt goes to, the transfer stays within its data centre.
#[test]
fn parts_are_fetched_within_a_data_centre_if_held_there() {
    let mut world = World::new(&["a-1", "a-2"]);
    for id in ["b-1", "b-2"] {
        let Value::Target(target) = target(id, "desk") else { unreachable!() };
        let far = Target { data_centre: "b".parse().unwrap(), ..target };
        world.change(Name::Target(id.parse().unwrap()), Some(Value::Target(far)));
    }
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    let mut fetched = 0;
    for second in 0..40 {
        world.apply(placed(second, &["a-2", "b-2"]));
        let send = ask(&mut world, 1, second);
        let holder = match send.target.as_str() {
            "a-1" => Some("a-2"),
            "b-1" => Some("b-2"),
            _ => None,
        };
        let holder = holder.map(|id| world.state.targets().get(&id.parse().unwrap()).unwrap());
        assert_eq!(send.fetch_from, holder.map(|entry| entry.target.address));
        fetched += usize::from(send.fetch_from.is_some());
        finish(&mut world, &send);
        world.pass(50);
    }
    assert!(5 < fetched, "{fetched}");
}

/// A peer's beat: a prompt has gone to these engines.
fn placed(second: u64, engines: &[&str]) -> Kind {
    let Kind::Datagram(Datagram::Heartbeat(mut beat)) = beat("vm-2", second + 1) else {
        unreachable!()
    };
    let chains = prefixes(&prompt(1, second)[..2]);
    let parts: Vec<_> = chains.iter().map(|(chain, tokens)| (chain.0, *tokens)).collect();
    let placement = |id: &&str| Placement { target: TargetHash::of(id), parts: parts.clone() };
    beat.placements = engines.iter().map(placement).collect();
    beat.prompts_sent = 2 * (second + 1);
    Kind::Datagram(Datagram::Heartbeat(beat))
}

/// What a world writes of its engines within five seconds.
fn written(world: &mut World) -> Option<Vec<u8>> {
    for _ in 0..50 {
        world.pass(100);
        world.tick();
    }
    world.calls.iter().rev().find_map(|call| match call {
        Call::WriteHoldings { holdings } => Some(holdings.clone()),
        _ => None,
    })
}

/// Replays a fleet all of whose VMs are killed: engines still hold what they held,
/// and the new VMs read it all again elsewhere.
#[test]
fn a_vm_that_starts_knows_what_engines_hold() {
    let mut before = World::new(&ENGINES);
    let first = ask(&mut before, 1, 2);
    finish(&mut before, &first);
    let holdings = written(&mut before).unwrap();

    let mut world = World::empty("vm-1");
    world.tick();
    world.read_with(&ENGINES, Name::Holdings, Value::Holdings(holdings));
    let id = first.target.to_string();
    world.change(Name::Target(first.target.clone()), Some(leaving(&id)));
    let next = ask(&mut world, 1, 2);
    assert_eq!(next.fetch_from, Some(first.address));
}

#[test]
fn holdings_that_can_not_be_read_harm_nothing() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_with(&ENGINES, Name::Holdings, Value::Holdings(vec![9, 9, 9]));
    assert!(
        world
            .log
            .iter()
            .any(|line| line.starts_with("event=holdings") && line.contains("unusable"))
    );
    ask(&mut world, 1, 2);
}

/// One VM writes for the whole fleet: the first with a wide link.
#[test]
fn what_engines_hold_is_written_once() {
    let mut world = World::new(&ENGINES);
    let Value::Member(member) = member("vm-2") else { unreachable!() };
    let member = Value::Member(Member { link: MegabitsPerSecond(400), ..member });
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member));
    world.apply(beat("vm-2", 1));
    let first = ask(&mut world, 1, 2);
    finish(&mut world, &first);
    for step in 2..50 {
        world.pass(100);
        world.apply(beat("vm-2", step));
        world.tick();
    }
    assert!(!world.calls.iter().any(|call| matches!(call, Call::WriteHoldings { .. })));
    // Nobody else is heard any more.
    assert!(written(&mut world).is_some());
}

/// Replays a prompt that gets most of the traffic at once, on top of others:
/// the most loaded engine stays within the bound that operators promise.
#[test]
fn a_popular_prompt_spreads_within_the_load_bound() {
    let mut world = World::new(&ENGINES);
    let mut running: Vec<Send> = Vec::new();
    let (mut over, mut sends) = (0, 0);
    for step in 0..600_u64 {
        let second = if step % 10 < 6 { 1 } else { step % 37 };
        let send = ask(&mut world, 1, second);
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
        // 32 requests run at a time.
        if 32 <= running.len() {
            let done = running.remove((step * 7 % 32) as usize);
            world.end(&done, End::Complete { ok: true });
        }
        world.pass(20);
        if step % 40 == 0 {
            world.answer(crate::world::changes(), Ok(Vec::new()));
        }
    }
    assert!(over * 100 <= 3 * sends, "{over} of {sends}");
}

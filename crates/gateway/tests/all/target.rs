//! Targets that come, go, fail and move.

use briarshift_gateway::request::{Cause, End, Send};
use briarshift_store::registry::{Name, Value};

use crate::world::{World, beat, leaving, member, not_sent, refused, sent, target};

fn name(id: &str) -> Name {
    Name::Target(id.parse().unwrap())
}

/// Targets that get the next requests.
fn used(world: &mut World) -> Vec<String> {
    let mut used: Vec<_> = (0..20)
        .map(|_| {
            let send = sent(world.arrive("/book/a"));
            world.end(&send, End::Complete { ok: true });
            send.target.to_string()
        })
        .collect();
    used.sort();
    used.dedup();
    used
}

#[test]
fn leaving_targets_get_nothing() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change(name("t-1"), Some(leaving("t-1")));
    assert_eq!(used(&mut world), ["t-2"]);
}

#[test]
fn targets_that_are_gone_get_nothing() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change(name("t-1"), None);
    assert_eq!(used(&mut world), ["t-2"]);
}

#[test]
fn an_unusable_row_names_no_target() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change(name("t-1"), Some(Value::Unusable("no service".into())));
    assert_eq!(used(&mut world), ["t-2"]);
}

#[test]
fn targets_lost_in_trouble_are_used_where_no_other_is() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.fail();
    world.change(name("t-1"), None);
    assert_eq!(used(&mut world), ["t-2"]);
    world.change(name("t-2"), None);
    assert_eq!(used(&mut world).len(), 2);
    world.pass(1_500);
    world.tick();
    assert_eq!(refused(world.arrive("/book/a")), Cause::NoTarget);
}

#[test]
fn targets_that_come_back_in_trouble_stay() {
    let mut world = World::new(&["t-1"]);
    world.fail();
    world.change(name("t-1"), None);
    world.pass(1_000);
    world.change(name("t-1"), Some(target("t-1", "desk")));
    world.pass(1_000);
    world.tick();
    assert_eq!(used(&mut world), ["t-1"]);
}

#[test]
fn an_earlier_start_changes_nothing() {
    let start = |start| {
        let Value::Target(mut target) = target("t-1", "desk") else { unreachable!() };
        target.start = Some(briarshift_units::StartNumber(start));
        Some(Value::Target(target))
    };
    let mut world = World::new(&["t-1"]);
    world.change(name("t-1"), start(9));
    let lines = world.log.len();
    world.change(name("t-1"), start(8));
    assert_eq!(world.log.len(), lines);
}

#[test]
fn targets_that_cannot_be_reached_are_passed_over_for_a_while() {
    let mut world = World::new(&["t-1", "t-2"]);
    let send = sent(world.arrive("/book/a"));
    let other = sent(world.end(&send, not_sent()).unwrap());
    world.end(&other, End::Complete { ok: true });
    assert_eq!(used(&mut world), [other.target.to_string()]);
    for _ in 0..5 {
        world.pass(2_000);
        world.answer(crate::world::changes(), Ok(Vec::new()));
    }
    assert_eq!(used(&mut world).len(), 2);
}

#[test]
fn a_target_that_moved_is_passed_over() {
    let mut world = World::new(&["t-1", "t-2"]);
    let send = sent(world.arrive("/book/a"));
    world.end(&send, End::NotRun { status: 421, moved: true });
    let used = used(&mut world);
    assert!(!used.contains(&send.target.to_string()));
}

/// Two targets in another data centre, whose VM was heard and falls silent.
fn silent_centre() -> World {
    let mut world = World::new(&["t-1", "t-2"]);
    for id in ["far-1", "far-2", "far-3"] {
        let Value::Target(mut target) = target(id, "desk") else { unreachable!() };
        target.data_centre = "b".parse().unwrap();
        world.change(name(id), Some(Value::Target(target)));
    }
    let Value::Member(mut far) = member("vm-2") else { unreachable!() };
    far.data_centre = "b".parse().unwrap();
    world.change(Name::Member("vm-2".parse().unwrap()), Some(Value::Member(far)));
    world.apply(beat("vm-2", 1));
    for _ in 0..8 {
        world.pass(100);
        world.tick();
    }
    world
}

/// Holds the near targets busy, so that far ones get the next requests.
fn far_send(world: &mut World) -> Send {
    for _ in 0..40 {
        let send = sent(world.arrive("/book/a"));
        if send.target.as_str().starts_with("far") {
            return send;
        }
    }
    panic!("no request went far");
}

#[test]
fn a_silent_data_centre_with_a_failed_target_is_passed_over() {
    let mut world = silent_centre();
    let send = far_send(&mut world);
    world.end(&send, not_sent());
    for _ in 0..20 {
        assert!(sent(world.arrive("/book/a")).target.as_str().starts_with("t-"));
    }
    world.apply(beat("vm-2", 2));
    world.pass(300);
    world.tick();
    far_send(&mut world);
}

#[test]
fn a_silent_data_centre_whose_targets_answer_is_used() {
    let mut world = silent_centre();
    let send = far_send(&mut world);
    world.end(&send, End::Complete { ok: true });
    far_send(&mut world);
}

#[test]
fn load_is_spread() {
    let mut world = World::new(&["t-1", "t-2", "t-3"]);
    let mut targets: Vec<_> =
        (0..9).map(|_| sent(world.arrive("/book/a")).target.to_string()).collect();
    targets.sort();
    assert_eq!(targets, ["t-1", "t-1", "t-1", "t-2", "t-2", "t-2", "t-3", "t-3", "t-3"]);
}

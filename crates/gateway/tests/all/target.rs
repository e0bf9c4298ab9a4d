//! Targets that register, leave, fail and move.

use briarshift_gateway::request::{Cause, End, Send};
use briarshift_store::registry::{Name, Value};

use crate::world::{
    World, changes, expect_refusal, expect_send, heartbeat, leaving, member, not_sent, target,
};

fn name(id: &str) -> Name {
    Name::Target(id.parse().unwrap())
}

/// Returns the targets that get the next requests.
fn chosen_targets(world: &mut World) -> Vec<String> {
    let mut targets: Vec<_> = (0..20)
        .map(|_| {
            let send = expect_send(world.arrive("/book/a"));
            world.end(&send, End::Complete { ok: true });
            send.target.to_string()
        })
        .collect();
    targets.sort();
    targets.dedup();
    targets
}

#[test]
fn leaving_targets_get_no_requests() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(name("t-1"), Some(leaving("t-1")));
    assert_eq!(chosen_targets(&mut world), ["t-2"]);
}

#[test]
fn removed_targets_get_no_requests() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(name("t-1"), None);
    assert_eq!(chosen_targets(&mut world), ["t-2"]);
}

#[test]
fn an_unusable_row_removes_its_target() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(name("t-1"), Some(Value::Unusable("no service".into())));
    assert_eq!(chosen_targets(&mut world), ["t-2"]);
}

#[test]
fn targets_lost_while_the_store_fails_are_used_if_there_are_no_others() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.fail_store();
    world.change_row(name("t-1"), None);
    assert_eq!(chosen_targets(&mut world), ["t-2"]);
    world.change_row(name("t-2"), None);
    assert_eq!(chosen_targets(&mut world).len(), 2);
    world.advance(1_500);
    world.tick();
    assert_eq!(expect_refusal(world.arrive("/book/a")), Cause::NoTarget);
}

/// A retry went to a target whose row had been deleted for 2 s, because the other target
/// had been tried.
#[test]
fn a_retry_does_not_go_to_a_target_that_was_lost_while_the_store_fails() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.fail_store();
    world.change_row(name("t-1"), None);
    let send = expect_send(world.arrive("/safe/a"));
    let retry = expect_send(world.end(&send, End::Failed { status: 500 }).unwrap());
    assert_eq!((send.target.as_str(), retry.target.as_str()), ("t-2", "t-2"));
}

#[test]
fn targets_that_return_while_the_store_fails_stay() {
    let mut world = World::new(&["t-1"]);
    world.fail_store();
    world.change_row(name("t-1"), None);
    world.advance(1_000);
    world.change_row(name("t-1"), Some(target("t-1", "desk")));
    world.advance(1_000);
    world.tick();
    assert_eq!(chosen_targets(&mut world), ["t-1"]);
}

#[test]
fn a_row_of_an_earlier_start_is_ignored() {
    let start = |start| {
        let Value::Target(mut target) = target("t-1", "desk") else { unreachable!() };
        target.start = Some(briarshift_units::StartNumber(start));
        Some(Value::Target(target))
    };
    let mut world = World::new(&["t-1"]);
    world.change_row(name("t-1"), start(9));
    world.log.clear();
    world.change_row(name("t-1"), start(8));
    // The row is news, but nothing about the target changes.
    let changed: Vec<_> = world.log.iter().filter(|line| line.contains("target")).collect();
    assert!(changed.is_empty(), "{changed:?}");
    let id = "t-1".parse().unwrap();
    let start = world.state.targets().get(&id).unwrap().target.start;
    assert_eq!(start, Some(briarshift_units::StartNumber(9)));
}

#[test]
fn unreachable_targets_are_avoided_for_a_while() {
    let mut world = World::new(&["t-1", "t-2"]);
    let send = expect_send(world.arrive("/book/a"));
    let other = expect_send(world.end(&send, not_sent()).unwrap());
    world.end(&other, End::Complete { ok: true });
    assert_eq!(chosen_targets(&mut world), [other.target.to_string()]);
    for _ in 0..5 {
        world.advance(2_000);
        world.reply_rows(changes(), Ok(Vec::new()));
    }
    assert_eq!(chosen_targets(&mut world).len(), 2);
}

#[test]
fn a_target_that_moved_is_avoided() {
    let mut world = World::new(&["t-1", "t-2"]);
    let send = expect_send(world.arrive("/book/a"));
    world.end(&send, End::NotRun { status: 421, moved: true });
    let targets = chosen_targets(&mut world);
    assert!(!targets.contains(&send.target.to_string()));
}

/// Returns a VM with three targets in another data centre, whose only VM has
/// become silent.
fn silent_data_centre() -> World {
    let mut world = World::new(&["t-1", "t-2"]);
    for id in ["far-1", "far-2", "far-3"] {
        let Value::Target(mut target) = target(id, "desk") else { unreachable!() };
        target.data_centre = "b".parse().unwrap();
        world.change_row(name(id), Some(Value::Target(target)));
    }
    let Value::Member(mut far) = member("vm-2") else { unreachable!() };
    far.data_centre = "b".parse().unwrap();
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(Value::Member(far)));
    world.apply(heartbeat("vm-2", 1));
    for _ in 0..8 {
        world.advance(100);
        world.tick();
    }
    world
}

/// Keeps the near targets busy until a request goes to a target in the other
/// data centre.
fn far_send(world: &mut World) -> Send {
    for _ in 0..40 {
        let send = expect_send(world.arrive("/book/a"));
        if send.target.as_str().starts_with("far") {
            return send;
        }
    }
    panic!("no request went far");
}

#[test]
fn a_silent_data_centre_with_a_failed_target_is_avoided() {
    let mut world = silent_data_centre();
    let send = far_send(&mut world);
    world.end(&send, not_sent());
    for _ in 0..20 {
        assert!(expect_send(world.arrive("/book/a")).target.as_str().starts_with("t-"));
    }
    world.apply(heartbeat("vm-2", 2));
    world.advance(300);
    world.tick();
    far_send(&mut world);
}

#[test]
fn a_silent_data_centre_whose_targets_answer_is_used() {
    let mut world = silent_data_centre();
    let send = far_send(&mut world);
    world.end(&send, End::Complete { ok: true });
    far_send(&mut world);
}

#[test]
fn load_is_spread_evenly() {
    let mut world = World::new(&["t-1", "t-2", "t-3"]);
    let mut targets: Vec<_> =
        (0..9).map(|_| expect_send(world.arrive("/book/a")).target.to_string()).collect();
    targets.sort();
    assert_eq!(targets, ["t-1", "t-1", "t-1", "t-2", "t-2", "t-2", "t-3", "t-3", "t-3"]);
}

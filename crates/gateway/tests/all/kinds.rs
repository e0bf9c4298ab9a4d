//! What is sent again, and what callers are told.

use briarshift_gateway::request::{Cause, Decision, End};
use briarshift_store::registry::Name;

use crate::world::{KEY, World, broken, catalog, not_sent, refused, sent};

const TARGETS: [&str; 3] = ["t-1", "t-2", "t-3"];

/// What follows the end of a first send on a route.
fn after(path: &str, end: End) -> Decision {
    let mut world = World::new(&TARGETS);
    let send = sent(world.arrive(path));
    world.end(&send, end).unwrap()
}

#[test]
fn what_may_have_run_is_sent_again_only_if_idempotent() {
    for path in ["/book/a", "/chat/a"] {
        assert_eq!(refused(after(path, broken())), Cause::Unknown);
        assert_eq!(refused(after(path, End::AnswerTimeout)), Cause::Unknown);
    }
    for path in ["/safe/a", "/long/a"] {
        sent(after(path, broken()));
        sent(after(path, End::AnswerTimeout));
    }
}

#[test]
fn what_was_not_sent_goes_elsewhere() {
    for path in ["/book/a", "/chat/a", "/safe/a"] {
        let mut world = World::new(&TARGETS);
        let first = sent(world.arrive(path));
        let second = sent(world.end(&first, not_sent()).unwrap());
        assert_ne!(first.target, second.target);
        assert_eq!(second.id.number, 2);
    }
}

#[test]
fn what_a_target_turned_away_is_not_run() {
    let turned_away = End::NotRun { status: 503, moved: false };
    assert_eq!(refused(after("/book/a", turned_away.clone())), Cause::TurnedAway);
    sent(after("/safe/a", turned_away));
}

#[test]
fn a_failure_of_the_target_is_delivered_in_the_end() {
    assert_eq!(after("/book/a", End::Failed { status: 500 }), Decision::Deliver);
    let mut world = World::new(&TARGETS);
    let first = sent(world.arrive("/safe/a"));
    let second = sent(world.end(&first, End::Failed { status: 500 }).unwrap());
    assert_eq!(world.end(&second, broken()), Some(Decision::Deliver));
}

#[test]
fn no_more_targets_than_the_route_allows() {
    let mut world = World::new(&TARGETS);
    let first = sent(world.arrive("/safe/a"));
    let second = sent(world.end(&first, broken()).unwrap());
    assert_eq!(refused(world.end(&second, broken()).unwrap()), Cause::Unknown);
}

#[test]
fn a_request_that_may_have_run_is_never_called_not_run() {
    let mut world = World::new(&TARGETS);
    let first = sent(world.arrive("/safe/a"));
    let second = sent(world.end(&first, broken()).unwrap());
    let end = End::NotRun { status: 503, moved: false };
    assert!(!refused(world.end(&second, end).unwrap()).is_not_run());
}

#[test]
fn time_that_is_up_is_told() {
    let mut world = World::new(&TARGETS);
    let send = sent(world.arrive("/book/a"));
    world.pass(2_000);
    assert_eq!(refused(world.end(&send, End::AnswerTimeout).unwrap()), Cause::TimedOut);
    let send = sent(world.arrive("/book/a"));
    world.pass(2_000);
    world.fail();
    assert!(refused(world.end(&send, not_sent()).unwrap()).is_not_run());
}

#[test]
fn retries_keep_to_the_budget() {
    let mut world = World::new(&TARGETS);
    let mut again = 0;
    for _ in 0..400 {
        let send = sent(world.arrive("/safe/a"));
        if let Some(Decision::Send(second)) = world.end(&send, broken()) {
            again += 1;
            world.end(&second, End::Complete { ok: true });
        }
    }
    // A fifth of the requests, and 50.
    assert!((100..=130).contains(&again), "{again}");
}

#[test]
fn keys_are_served_while_the_configuration_is_young() {
    let mut world = World::new(&TARGETS);
    world.pass(2_999);
    sent(world.arrive("/safe/a"));
    world.pass(1);
    assert_eq!(refused(world.arrive("/safe/a")), Cause::Stale);
    assert_eq!(refused(world.arrive("/nowhere/a")), Cause::Stale);
    sent(world.arrive_with("/open/a", |arrival| arrival.key = None));
}

#[test]
fn a_send_carries_the_fence() {
    let mut world = World::new(&TARGETS);
    let read = world.now;
    world.pass(100);
    let send = sent(world.arrive("/safe/a"));
    assert_eq!(send.fence, Some(read + crate::world::bounds().key_age));
    assert_eq!(sent(world.arrive("/open/a")).fence, None);
}

#[test]
fn a_fenced_send_is_decided_anew() {
    let mut world = World::new(&TARGETS);
    let send = sent(world.arrive("/book/a"));
    world.pass(3_000);
    assert!(refused(world.end(&send, End::Fenced).unwrap()).is_not_run());
}

#[test]
fn configuration_never_goes_back() {
    let mut world = World::new(&TARGETS);
    world.change(Name::Catalog, Some(catalog(5, "key-2")));
    assert_eq!(refused(world.arrive("/safe/a")), Cause::NoAccount);
    world.change(Name::Catalog, Some(catalog(4, KEY)));
    assert_eq!(refused(world.arrive("/safe/a")), Cause::NoAccount);
    assert!(world.log.iter().any(|line| line.starts_with("event=catalog_older")));
}

#[test]
fn a_read_that_may_be_old_confirms_nothing() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_only(&TARGETS);
    assert_eq!(refused(world.arrive("/safe/a")), Cause::Stale);
    world.answer(crate::world::changes(), Ok(Vec::new()));
    sent(world.arrive("/safe/a"));
}

#[test]
fn a_vm_without_configuration_refuses_as_not_run() {
    let mut world = World::empty("vm-1");
    assert_eq!(refused(world.arrive("/safe/a")), Cause::NotReady);
}

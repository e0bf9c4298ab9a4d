//! A graceful stop.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, End};

use crate::world::{World, changes, refused, sent};

/// A VM that was told to stop this long ago.
fn stopping(millis: u64) -> World {
    let mut world = World::new(&["t-1"]);
    world.apply(Kind::Drain);
    for _ in 0..millis / 100 {
        world.pass(100);
        world.answer(changes(), Ok(Vec::new()));
        world.tick();
    }
    world
}

#[test]
fn whoever_still_comes_is_served() {
    let mut world = stopping(2_000);
    sent(world.arrive("/book/a"));
    sent(world.arrive("/chat/a"));
}

/// Replays a request that came in the same millisecond in which the last one
/// had ended: it was passed on, and the process ended under it.
#[test]
fn nothing_is_passed_on_between_the_last_request_and_the_end() {
    let mut world = stopping(2_500);
    let send = sent(world.arrive("/book/a"));
    world.pass(200);
    world.end(&send, End::Complete { ok: true });
    world.tick();
    assert!(!world.drained);
    assert_eq!(refused(world.arrive("/book/a")), Cause::Leaving);
    world.pass(250);
    world.tick();
    assert!(world.drained);
}

#[test]
fn a_request_in_flight_is_waited_for() {
    let mut world = stopping(1_000);
    sent(world.arrive("/book/a"));
    for _ in 0..60 {
        world.pass(100);
        world.answer(changes(), Ok(Vec::new()));
        world.tick();
    }
    assert!(!world.drained);
    for _ in 0..10 {
        world.pass(100);
        world.tick();
    }
    assert!(world.drained);
}

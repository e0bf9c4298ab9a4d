//! Graceful shutdown.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, End};

use crate::world::{World, changes, expect_refusal, expect_send};

/// Returns a VM that was told to shut down `millis` ago.
fn stopping(millis: u64) -> World {
    let mut world = World::new(&["t-1"]);
    world.apply(Kind::Drain);
    for _ in 0..millis / 100 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
    world
}

#[test]
fn requests_are_served_until_the_drain_settles() {
    let mut world = stopping(2_000);
    expect_send(world.arrive("/book/a"));
    expect_send(world.arrive("/chat/a"));
}

/// A request that arrived in the same millisecond in which the last one ended
/// was sent to a target, and the process exited before its answer.
#[test]
fn no_request_is_sent_between_the_last_request_and_the_exit() {
    let mut world = stopping(2_500);
    let send = expect_send(world.arrive("/book/a"));
    world.advance(200);
    world.end(&send, End::Complete { ok: true });
    world.tick();
    assert!(!world.drained);
    assert_eq!(expect_refusal(world.arrive("/book/a")), Cause::Leaving);
    world.advance(250);
    world.tick();
    assert!(world.drained);
}

#[test]
fn a_drain_waits_for_requests_in_flight() {
    let mut world = stopping(1_000);
    expect_send(world.arrive("/book/a"));
    for _ in 0..60 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
    assert!(!world.drained);
    for _ in 0..10 {
        world.advance(100);
        world.tick();
    }
    assert!(world.drained);
}

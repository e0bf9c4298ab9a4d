//! Graceful shutdown.

use briarshift_gateway::Kind;
use briarshift_gateway::limit::{DRAIN_RESERVE, DRAIN_SETTLE};
use briarshift_gateway::request::{Arrival, Cause, Decision, End};
use briarshift_units::Span;
use proptest::prelude::prop;
use proptest::proptest;

use crate::world::{World, changes, expect_refusal, expect_send};

/// Returns a VM that was told to shut down `millis` ago.
fn stopping(millis: u64) -> World {
    let mut world = World::new(&["t-1"]);
    world.apply(Kind::Drain);
    pass(&mut world, millis);
    world
}

/// Lets time pass while the store is read.
fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis / 100 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
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
    pass(&mut world, 6_000);
    assert!(!world.drained);
    for _ in 0..10 {
        world.advance(100);
        world.tick();
    }
    assert!(world.drained);
}

/// Returns a VM whose shutdown a long stream holds up, that was told to stop
/// `millis` ago.
fn held_up(millis: u64) -> World {
    let mut world = stopping(1_000);
    expect_send(world.arrive("/long/a"));
    pass(&mut world, millis - 1_000);
    world
}

/// Bookings that arrived late in a graceful stop, while a stream held it up, ran at
/// their targets and were cut off without an answer.
#[test]
fn a_request_that_may_outlast_the_process_is_refused_as_not_run() {
    let mut world = held_up(5_500);
    expect_send(world.arrive("/book/a"));
    // The grace time is 8 s, and a booking may take 2 s.
    world.advance(300);
    assert_eq!(expect_refusal(world.arrive("/book/a")), Cause::Leaving);
    let short = |arrival: &mut Arrival| arrival.deadline = Some(Span::from_millis(500));
    expect_send(world.arrive_with("/book/a", short));
}

/// A request that was still running when the grace time ended was cut off by the end
/// of the process, and its caller could not tell whether it ran.
#[test]
fn a_request_in_flight_at_the_end_of_the_grace_time_is_answered() {
    let mut world = stopping(2_500);
    let send = expect_send(world.arrive("/book/a"));
    while !world.drained {
        world.advance(100);
        world.tick();
    }
    let (request, decision) = world.decisions.last().unwrap().clone();
    assert_eq!(request, send.id.request);
    assert_eq!(expect_refusal(decision), Cause::Unknown);
}

/// Guards against a process that outlives its grace time, or cuts callers off before it.
#[test]
fn callers_have_nearly_the_whole_grace_time_to_read_their_answers() {
    for holds_up in [false, true] {
        let mut world = World::new(&["t-1"]);
        if holds_up {
            expect_send(world.arrive("/long/a"));
        }
        let stop = world.now;
        world.apply(Kind::Drain);
        while !world.drained {
            world.advance(25);
            world.reply_rows(changes(), Ok(Vec::new()));
            world.tick();
        }
        let end = world.end.unwrap();
        assert!(world.now <= end && end < stop + GRACE, "{end:?}");
        assert!(stop + (GRACE - DRAIN_RESERVE) < end, "{end:?}");
    }
}

proptest! {
    /// Whatever a stop is held up by, a request that is accepted once callers have
    /// noticed it ends by its deadline before the last answers are sent.
    #[test]
    fn an_accepted_request_ends_before_the_process(
        pause in 0..90_u64,
        deadlines in prop::collection::vec(50..15_000_u64, 1..8),
    ) {
        let mut world = World::new(&["t-1"]);
        world.apply(Kind::Drain);
        let stop = world.now;
        expect_send(world.arrive("/long/a"));
        for deadline in deadlines {
            for _ in 0..pause {
                world.advance(25);
                world.reply_rows(changes(), Ok(Vec::new()));
                world.tick();
            }
            let since = world.now.since(stop);
            let change = |it: &mut Arrival| it.deadline = Some(Span::from_millis(deadline));
            let Decision::Send(send) = world.arrive_with("/book/a", change) else { continue };
            assert!(!world.drained);
            let is_settled = DRAIN_SETTLE <= since;
            assert!(!is_settled || send.deadline <= stop + (GRACE - DRAIN_RESERVE), "{since}");
        }
    }
}

/// Longest duration of a stop in [`World`].
const GRACE: Span = Span::from_secs(8);

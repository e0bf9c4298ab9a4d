//! Streams that break, callers that vanish, workers that fall silent.

use briarshift_control::request::{Outcome, Reason};
use briarshift_target::Attempt;
use briarshift_units::{RequestId, Span};

use crate::world::{Faults, Response, World, chat, desk, response_body};

fn attempt(request: u64, number: u32) -> Attempt {
    Attempt { request: RequestId(request), number }
}

#[test]
fn a_broken_stream_is_resumed_where_it_runs() {
    let check = |last_id: u64, relayed: bool, runs: &[Attempt]| {
        let mut world = World::new(1, 0, 4, 1, Faults::default());
        world.stream_cut = Some((last_id, relayed));
        world.send(0, chat(1, 0, "body"));
        world.run(2_000);
        let ran: Vec<_> = world.runs.iter().map(|run| run.id).collect();
        assert_eq!(ran, runs);
        let last = *runs.last().unwrap();
        assert_eq!(
            world.responses.get(&RequestId(1)),
            Some(&Response::Completed(response_body(last)))
        );
    };
    check(3, true, &[attempt(1, 1)]);
    check(3, false, &[attempt(1, 1)]);
    // Without an event it is sent anew, as long as nothing was relayed.
    check(0, false, &[attempt(1, 1), attempt(1, 2)]);
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_in_an_error() {
    let mut world = World::new(1, 0, 4, 1, Faults::default());
    world.stream_cut = Some((0, true));
    world.send(0, chat(1, 0, "body"));
    world.run(2_000);
    let Some(Response::Refused(refusal)) = world.responses.get(&RequestId(1)) else { panic!() };
    assert!(matches!(refusal.reason, Reason::Target(_)));
    assert_eq!(refusal.outcome, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_vanished_callers_chat_is_cancelled_and_frees_its_place() {
    let mut world = World::new(1, 0, 2, 1, Faults::default());
    world.send(0, chat(1, 0, "body"));
    world.run(15);
    assert_eq!(world.in_flight(0), 1);
    world.disconnect(0, RequestId(1));
    world.run(50);
    assert_eq!(world.cancelled, [attempt(1, 1)]);
    assert_eq!(world.in_flight(0), 0);
}

#[test]
fn a_silent_worker_does_not_hold_its_place_for_ever() {
    let check = |arrival, seconds: u64, cancelled: &[Attempt]| {
        let mut world = World::new(1, 1, 1, 1, Faults::default());
        world.workers_silent = true;
        world.send(0, arrival);
        world.run((seconds - 1) * 1_000);
        assert_eq!(world.in_flight(0), 1);
        world.run(2_000);
        assert_eq!(world.in_flight(0), 0);
        assert_eq!(world.cancelled, cancelled);
        let Some(Response::Refused(refusal)) = world.responses.get(&RequestId(1)) else { panic!() };
        assert_eq!(refusal.outcome, Outcome::Unknown);
    };
    // The desk's limit of 3 s and the margin.
    check(desk(1, 0, "GET", "stock", None, "body"), 33, &[]);
    check(chat(1, 0, "body"), 3_600, &[attempt(1, 1)]);
}

#[test]
fn an_account_over_its_limit_is_told_how_long_to_wait() {
    let mut world = World::new(2, 0, 4, 1, Faults::default());
    world.send(0, chat(1, 2, "one"));
    world.run(1_000);
    world.send(1, chat(2, 2, "two"));
    world.run(1_000);
    assert!(matches!(world.responses[&RequestId(1)], Response::Completed(_)));
    let Some(Response::Refused(refusal)) = world.responses.get(&RequestId(2)) else { panic!() };
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let wait = refusal.retry_after.unwrap();
    let (least, most) = (Span::from_millis(8_500), Span::from_millis(9_100));
    assert!(least <= wait && wait <= most, "{wait}");
}

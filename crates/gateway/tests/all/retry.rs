//! Retries, and the refusals that callers get.

use briarshift_gateway::request::{Cause, Decision, End};
use briarshift_store::registry::Name;

use crate::world::{KEY, World, catalog, expect_refusal, expect_send, interrupted, not_sent};

const TARGETS: [&str; 3] = ["t-1", "t-2", "t-3"];

/// Returns the decision after a first send on a route has ended.
fn decision_after(path: &str, end: End) -> Decision {
    let mut world = World::new(&TARGETS);
    let send = expect_send(world.arrive(path));
    world.end(&send, end).unwrap()
}

#[test]
fn requests_that_may_have_run_are_retried_only_if_idempotent() {
    for path in ["/book/a", "/chat/a"] {
        assert_eq!(expect_refusal(decision_after(path, interrupted())), Cause::Unknown);
        assert_eq!(expect_refusal(decision_after(path, End::AnswerTimeout)), Cause::Unknown);
        let ambiguous = End::Ambiguous { status: 503 };
        assert_eq!(expect_refusal(decision_after(path, ambiguous)), Cause::Unknown);
    }
    for path in ["/safe/a", "/long/a"] {
        expect_send(decision_after(path, interrupted()));
        expect_send(decision_after(path, End::AnswerTimeout));
        expect_send(decision_after(path, End::Ambiguous { status: 503 }));
    }
}

#[test]
fn unsent_requests_go_to_another_target() {
    for path in ["/book/a", "/chat/a", "/safe/a"] {
        let mut world = World::new(&TARGETS);
        let first = expect_send(world.arrive(path));
        let second = expect_send(world.end(&first, not_sent()).unwrap());
        assert_ne!(first.target, second.target);
        assert_eq!(second.id.number, 2);
    }
}

#[test]
fn a_request_that_a_target_turned_away_is_not_run() {
    let turned_away = End::NotRun { status: 503, moved: false };
    assert_eq!(expect_refusal(decision_after("/book/a", turned_away.clone())), Cause::TurnedAway);
    expect_send(decision_after("/safe/a", turned_away));
}

#[test]
fn a_failure_answer_is_delivered_if_no_retry_succeeds() {
    assert_eq!(decision_after("/book/a", End::Failed { status: 500 }), Decision::Deliver);
    let mut world = World::new(&TARGETS);
    let first = expect_send(world.arrive("/safe/a"));
    let second = expect_send(world.end(&first, End::Failed { status: 500 }).unwrap());
    assert_eq!(world.end(&second, interrupted()), Some(Decision::Deliver));
    let first = expect_send(world.arrive("/safe/a"));
    let second = expect_send(world.end(&first, End::Failed { status: 500 }).unwrap());
    assert_eq!(world.end(&second, End::Ambiguous { status: 503 }), Some(Decision::Deliver));
}

#[test]
fn attempts_are_limited_by_the_route() {
    let mut world = World::new(&TARGETS);
    let first = expect_send(world.arrive("/safe/a"));
    let second = expect_send(world.end(&first, interrupted()).unwrap());
    assert_eq!(expect_refusal(world.end(&second, interrupted()).unwrap()), Cause::Unknown);
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut world = World::new(&TARGETS);
    let first = expect_send(world.arrive("/safe/a"));
    let second = expect_send(world.end(&first, interrupted()).unwrap());
    let end = End::NotRun { status: 503, moved: false };
    assert!(!expect_refusal(world.end(&second, end).unwrap()).is_not_run());
}

#[test]
fn a_refusal_after_the_deadline_tells_whether_the_request_may_have_run() {
    let mut world = World::new(&TARGETS);
    let send = expect_send(world.arrive("/book/a"));
    world.advance(2_000);
    assert_eq!(expect_refusal(world.end(&send, End::AnswerTimeout).unwrap()), Cause::TimedOut);
    let send = expect_send(world.arrive("/book/a"));
    world.advance(2_000);
    world.fail_store();
    assert!(expect_refusal(world.end(&send, not_sent()).unwrap()).is_not_run());
}

#[test]
fn retries_stay_within_the_budget() {
    let mut world = World::new(&TARGETS);
    let mut retries = 0;
    for _ in 0..400 {
        let send = expect_send(world.arrive("/safe/a"));
        if let Some(Decision::Send(second)) = world.end(&send, interrupted()) {
            retries += 1;
            world.end(&second, End::Complete { ok: true });
        }
    }
    // The budget is a fifth of the requests, plus 50.
    assert!((100..=130).contains(&retries), "{retries}");
}

#[test]
fn keys_are_served_while_the_configuration_is_fresh() {
    let mut world = World::new(&TARGETS);
    world.advance(2_999);
    expect_send(world.arrive("/safe/a"));
    world.advance(1);
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Stale);
    assert_eq!(expect_refusal(world.arrive("/nowhere/a")), Cause::Stale);
    expect_send(world.arrive_with("/open/a", |arrival| arrival.key = None));
}

#[test]
fn a_send_carries_the_expiry_of_the_configuration() {
    let mut world = World::new(&TARGETS);
    let read = world.now;
    world.advance(100);
    let send = expect_send(world.arrive("/safe/a"));
    assert_eq!(send.config_expires_at, Some(read + crate::world::bounds().key_age));
    assert_eq!(expect_send(world.arrive("/open/a")).config_expires_at, None);
}

#[test]
fn a_send_after_the_configuration_expired_is_refused_as_not_run() {
    let mut world = World::new(&TARGETS);
    let send = expect_send(world.arrive("/book/a"));
    world.advance(3_000);
    assert!(expect_refusal(world.end(&send, End::ConfigExpired).unwrap()).is_not_run());
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut world = World::new(&TARGETS);
    world.change_row(Name::Catalog, Some(catalog(5, "key-2")));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoAccount);
    world.change_row(Name::Catalog, Some(catalog(4, KEY)));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoAccount);
    assert!(world.log.iter().any(|line| line.starts_with("event=catalog_older")));
}

#[test]
fn a_read_that_may_be_stale_does_not_confirm_the_configuration() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_unconfirmed(&TARGETS);
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Stale);
    world.reply_rows(crate::world::changes(), Ok(Vec::new()));
    expect_send(world.arrive("/safe/a"));
}

#[test]
fn a_vm_without_configuration_refuses_as_not_run() {
    let mut world = World::empty("vm-1");
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NotReady);
}

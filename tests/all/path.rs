//! Requests from caller to target and back: returning chats, repeated bookings and stock checks.

use std::time::Duration;

use briarshift::demo::caller::{assistant_message, user_message};
use briarshift_standin::engine::expected_answer;

use crate::fleet::{Fleet, caller, engines};

const TOKENS_PER_ANSWER: usize = 6;

/// Sends the second request of a chat through another VM and checks that it runs on the engine with
/// the chat's context.
async fn check_returning_chat(stream: bool) {
    let fleet = Fleet::start(2, engines(3, TOKENS_PER_ANSWER, Duration::ZERO), 1).await;
    let mut messages = vec![user_message("draft the Easter rota")];
    let first = fleet.chat(0, &messages, None, stream).await;
    assert_eq!(
        first.text().as_deref(),
        Some(expected_answer("draft the Easter rota", TOKENS_PER_ANSWER).as_str())
    );
    assert_eq!(first.outcome.as_deref(), Some("ran"));
    messages.push(assistant_message(&first.text().unwrap()));
    messages.push(user_message("and Pentecost"));
    let second = fleet.chat(1, &messages, first.token.as_deref(), stream).await;
    assert_eq!(
        second.text().as_deref(),
        Some(expected_answer("and Pentecost", TOKENS_PER_ANSWER).as_str())
    );
    let runs: Vec<_> = fleet.engines.iter().map(|engine| engine.log().runs).collect();
    let used_engines: Vec<_> = runs.iter().filter(|runs| !runs.is_empty()).collect();
    assert_eq!(used_engines.len(), 1, "both requests run on the same engine: {runs:?}");
    assert!(used_engines[0][1].cached());
}

#[actix_rt::test]
async fn streamed_chat_returns_through_another_vm_to_the_same_engine() {
    check_returning_chat(true).await;
}

#[actix_rt::test]
async fn json_chat_returns_through_another_vm_to_the_same_engine() {
    check_returning_chat(false).await;
}

#[actix_rt::test]
async fn booking_sent_again_through_another_vm_runs_once() {
    let fleet = Fleet::start(2, Vec::new(), 2).await;
    let first = caller().book(fleet.vms[0].callers, "pickup-1").await.unwrap();
    assert_eq!((first.status, first.replayed), (200, false));
    let second = caller().book(fleet.vms[1].callers, "pickup-1").await.unwrap();
    assert_eq!((second.status, second.replayed), (200, true));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.booking_runs("pickup-1"), 1);
}

#[actix_rt::test]
async fn stock_check_needs_no_key() {
    let fleet = Fleet::start(1, Vec::new(), 1).await;
    let response = caller().stock(fleet.vms[0].callers, "roll-80mm").await.unwrap();
    assert_eq!(response.status, 200);
}

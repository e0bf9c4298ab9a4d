//! A graceful shutdown completes the requests in flight.

use std::time::Duration;

use briarshift_standin::engine::expected_answer;

use crate::fleet::{Fleet, engines, message, until};

const TOKENS_PER_ANSWER: usize = 30;
const TIME_PER_TOKEN: Duration = Duration::from_millis(20);

/// Sends SIGTERM to a VM while a request runs and checks that the answer is complete.
async fn check_termination(stream: bool) {
    let mut fleet = Fleet::start(1, engines(1, TOKENS_PER_ANSWER, TIME_PER_TOKEN), 0).await;
    let text = message("coach me on wax stains");
    let terminate = async {
        until("the request runs", || 0 < fleet.engines[0].running()).await;
        fleet.vms[0].signal("TERM");
    };
    let (response, ()) = futures::join!(fleet.chat(0, &text, None, stream), terminate);
    assert_eq!(
        response.text().as_deref(),
        Some(expected_answer("coach me on wax stains", TOKENS_PER_ANSWER).as_str())
    );
    assert!(fleet.vms[0].exited_successfully().await, "the process exits successfully");
}

#[actix_rt::test]
async fn stream_in_flight_is_completed() {
    check_termination(true).await;
}

#[actix_rt::test]
async fn json_answer_in_flight_is_completed() {
    check_termination(false).await;
}

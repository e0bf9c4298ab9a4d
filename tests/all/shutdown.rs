//! A graceful shutdown cuts off no request in flight.

use std::time::Duration;

use briarshift_standin::engine::expected_answer;

use crate::fleet::{Fleet, engines, message, until};

const TOKENS: usize = 30;
const TOKEN: Duration = Duration::from_millis(20);

async fn check(stream: bool) {
    let mut fleet = Fleet::start(1, engines(1, TOKENS, TOKEN), 0).await;
    let text = message("coach me on wax stains");
    let terminate = async {
        until("the request runs", || 0 < fleet.engines[0].running()).await;
        fleet.vms[0].signal("TERM");
    };
    let (reply, ()) = futures::join!(fleet.chat(0, &text, None, stream), terminate);
    assert_eq!(
        reply.text().as_deref(),
        Some(expected_answer("coach me on wax stains", TOKENS).as_str())
    );
    assert!(fleet.vms[0].ended().await, "the process ends well");
}

#[actix_rt::test]
async fn stream_in_flight_is_seen_through() {
    check(true).await;
}

#[actix_rt::test]
async fn json_answer_in_flight_is_seen_through() {
    check(false).await;
}

//! Streams that an engine interrupts are resumed.

use std::time::Duration;

use briarshift_standin::Fault;
use briarshift_standin::engine::{FaultKind, expected_answer};

use crate::fleet::{Fleet, engines, message};

const TOKENS_PER_ANSWER: usize = 20;
const TIME_PER_TOKEN: Duration = Duration::from_millis(5);

/// Checks that a stream with this fault arrives complete and that its request runs once.
async fn check_stream(kind: FaultKind) {
    let fleet = Fleet::start(1, engines(2, TOKENS_PER_ANSWER, TIME_PER_TOKEN), 0).await;
    for engine in &fleet.engines {
        engine.inject_fault(Fault::times(kind.clone(), 1));
    }
    let text = "draft the Advent rota";
    let response = fleet.chat(0, &message(text), None, true).await;
    assert_eq!(
        response.text().as_deref(),
        Some(expected_answer(text, TOKENS_PER_ANSWER).as_str()),
        "{kind:?}"
    );
    let run_count: usize = fleet.engines.iter().map(|engine| engine.log().runs.len()).sum();
    assert_eq!(run_count, 1, "the stream is resumed, and the request doesn't run again");
}

#[actix_rt::test]
async fn interrupted_stream_is_resumed_and_completed() {
    check_stream(FaultKind::Cut { after: 5 }).await;
    check_stream(FaultKind::OmitEnd).await;
}

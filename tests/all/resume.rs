//! Streams that break off half-way.

use std::time::Duration;

use briarshift_standin::Fault;
use briarshift_standin::engine::{FaultKind, expected_answer};

use crate::fleet::{Fleet, engines, message};

const TOKENS: usize = 20;
const TOKEN: Duration = Duration::from_millis(5);

async fn check(kind: FaultKind) {
    let fleet = Fleet::start(1, engines(2, TOKENS, TOKEN), 0).await;
    for engine in &fleet.engines {
        engine.inject_fault(Fault::times(kind.clone(), 1));
    }
    let text = "draft the Advent rota";
    let reply = fleet.chat(0, &message(text), None, true).await;
    assert_eq!(reply.text().as_deref(), Some(expected_answer(text, TOKENS).as_str()), "{kind:?}");
    let runs: usize = fleet.engines.iter().map(|engine| engine.log().runs.len()).sum();
    assert_eq!(runs, 1, "it is resumed, not run again");
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_and_arrives_whole() {
    check(FaultKind::Cut { after: 5 }).await;
    check(FaultKind::OmitEnd).await;
}

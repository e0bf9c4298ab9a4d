//! Tests of model engines.

use std::time::Duration;

use briarshift_standin::Fault;
use briarshift_standin::engine::{Builder, FaultKind, Server};
use briarshift_target::{CacheEventKind, Failure, Order, Outcome, Response, TargetClient};
use briarshift_units::{ChatKey, FencingToken, StartNumber};
use serde_json::{Value, json};

use crate::{block_on, call, client, send};

const PATH: &str = "/v1/chat/completions";

fn chat_body(text: &str, stream: bool) -> String {
    let message = json!({ "role": "user", "content": text });
    json!({ "model": "m", "messages": [message], "stream": stream }).to_string()
}

fn with_engine(builder: Builder, test: impl AsyncFnOnce(&Server)) {
    let engine = Server::start(builder.build()).unwrap();
    block_on(test(&engine));
    engine.close();
}

/// Sends a chat and returns the body of the answer as text.
async fn chat(engine: &Server, number: u64, text: &str, stream: bool) -> Result<String, Failure> {
    let call = call(number, "POST", PATH, &chat_body(text, stream));
    Ok(send(engine.address(), call).await?.1)
}

fn content(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap();
    body["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
}

#[test]
fn an_answer_repeats_the_request_and_a_returning_chat_is_cached() {
    with_engine(Builder::new().min_tokens(4), async |engine| {
        let first = chat(engine, 7, "my nonce 7", false).await.unwrap();
        assert_eq!(content(&first), "my nonce 7 ~");
        let again: Value =
            serde_json::from_str(&chat(engine, 107, "my nonce 8", false).await.unwrap()).unwrap();
        assert_eq!(again["usage"]["prompt_tokens_details"]["cached_tokens"], 3);
        let log = engine.log();
        let cached: Vec<_> = log.runs.iter().map(|run| (run.whole, run.cached())).collect();
        assert_eq!(cached, [(true, false), (true, true)]);
    });
}

#[test]
fn a_stream_has_ids_usage_and_an_end_marker() {
    with_engine(Builder::new(), async |engine| {
        let body = chat(engine, 7, "one two", true).await.unwrap();
        let ids: Vec<_> = body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5"]);
        assert!(body.contains(r#""completion_tokens":2"#));
        assert!(body.ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn an_interrupted_stream_can_be_resumed() {
    with_engine(Builder::new(), async |engine| {
        engine.inject_fault(Fault::times(FaultKind::Cut { after: 1 }, 1));
        // The client can't distinguish the end of a chunked body from an aborted connection; only
        // the end marker shows that the stream is complete.
        let cut = chat(engine, 7, "one two", true).await.unwrap();
        assert!(!cut.contains("id: 2\n") && !cut.contains("[DONE]"), "{cut}");
        let path = "/v1/streams/0000000000000007.1?after=1";
        let (_, rest) = send(engine.address(), call(7, "GET", path, "")).await.unwrap();
        assert!(rest.starts_with("id: 2\n") && rest.ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn a_cancelled_stream_is_no_longer_running() {
    with_engine(
        Builder::new().token_time(Duration::from_millis(5)).min_tokens(10_000),
        async |engine| {
            let call = call(7, "POST", PATH, &chat_body("one", true));
            let id = call.id;
            let Response { body, .. } = client().send(engine.address(), call).await.unwrap();
            assert_eq!(engine.running(), 1);
            client().cancel(engine.address(), id).await.unwrap();
            drop(body);
            assert_eq!(engine.running(), 0);
            assert!(!engine.log().runs[0].whole);
        },
    );
}

#[test]
fn faults_omit_the_end_marker_or_echo_another_id() {
    with_engine(Builder::new(), async |engine| {
        engine.inject_fault(Fault::times(FaultKind::OmitEnd, 1));
        let body = chat(engine, 7, "one two", true).await.unwrap();
        assert!(!body.contains("[DONE]"));
        engine.inject_fault(Fault::times(FaultKind::Crossed, 1));
        let call = call(8, "POST", PATH, &chat_body("three", false));
        let (head, body) = send(engine.address(), call).await.unwrap();
        assert_eq!(head.echoed_id.as_deref(), Some("0000000000000007.1"));
        assert_eq!(content(&body), "one two");
    });
}

#[test]
fn a_crash_aborts_every_connection() {
    with_engine(
        Builder::new().token_time(Duration::from_millis(5)).min_tokens(10_000),
        async |engine| {
            let text = "poison".into();
            engine.inject_fault(Fault::until_cleared(FaultKind::Crash { text }));
            let other = chat(engine, 7, "one", true);
            let crashing = async {
                actix_web::rt::time::sleep(Duration::from_millis(50)).await;
                chat(engine, 8, "some poison", false).await
            };
            let (other, crashing) = futures::join!(other, crashing);
            let other = other.unwrap();
            assert!(other.starts_with("id: 1\n") && !other.contains("[DONE]"), "{other}");
            assert!(matches!(crashing, Err(Failure::Broken(_))), "{crashing:?}");
            assert!(engine.crashed());
            let after = chat(engine, 9, "one", false).await;
            assert!(matches!(after, Err(Failure::NotSent(_))), "{after:?}");
            assert_eq!(engine.log().runs.len(), 2);
        },
    );
}

#[test]
fn cache_events_have_gaps() {
    with_engine(Builder::new().cache_capacity(1).cache_events(Duration::ZERO, 3), async |engine| {
        chat(engine, 1, "one", false).await.unwrap();
        chat(engine, 2, "two", false).await.unwrap();
        let changes = client().cache_events(engine.address(), 0).await.unwrap();
        let seen: Vec<_> = changes.iter().map(|row| (row.sequence, row.chat, row.kind)).collect();
        let stored = CacheEventKind::Stored;
        assert_eq!(seen, [(1, ChatKey(1), stored), (2, ChatKey(2), stored)]);
        assert!(engine.has_cached(ChatKey(2)) && !engine.has_cached(ChatKey(1)));
    });
}

#[test]
fn only_an_engine_that_checks_fencing_refuses_a_stale_token() {
    let order = |fencing, model: &str| Order {
        fencing: FencingToken(fencing),
        models: vec![model.parse().unwrap()],
        role: "serve".into(),
    };
    for checks in [true, false] {
        with_engine(Builder::new().check_fencing(checks), async |engine| {
            let client = client();
            let first = client.order(engine.address(), order(2, "a")).await.unwrap();
            assert_eq!(first, Outcome::Accepted);
            let second = client.order(engine.address(), order(1, "b")).await.unwrap();
            let models = client.load(engine.address()).await.unwrap().models;
            if checks {
                assert_eq!(second, Outcome::Stale { newest: FencingToken(2) });
                assert_eq!(models, ["a".parse().unwrap()]);
            } else {
                assert_eq!(second, Outcome::Accepted);
                assert_eq!(models, ["b".parse().unwrap()]);
            }
        });
    }
}

#[test]
fn a_leaving_engine_reports_it() {
    with_engine(Builder::new().start_number(StartNumber(9)), async |engine| {
        engine.leave();
        let report = client().load(engine.address()).await.unwrap();
        assert!(report.leaving);
        assert_eq!(report.start, StartNumber(9));
    });
}

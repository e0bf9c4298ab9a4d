//! Invalid requests get a JSON error with a code and a remedy, and reach no target.

use std::time::Duration;

use awc::ClientRequest;
use briarshift::demo::provision::{CLIENTS, RUNNERS};

use crate::fleet::{Fleet, engines};

/// Sends a request and checks the status, code, outcome and remedy of its refusal.
async fn check_refusal(request: ClientRequest, body: Vec<u8>, status: u16, code: &str) {
    let mut response = request.send_body(body).await.unwrap();
    assert_eq!(response.status().as_u16(), status, "{code}");
    let outcome = response.headers().get("Briarshift-Outcome").unwrap().clone();
    assert_eq!(outcome.to_str().unwrap(), "not-run", "{code}");
    let body: serde_json::Value = response.json().await.unwrap();
    assert_eq!(body["error"]["code"], code);
    let message = body["error"]["message"].as_str().unwrap();
    assert!(message.contains(':'), "no remedy in {message:?}");
}

#[actix_rt::test]
async fn invalid_requests_reach_no_target() {
    let fleet = Fleet::start(1, engines(1, 4, Duration::ZERO), 1).await;
    let base = format!("http://{}", fleet.vms[0].callers);
    let http = awc::Client::default();
    let key = CLIENTS[0].key;
    let chat = || http.post(format!("{base}/v1/chat/completions"));
    let json = || chat().content_type("application/json").bearer_auth(key);
    let valid_body = br#"{"model":"rota-7b","messages":[{"role":"user","content":"hello"}]}"#;
    let unknown_model = br#"{"model":"rota-9b","messages":[]}"#;
    let large_body = || vec![b' '; 9 << 20];
    let unknown_key = chat().content_type("application/json").bearer_auth("not-a-key");

    check_refusal(
        chat().content_type("application/json"),
        valid_body.into(),
        401,
        "unauthenticated",
    )
    .await;
    check_refusal(unknown_key, valid_body.into(), 401, "unauthenticated").await;
    check_refusal(json(), large_body(), 413, "body_too_large").await;
    check_refusal(json(), b"{\"model\":".into(), 400, "bad_request").await;
    check_refusal(json(), unknown_model.into(), 404, "unknown_model").await;
    check_refusal(
        chat().content_type("text/plain").bearer_auth(key),
        valid_body.into(),
        415,
        "content_type",
    )
    .await;
    let book = |pool: &str| http.post(format!("{base}/desk/{pool}/bookings")).bearer_auth(key);
    check_refusal(book("no-desk"), b"{}".into(), 404, "unknown_desk").await;
    check_refusal(book(RUNNERS), b"{}".into(), 400, "idempotency_key_missing").await;
    let invalid_key = book(RUNNERS).insert_header(("Idempotency-Key", "a b"));
    check_refusal(invalid_key, b"{}".into(), 400, "idempotency_key_invalid").await;
    check_refusal(http.get(format!("{base}/v2/chat")), Vec::new(), 404, "unknown_path").await;
    assert_eq!(fleet.total_runs(), 0);
}

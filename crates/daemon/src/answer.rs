//! Answers that the daemon itself writes.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use briarshift_control::booking;
use briarshift_control::request::{Outcome, Refusal};
use briarshift_units::Span;
use serde::Serialize;

/// The header that says whether a refused request has run.
pub const OUTCOME_HEADER: &str = "Briarshift-Outcome";
/// The header that carries the chat token both ways.
pub const CHAT_TOKEN_HEADER: &str = "Briarshift-Chat";

/// The body of a refusal.
#[derive(Debug, Serialize)]
pub(crate) struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Debug, Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: String,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

/// The JSON text of a refusal, also used as the last event of a broken stream.
pub(crate) fn text(refusal: &Refusal, request: &str) -> String {
    let detail = Detail {
        code: refusal.reason.code(),
        message: refusal.reason.to_string(),
        outcome: refusal.outcome.to_string(),
        request: Some(request.to_owned()),
    };
    serde_json::to_string(&Body { error: detail }).expect("a refusal is plain data")
}

/// A refusal as a response.
pub(crate) fn refuse(refusal: &Refusal, request: &str) -> HttpResponse {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, refusal.outcome.to_string()));
    if let Some(wait) = refusal.retry_after {
        response.insert_header(("Retry-After", seconds(wait).to_string()));
    }
    response.content_type("application/json").body(text(refusal, request))
}

/// `Retry-After` counts whole seconds; a shorter wait is rounded up.
fn seconds(wait: Span) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1)
}

/// A request that was turned away before the control thread saw it.
pub(crate) fn reject(status: StatusCode, code: &str, message: String) -> HttpResponse {
    let outcome = Outcome::NotRun.to_string();
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, outcome.clone()));
    let detail = Detail { code, message, outcome, request: None };
    response.json(Body { error: detail })
}

/// The stored outcome of an earlier run.
pub(crate) fn replay(outcome: booking::Response) -> HttpResponse {
    let mut response = finished(outcome.status, outcome.content_type.as_deref());
    response.insert_header(("Briarshift-Replayed", "true"));
    response.body(outcome.body)
}

/// The head of an answer that a target gave.
pub(crate) fn finished(status: u16, content_type: Option<&str>) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, Outcome::Ran.to_string()));
    if let Some(content_type) = content_type {
        response.content_type(content_type);
    }
    response
}

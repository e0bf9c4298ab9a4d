//! HTTP responses to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use briarshift_control::booking;
use briarshift_control::request::{Outcome, Refusal};
use briarshift_units::Span;
use serde::Serialize;

/// Response header that says whether the request has run on a target.
pub const OUTCOME_HEADER: &str = "Briarshift-Outcome";
/// Header of requests and responses that carries the chat token.
pub const CHAT_TOKEN_HEADER: &str = "Briarshift-Chat";

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: String,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

/// Returns a refusal as JSON text. It is the body of a refusal, and the data of the
/// error event that ends an interrupted stream.
pub(crate) fn refusal_json(refusal: &Refusal, request: &str) -> String {
    let detail = ErrorDetail {
        code: refusal.reason.code(),
        message: refusal.reason.to_string(),
        outcome: refusal.outcome.to_string(),
        request: Some(request.to_owned()),
    };
    serde_json::to_string(&ErrorBody { error: detail })
        .expect("the strings of a refusal always serialize")
}

/// Returns the response to a request that the control thread refused.
pub(crate) fn refusal(refusal: &Refusal, request: &str) -> HttpResponse {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, refusal.outcome.to_string()));
    if let Some(wait) = refusal.retry_after {
        response.insert_header(("Retry-After", round_up_to_seconds(wait).to_string()));
    }
    response.content_type("application/json").body(refusal_json(refusal, request))
}

/// Returns the wait in whole seconds, rounded up, at least 1: `Retry-After` has no
/// fractions.
fn round_up_to_seconds(wait: Span) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1)
}

/// Returns the response to a request that was rejected before the control thread
/// saw it.
pub(crate) fn rejection(status: StatusCode, code: &str, message: String) -> HttpResponse {
    let outcome = Outcome::NotRun.to_string();
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, outcome.clone()));
    let detail = ErrorDetail { code, message, outcome, request: None };
    response.json(ErrorBody { error: detail })
}

/// Returns the stored answer of an earlier run of the same booking.
pub(crate) fn replayed(stored: booking::Response) -> HttpResponse {
    let mut response = from_target(stored.status, stored.content_type.as_deref());
    response.insert_header(("Briarshift-Replayed", "true"));
    response.body(stored.body)
}

/// Starts a response with the status and content type of a target's answer.
pub(crate) fn from_target(
    status: u16,
    content_type: Option<&str>,
) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME_HEADER, Outcome::Ran.to_string()));
    if let Some(content_type) = content_type {
        response.content_type(content_type);
    }
    response
}

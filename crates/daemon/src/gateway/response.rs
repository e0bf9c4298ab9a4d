//! HTTP responses to callers.

use std::io;

use actix_web::body::SizedStream;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_web::web::Bytes;
use actix_web::{HttpResponse, HttpResponseBuilder};
use briarshift_gateway::request::{Cause, Refusal};
use briarshift_units::Span;
use serde::Serialize;

/// Headers that apply to one connection only and are not relayed.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Statuses by which callers conclude that a request has not run and never will. An answer
/// with one of them is passed on only if its target reports that it did not run the request.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Longest piece of an answer that is handed over to its connection, in bytes.
const MAX_PIECE: usize = 32 << 10;

/// The JSON body of a response that this VM writes itself.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    remedy: &'a str,
}

/// Starts a response with a target's status and end-to-end headers. If `close` is
/// set, the connection closes after the response.
pub(super) fn from_target(answer: &Head, close: bool) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        if HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
    if close {
        response.force_close();
    }
    response
}

/// The status and headers of a target's answer.
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: http::HeaderMap,
}

/// Returns the response with a target's whole answer. A long body is handed over piece by
/// piece, so that the connection of a caller that reads slowly has no second copy of it.
pub(super) fn whole(head: &Head, close: bool, body: Bytes) -> HttpResponse {
    let mut response = from_target(head, close);
    if body.len() <= MAX_PIECE {
        return response.body(body);
    }
    let len = body.len();
    let pieces = (0..len)
        .step_by(MAX_PIECE)
        .map(move |from| Ok::<_, io::Error>(body.slice(from..len.min(from + MAX_PIECE))));
    response.body(SizedStream::new(len as u64, futures::stream::iter(pieces)))
}

/// Returns the response to a refused request.
pub(super) fn refusal(refusal: &Refusal, close: bool) -> HttpResponse {
    let status = match refusal.cause {
        Cause::NoRoute => StatusCode::NOT_FOUND,
        Cause::NoAccount => StatusCode::UNAUTHORIZED,
        Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Cause::Unknown => StatusCode::BAD_GATEWAY,
        Cause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = error(status, refusal.cause.label(), refusal.cause.remedy(), close);
    if let Some(value) = refusal.retry_after.and_then(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns an error response that this VM writes itself.
pub(super) fn error(status: StatusCode, error: &str, remedy: &str, close: bool) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    if close {
        response.force_close();
    }
    response.json(ErrorBody { error, remedy })
}

/// Formats a wait as seconds with three decimal places.
pub(super) fn retry_after(span: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64())).ok()
}

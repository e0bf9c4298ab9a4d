//! The listener for callers: reads requests.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes};

use actix_web::{HttpRequest, HttpResponse};
use briarshift_forward::{Buffer, Memory};
use briarshift_gateway::request::Arrival;
use briarshift_routing::room::Length;
use briarshift_routing::selection::Part;
use briarshift_units::{Fingerprint, RequestId, Size, Span};
use futures::StreamExt;
use http::header::{
    CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use smol_str::SmolStr;
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::task::{Job, Worker};
use super::{clock, response};

/// Retry delay for callers whose request this VM has no memory for: some answers end in this
/// time, and another VM may have room.
const RETRY_AFTER_NO_MEMORY: Span = Span::from_millis(200);

/// Why a request's body could not be read.
enum BodyError {
    /// It is larger than this limit.
    TooLarge(Size),
    /// No chunk arrived for longer than the read timeout.
    Timeout,
    /// The caller stopped sending before its end.
    Incomplete,
    /// This VM holds so many bodies that it did not keep this one. It was read to its end,
    /// so that the caller can read the refusal.
    NoMemory,
}

/// Handles any request: reads it and runs it to its response.
pub(super) async fn serve(
    request: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Rc<Worker>>,
) -> HttpResponse {
    let at = clock::now();
    let close = worker.shared().is_draining();
    let headers = headers(&request);
    let request_headers = match worker.header_codec().decode_request(&headers) {
        Ok(request_headers) => request_headers,
        Err(err) => {
            log::info!("event=refused cause=bad_request reason={:?}", err.to_string());
            return response::error(
                StatusCode::BAD_REQUEST,
                "bad_request",
                &err.to_string(),
                close,
            );
        }
    };
    let (max_body, read_timeout) = worker.shared().limits();
    let memory = worker.memory();
    let len = body_len(&headers);
    let body = match read_body(payload, len, max_body, read_timeout, memory).await {
        Ok(body) => body,
        Err(error) => return reject_body(&error, request_headers.attempt.as_str()),
    };
    let (Ok(method), Some(path)) =
        (request.method().as_str().parse::<http::Method>(), request.uri().path_and_query())
    else {
        return response::error(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "send a valid method and path",
            true,
        );
    };
    let fingerprint = fingerprint(request_headers.account_key.as_deref(), path.as_str(), &body);
    let length = Length {
        prompt: request_headers.token_count.map(|count| count.prompt),
        max_output: request_headers.token_count.map(|count| count.max_output),
        hint: request_headers.length_hint,
    };
    let arrival = Arrival {
        request: RequestId(fastrand::u64(..)),
        attempt: request_headers.attempt,
        at,
        host: host(&headers),
        path: request.uri().path().into(),
        key: request_headers.account_key,
        deadline: request_headers.deadline,
        parts: request_headers.parts.into_iter().map(|(id, tokens)| Part { id, tokens }).collect(),
        length,
        fingerprint,
    };
    let path = path.as_str().to_owned();
    let resume_after = request_headers.resume_after;
    Worker::run(&worker, Job { arrival, method, path, headers, body: body.into(), resume_after })
        .await
}

/// Copies the request's headers, from the types of actix-web to those of `http`.
fn headers(request: &HttpRequest) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            out.append(name, value);
        }
    }
    out
}

fn host(headers: &HeaderMap) -> SmolStr {
    let host = headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    host.unwrap_or_default().into()
}

/// How long a request's body is.
#[derive(Debug, Clone, Copy)]
enum BodyLen {
    /// The HTTP server tells its end. The caller may have stated a length.
    Framed(Option<usize>),
    /// It has this length, and what follows is no part of it. The HTTP server takes all that
    /// follows a request for another protocol for its body.
    Exact(usize),
}

/// Returns the length of the body that the headers state.
fn body_len(headers: &HeaderMap) -> BodyLen {
    let stated = headers.get(CONTENT_LENGTH).and_then(|len| len.to_str().ok()?.parse().ok());
    let asks_for_protocol = headers.contains_key(UPGRADE);
    match asks_for_protocol && !headers.contains_key(TRANSFER_ENCODING) {
        true => BodyLen::Exact(stated.unwrap_or(0)),
        false => BodyLen::Framed(stated),
    }
}

/// Reads a request's body, within a budget for all bodies. `read_timeout` is the longest wait
/// for each chunk.
async fn read_body(
    mut payload: web::Payload,
    body_len: BodyLen,
    max_body: Size,
    read_timeout: Span,
    memory: &Memory,
) -> Result<Bytes, BodyError> {
    let (expected, end) = match body_len {
        BodyLen::Framed(expected) => (expected, None),
        BodyLen::Exact(len) => (Some(len), Some(len)),
    };
    let mut body = Some(memory.buffer(expected));
    let mut len = 0;
    loop {
        if end.is_some_and(|end| end <= len) {
            return body.map(Buffer::finish).ok_or(BodyError::NoMemory);
        }
        let Ok(chunk) = timeout(read_timeout.into(), payload.next()).await else {
            return Err(BodyError::Timeout);
        };
        let Some(chunk) = chunk else {
            return body.map(Buffer::finish).ok_or(BodyError::NoMemory);
        };
        let mut chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        if let Some(end) = end {
            chunk.truncate(end - len);
        }
        len += chunk.len();
        if max_body.0 < len as u64 {
            return Err(BodyError::TooLarge(max_body));
        }
        body = body.and_then(|mut body| body.push(&chunk).then_some(body));
    }
}

/// Logs a request whose body could not be read and returns its response.
fn reject_body(error: &BodyError, attempt: &str) -> HttpResponse {
    let close = !matches!(error, BodyError::NoMemory);
    let (status, cause, remedy) = match error {
        BodyError::TooLarge(max_body) => {
            (StatusCode::PAYLOAD_TOO_LARGE, "too_long", format!("send at most {max_body}"))
        }
        BodyError::Timeout => {
            (StatusCode::REQUEST_TIMEOUT, "too_slow", "send the body without long pauses".into())
        }
        BodyError::Incomplete => {
            (StatusCode::BAD_REQUEST, "broken_off", "send the complete body".into())
        }
        BodyError::NoMemory => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_vm_memory",
            "this VM holds too many bodies now: retry after the time given".into(),
        ),
    };
    log::info!("event=refused request={attempt} cause={cause} outcome=not_run");
    let mut response = response::error(status, cause, &remedy, close);
    if let BodyError::NoMemory = error
        && let Some(wait) = response::retry_after(RETRY_AFTER_NO_MEMORY)
    {
        response.headers_mut().insert(actix_web::http::header::RETRY_AFTER, wait);
    }
    response
}

/// Returns a hash of account key, path and body. Each part is preceded by its length,
/// so that different parts never give the same input.
fn fingerprint(key: Option<&str>, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [key.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}

//! The callers' listener: reads requests.

use std::rc::Rc;

use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, BytesMut};
use actix_web::{HttpRequest, HttpResponse};
use briarshift_gateway::request::Arrival;
use briarshift_routing::selection::Part;
use briarshift_units::{Fingerprint, RequestId, Size, Span};
use futures::StreamExt;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use smol_str::SmolStr;
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::task::{Job, Worker};
use super::{answer, clock};

/// Why a body was not read.
enum Unread {
    TooLong(Size),
    TooSlow,
    BrokenOff,
}

/// Takes any request.
pub(super) async fn serve(
    request: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Rc<Worker>>,
) -> HttpResponse {
    let at = clock::now();
    let close = worker.shared().is_draining();
    let headers = headers(&request);
    let ask = match worker.header_codec().decode_request(&headers) {
        Ok(ask) => ask,
        Err(fault) => {
            log::info!("event=refused cause=bad_request reason={:?}", fault.to_string());
            return answer::error(
                StatusCode::BAD_REQUEST,
                "bad_request",
                &fault.to_string(),
                close,
            );
        }
    };
    let (limit, pause) = worker.shared().limits();
    let body = match read(payload, limit, pause).await {
        Ok(body) => body,
        Err(unread) => return refuse(&unread, ask.attempt.as_str()),
    };
    let (Ok(method), Some(path)) =
        (request.method().as_str().parse::<http::Method>(), request.uri().path_and_query())
    else {
        return answer::error(StatusCode::BAD_REQUEST, "bad_request", "name a path", true);
    };
    let fingerprint = fingerprint(ask.account_key.as_deref(), path.as_str(), &body);
    let arrival = Arrival {
        request: RequestId(fastrand::u64(..)),
        attempt: ask.attempt,
        at,
        host: host(&headers),
        path: request.uri().path().into(),
        key: ask.account_key,
        deadline: ask.deadline,
        parts: ask.parts.into_iter().map(|(id, tokens)| Part { id, tokens }).collect(),
        fingerprint,
    };
    let path = path.as_str().to_owned();
    let resume_after = ask.resume_after;
    Worker::run(&worker, Job { arrival, method, path, headers, body, resume_after }).await
}

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

async fn read(mut payload: web::Payload, limit: Size, pause: Span) -> Result<Bytes, Unread> {
    let mut body = BytesMut::new();
    loop {
        let Ok(chunk) = timeout(pause.into(), payload.next()).await else {
            return Err(Unread::TooSlow);
        };
        let Some(chunk) = chunk else { return Ok(body.freeze()) };
        let chunk = chunk.map_err(|_| Unread::BrokenOff)?;
        if limit.0 < (body.len() + chunk.len()) as u64 {
            return Err(Unread::TooLong(limit));
        }
        body.extend_from_slice(&chunk);
    }
}

fn refuse(unread: &Unread, attempt: &str) -> HttpResponse {
    let (status, cause, remedy) = match unread {
        Unread::TooLong(limit) => {
            (StatusCode::PAYLOAD_TOO_LARGE, "too_long", format!("send at most {limit}"))
        }
        Unread::TooSlow => {
            (StatusCode::REQUEST_TIMEOUT, "too_slow", "send the body without long pauses".into())
        }
        Unread::BrokenOff => (StatusCode::BAD_REQUEST, "broken_off", "send the whole body".into()),
    };
    log::info!("event=refused request={attempt} cause={cause} outcome=not_run");
    answer::error(status, cause, &remedy, true)
}

fn fingerprint(key: Option<&str>, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [key.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}

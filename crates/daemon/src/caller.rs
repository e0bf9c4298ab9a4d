//! The HTTP listener for callers.

use std::rc::Rc;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use briarshift_control::request::{Arrival, Work, digest};
use briarshift_settings::Call;
use briarshift_target::Method;
use briarshift_units::{ChatKey, Digest, RequestId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::Digest as _;
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::control::{Control, GetDocument};
use crate::response::{self, CHAT_TOKEN_HEADER};
use crate::worker::{Job, Worker};

/// Limit of a request's body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// Number of leading messages that identify a chat without a token.
const CHAT_KEY_MESSAGES: usize = 2;

/// The fields of a chat completion request that routing needs. The engine parses
/// the others.
#[derive(Debug, Deserialize)]
struct ChatRequest<'a> {
    model: SmolStr,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// The body of `/v1/models`.
#[derive(Debug, Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Adds the routes of the callers' listener.
pub(crate) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models))
        .route("/desk/{pool}/{path:.*}", web::route().to(desk))
        .default_service(web::to(unknown_path));
}

async fn unknown_path(request: HttpRequest) -> HttpResponse {
    let message = format!(
        "{} {} is not served: use POST /v1/chat/completions, GET /v1/models or /desk/POOL/PATH",
        request.method(),
        request.path()
    );
    response::rejection(StatusCode::NOT_FOUND, "unknown_path", message)
}

async fn models(control: web::Data<Addr<Control>>) -> HttpResponse {
    let Ok(Some(document)) = control.send(GetDocument).await else {
        let message = "this VM has no configuration yet: try again in a few seconds";
        return response::rejection(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message.into());
    };
    let owner = |pool| document.pools.iter().find(|row| row.id == pool).map(|row| &row.owner);
    let rows = document.models.iter().map(|model| Model {
        id: model.id.to_string(),
        object: "model",
        owned_by: owner(model.pool.clone()).map(ToString::to_string).unwrap_or_default(),
    });
    HttpResponse::Ok().json(Models { object: "list", data: rows.collect() })
}

async fn chat(
    request: HttpRequest,
    worker: web::Data<Rc<Worker>>,
    payload: web::Payload,
) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if !is_json(&request) {
        let message = "the body must be JSON: send 'Content-Type: application/json'".into();
        return response::rejection(StatusCode::UNSUPPORTED_MEDIA_TYPE, "content_type", message);
    }
    let chat: ChatRequest<'_> = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(err) => {
            let message =
                format!("the body is not a valid chat completion request ({err}): correct it");
            return response::rejection(StatusCode::BAD_REQUEST, "bad_request", message);
        }
    };
    let credential = credential(&request);
    let work = Work::Chat {
        model: chat.model.clone(),
        token: header(&request, CHAT_TOKEN_HEADER),
        chat: chat_key(&request, credential, &chat),
    };
    worker.run(job(&request, body, credential, work, "/v1/chat/completions".into())).await
}

async fn desk(
    request: HttpRequest,
    worker: web::Data<Rc<Worker>>,
    path: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let (pool, rest) = path.into_inner();
    let first = rest.split('/').next().unwrap_or_default();
    let call = Call { method: request.method().as_str().into(), path: first.into() };
    let key = header(&request, "Idempotency-Key");
    let work = Work::Desk { pool: pool.into(), call, key };
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let target = format!("/{rest}{separator}{query}");
    worker.run(job(&request, body, credential(&request), work, target)).await
}

fn job(
    request: &HttpRequest,
    body: Bytes,
    credential: Option<Digest>,
    work: Work,
    path: String,
) -> Job {
    let digest = digest(request.method().as_str(), &path, &body);
    let request_id = RequestId(fastrand::u64(..));
    let arrival = Arrival { request: request_id, credential, digest, work };
    Job {
        arrival,
        method: Method(request.method().as_str().into()),
        path,
        content_type: header(request, "Content-Type"),
        body,
    }
}

async fn read_body(payload: web::Payload) -> Result<Bytes, HttpResponse> {
    match payload.to_bytes_limited(MAX_BODY_BYTES).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(err)) => {
            let message = format!("the body is incomplete ({err}): send the request again");
            Err(response::rejection(StatusCode::BAD_REQUEST, "body_incomplete", message))
        }
        Err(_) => {
            let message = format!("the body is larger than {MAX_BODY_BYTES} bytes: shorten it");
            Err(response::rejection(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
    }
}

/// Returns true if the request declares a JSON body.
fn is_json(request: &HttpRequest) -> bool {
    let content_type = header(request, "Content-Type");
    let essence = content_type.as_deref().and_then(|text| text.split(';').next());
    essence.is_some_and(|text| text.trim().eq_ignore_ascii_case("application/json"))
}

fn header(request: &HttpRequest, name: &str) -> Option<SmolStr> {
    request.headers().get(name)?.to_str().ok().map(SmolStr::new)
}

/// Returns the SHA-256 of the request's bearer key, if it has one.
fn credential(request: &HttpRequest) -> Option<Digest> {
    let header = header(request, "Authorization")?;
    let (scheme, key) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| sha256(key.trim().as_bytes()))
}

fn sha256(bytes: &[u8]) -> Digest {
    Digest(sha2::Sha256::digest(bytes).into())
}

/// Returns the key that identifies a chat without a token: a hash of the
/// `Briarshift-Chat-Key` header or, without one, of the first messages. The hash
/// includes the account's credential, so that two accounts never share a chat.
fn chat_key(request: &HttpRequest, credential: Option<Digest>, chat: &ChatRequest<'_>) -> ChatKey {
    let mut hash = Xxh3::new();
    hash.update(&credential.unwrap_or_default().0);
    hash.update(chat.model.as_bytes());
    match header(request, "Briarshift-Chat-Key") {
        Some(key) => hash.update(key.as_bytes()),
        None => {
            for message in chat.messages.iter().take(CHAT_KEY_MESSAGES) {
                hash.update(message.get().as_bytes());
            }
        }
    }
    ChatKey(hash.digest())
}

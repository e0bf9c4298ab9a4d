//! The HTTP listeners for the platform's readiness checks and for operators.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use anyhow::Context;
use briarshift_gateway::request::explain::Question;
use briarshift_routing::selection::Part;
use briarshift_units::{AttemptId, Span};
use serde::Deserialize;
use smol_str::SmolStr;

use super::control::{Control, Explain, GetStatus};
use super::metric::Metrics;
use super::shared::Shared;

/// Adds the routes, which are the same on both listeners.
pub(crate) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/readyz", web::get().to(readyz))
        .route("/healthz", web::get().to(healthz))
        .route("/metrics", web::get().to(metrics))
        .route("/status", web::get().to(status))
        .route("/explain", web::get().to(explain));
}

/// The query of `/explain`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExplainQuery {
    host: SmolStr,
    path: SmolStr,
    account: Option<SmolStr>,
    attempt: Option<AttemptId>,
    deadline_ms: Option<u64>,
    /// Parts of the prompt: `ID:TOKENS`, separated by commas, with hexadecimal ids.
    #[serde(default)]
    parts: SmolStr,
}

async fn healthz() -> impl Responder {
    "ok"
}

async fn readyz(shared: web::Data<Shared>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().body("ready")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready: see /status")
    }
}

async fn metrics(metrics: web::Data<Metrics>) -> HttpResponse {
    match metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(err) => HttpResponse::InternalServerError().body(err.to_string()),
    }
}

async fn status(control: web::Data<Addr<Control>>) -> HttpResponse {
    match control.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().body("the VM is stopping"),
    }
}

async fn explain(
    control: web::Data<Addr<Control>>,
    query: web::Query<ExplainQuery>,
) -> HttpResponse {
    let question = match question(query.into_inner()) {
        Ok(question) => question,
        Err(err) => return HttpResponse::BadRequest().body(format!("{err:#}")),
    };
    match control.send(Explain(question)).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => HttpResponse::ServiceUnavailable().body("the VM is stopping"),
    }
}

/// A query that can't be explained.
#[derive(Debug, thiserror::Error)]
#[error("the prompt part {0:?} is not ID:TOKENS: give a hexadecimal id and a number of tokens")]
struct PartError(SmolStr);

fn question(query: ExplainQuery) -> anyhow::Result<Question> {
    let any_attempt = "any".parse().context("no attempt id")?;
    let ExplainQuery { host, path, account, attempt, deadline_ms, parts } = query;
    let parts = parts.split(',').filter(|part| !part.is_empty()).map(parse_part);
    Ok(Question {
        host,
        path,
        account,
        attempt: attempt.unwrap_or(any_attempt),
        deadline: deadline_ms.map(Span::from_millis),
        parts: parts.collect::<Result<_, _>>()?,
    })
}

fn parse_part(text: &str) -> Result<Part, PartError> {
    let part = text.split_once(':').and_then(|(id, tokens)| {
        Some(Part { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    });
    part.ok_or_else(|| PartError(text.into()))
}

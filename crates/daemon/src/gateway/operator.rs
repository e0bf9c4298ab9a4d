//! The HTTP listeners for the platform's readiness checks and for operators.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};

use super::control::{Control, GetStatus};
use super::metric::Metrics;
use super::shared::Shared;

/// Adds the routes, which are the same on both listeners.
pub(crate) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/readyz", web::get().to(readyz))
        .route("/healthz", web::get().to(healthz))
        .route("/metrics", web::get().to(metrics))
        .route("/status", web::get().to(status));
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

//! The operators' listener.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};

use crate::control::{AskCounts, AskStatus, Control, Drain};
use crate::metric::Metrics;

/// Routes of the operators' listener.
pub(crate) fn configure(cfg: &mut ServiceConfig) {
    cfg.route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/status", web::get().to(status))
        .route("/drain", web::post().to(drain));
}

async fn healthz() -> impl Responder {
    "ok"
}

async fn readyz(control: web::Data<Addr<Control>>) -> HttpResponse {
    match control.send(AskCounts).await {
        Ok(counts) if !counts.draining && 0 < counts.revision.0 => HttpResponse::Ok().body("ready"),
        Ok(counts) if counts.draining => HttpResponse::ServiceUnavailable().body("draining"),
        _ => HttpResponse::ServiceUnavailable().body("no configuration yet"),
    }
}

async fn metrics(metrics: web::Data<Metrics>) -> HttpResponse {
    match metrics.text() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(err) => HttpResponse::InternalServerError().body(err.to_string()),
    }
}

async fn status(control: web::Data<Addr<Control>>) -> HttpResponse {
    match control.send(AskStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().body("the VM is stopping"),
    }
}

async fn drain(control: web::Data<Addr<Control>>) -> HttpResponse {
    // The answer tells that the drain has begun; /status shows its progress.
    control.do_send(Drain);
    HttpResponse::Accepted().body("draining")
}

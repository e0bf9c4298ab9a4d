//! The operators' listener.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use serde::Serialize;

use crate::control::{AskStatus, Control, Drain};
use crate::metric::Metrics;

#[derive(Debug, Serialize)]
struct Status {
    revision: u64,
    in_flight: usize,
    draining: bool,
    members: usize,
    targets: usize,
}

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
    match control.send(AskStatus).await {
        Ok(status) if !status.draining && 0 < status.revision.0 => HttpResponse::Ok().body("ready"),
        Ok(status) if status.draining => HttpResponse::ServiceUnavailable().body("draining"),
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
    let Ok(status) = control.send(AskStatus).await else {
        return HttpResponse::ServiceUnavailable().body("the VM is stopping");
    };
    HttpResponse::Ok().json(Status {
        revision: status.revision.0,
        in_flight: status.in_flight,
        draining: status.draining,
        members: status.members,
        targets: status.targets,
    })
}

async fn drain(control: web::Data<Addr<Control>>) -> HttpResponse {
    // The answer tells that the drain has begun; /status shows its progress.
    control.do_send(Drain);
    HttpResponse::Accepted().body("draining")
}

//! The operators' listener.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use briarshift_control::status::Status;
use briarshift_peer::{Kind, Monitor};
use briarshift_units::BytesPerSecond;
use serde::Serialize;

use crate::control::{AskCounts, AskStatus, Control, Drain};
use crate::metric::Metrics;

/// Where a VM's control traffic is read.
#[derive(Clone)]
pub(crate) struct Traffic {
    pub(crate) budget: BytesPerSecond,
    pub(crate) peers: Monitor,
}

/// A VM's control traffic since its start.
#[derive(Debug, Serialize)]
struct Use {
    budget_bytes_per_second: BytesPerSecond,
    sent_frame_bytes: u64,
    sent_udp_bytes: u64,
    over_budget_bytes: u64,
    connections: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    #[serde(flatten)]
    status: Status,
    control: Use,
}

impl Traffic {
    fn read(&self) -> Use {
        let peers = self.peers.snapshot();
        Use {
            budget_bytes_per_second: self.budget,
            sent_frame_bytes: Kind::ALL.into_iter().map(|kind| peers.sent(kind).bytes).sum(),
            sent_udp_bytes: peers.udp_sent_bytes,
            over_budget_bytes: peers.over_budget_bytes,
            connections: peers.connections,
        }
    }
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

async fn status(control: web::Data<Addr<Control>>, traffic: web::Data<Traffic>) -> HttpResponse {
    match control.send(AskStatus).await {
        Ok(status) => HttpResponse::Ok().json(Report { status, control: traffic.read() }),
        Err(_) => HttpResponse::ServiceUnavailable().body("the VM is stopping"),
    }
}

async fn drain(control: web::Data<Addr<Control>>) -> HttpResponse {
    // The answer tells that the drain has begun; /status shows its progress.
    control.do_send(Drain);
    HttpResponse::Accepted().body("draining")
}

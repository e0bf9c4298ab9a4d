//! The HTTP listener for operators.

use actix::Addr;
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use briarshift_control::status::Status;
use briarshift_peer::{Kind, Monitor};
use briarshift_units::BytesPerSecond;
use serde::Serialize;

use crate::control::{Control, Drain, GetCounts, GetStatus};
use crate::metric::Metrics;

/// Source of the figures on a VM's control traffic.
#[derive(Clone)]
pub(crate) struct ControlTraffic {
    pub(crate) budget: BytesPerSecond,
    pub(crate) peers: Monitor,
}

/// A VM's control traffic since its process started, as `/status` shows it.
#[derive(Debug, Serialize)]
struct TrafficCounters {
    budget_bytes_per_second: BytesPerSecond,
    sent_frame_bytes: u64,
    sent_udp_bytes: u64,
    over_budget_bytes: u64,
    connections: u64,
}

/// The body of `/status`.
#[derive(Debug, Serialize)]
struct StatusReport {
    #[serde(flatten)]
    status: Status,
    control: TrafficCounters,
}

impl ControlTraffic {
    fn counters(&self) -> TrafficCounters {
        let peers = self.peers.snapshot();
        TrafficCounters {
            budget_bytes_per_second: self.budget,
            sent_frame_bytes: Kind::ALL.into_iter().map(|kind| peers.sent(kind).bytes).sum(),
            sent_udp_bytes: peers.udp_sent_bytes,
            over_budget_bytes: peers.over_budget_bytes,
            connections: peers.connections,
        }
    }
}

/// Adds the routes of the operators' listener.
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
    match control.send(GetCounts).await {
        Ok(counts) if !counts.draining && 0 < counts.revision.0 => HttpResponse::Ok().body("ready"),
        Ok(counts) if counts.draining => HttpResponse::ServiceUnavailable().body("draining"),
        _ => HttpResponse::ServiceUnavailable().body("no configuration yet"),
    }
}

async fn metrics(metrics: web::Data<Metrics>) -> HttpResponse {
    match metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(err) => HttpResponse::InternalServerError().body(err.to_string()),
    }
}

async fn status(
    control: web::Data<Addr<Control>>,
    traffic: web::Data<ControlTraffic>,
) -> HttpResponse {
    match control.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(StatusReport { status, control: traffic.counters() }),
        Err(_) => HttpResponse::ServiceUnavailable().body("the VM is stopping"),
    }
}

async fn drain(control: web::Data<Addr<Control>>) -> HttpResponse {
    // Responds as soon as the drain is requested; /status shows its progress.
    control.do_send(Drain);
    HttpResponse::Accepted().body("draining")
}

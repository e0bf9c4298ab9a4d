//! The metrics of a gateway VM, exported in the Prometheus text format.

use briarshift_gateway::status::Status;
use briarshift_logging::Record;
use briarshift_units::VmId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::exporter::Exporter;

/// Bucket bounds of the send duration histogram, in seconds; they cover the usual
/// latency goals of routes.
const DURATION_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];

/// The OpenTelemetry instruments of a gateway.
#[derive(Clone)]
pub(crate) struct Metrics {
    exporter: Exporter,
    events: Counter<u64>,
    refusals: Counter<u64>,
    sends: Counter<u64>,
    store_calls: Counter<u64>,
    hedges: Counter<u64>,
    hedges_denied: Counter<u64>,
    cancelled_time: Counter<f64>,
    cancelled_tokens: Counter<u64>,
    send_duration: Histogram<f64>,
    catalog_revision: Gauge<u64>,
    catalog_age: Gauge<u64>,
    in_flight: Gauge<u64>,
    waiting: Gauge<u64>,
    peers: Gauge<u64>,
    targets: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new(vm: &VmId) -> anyhow::Result<Self> {
        let exporter = Exporter::new(vm)?;
        let meter = exporter.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Ok(Self {
            exporter,
            events: counter("briarshift_events", "Log lines by event, decisions among them"),
            refusals: counter("briarshift_refusals", "Refused requests by cause and outcome"),
            sends: counter("briarshift_sends", "Sends to targets by how they ended"),
            store_calls: counter("briarshift_store_calls", "Calls to the store by call and role"),
            hedges: counter("briarshift_hedges", "Second sends of late requests by outcome"),
            hedges_denied: counter("briarshift_hedges_denied", "Late requests without, by reason"),
            cancelled_time: meter
                .f64_counter("briarshift_cancelled_seconds")
                .with_description("Time that targets worked on cancelled sends")
                .build(),
            cancelled_tokens: counter(
                "briarshift_cancelled_tokens",
                "Prompt tokens that targets were to read for cancelled sends",
            ),
            send_duration: meter
                .f64_histogram("briarshift_send_seconds")
                .with_description("Time from a send to its end")
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
            catalog_revision: gauge("briarshift_catalog_revision", "Configuration in force"),
            catalog_age: gauge("briarshift_catalog_age_ms", "Time since it was the newest"),
            in_flight: gauge("briarshift_requests_in_flight", "Requests in flight on this VM"),
            waiting: gauge("briarshift_requests_waiting", "Requests that wait for room"),
            peers: gauge("briarshift_peers", "Peers that are heard"),
            targets: gauge("briarshift_targets", "Targets that take new work"),
        })
    }

    /// Counts a log line by its event. Also counts a refusal by cause and outcome, a
    /// call to the store by call and role, and a send by its end.
    pub(crate) fn count_event(&self, record: &Record) {
        self.events.add(1, &[KeyValue::new("event", record.event())]);
        let pair = |key| KeyValue::new(key, record.get(key).unwrap_or_default().to_owned());
        match record.event() {
            "refused" => self.refusals.add(1, &[pair("cause"), pair("outcome")]),
            "store_call" => self.store_calls.add(1, &[pair("call"), pair("role")]),
            "ended" => {
                self.sends.add(1, &[pair("end")]);
                let took = record.get("took").and_then(|took| took.strip_suffix("us"));
                if let Some(micros) = took.and_then(|took| took.parse::<f64>().ok()) {
                    self.send_duration.record(micros / 1e6, &[pair("end")]);
                    if record.get("end") == Some("cancelled") {
                        self.count_cancelled(record, micros / 1e6);
                    }
                }
            }
            "hedged" => self.hedges.add(1, &[KeyValue::new("outcome", "sent")]),
            "hedge_won" => self.hedges.add(1, &[KeyValue::new("outcome", "won")]),
            "hedge_denied" => self.hedges_denied.add(number(record, "requests"), &[pair("reason")]),
            _ => {}
        }
    }

    /// Counts a cancelled send, and the work that it cost in vain.
    fn count_cancelled(&self, record: &Record, seconds: f64) {
        let is_hedge = record.get("hedge").is_some();
        let send = if is_hedge { "cancelled" } else { "first_cancelled" };
        self.hedges.add(1, &[KeyValue::new("outcome", send)]);
        self.cancelled_time.add(seconds, &[]);
        self.cancelled_tokens.add(number(record, "unread"), &[]);
    }

    /// Sets the gauges.
    pub(crate) fn set_gauges(&self, status: &Status) {
        self.catalog_revision.record(status.revision.0, &[]);
        self.catalog_age.record(status.confirmed_ms_ago, &[]);
        self.in_flight.record(status.in_flight as u64, &[]);
        self.waiting.record(status.waiting as u64, &[]);
        self.peers.record(status.peers as u64, &[]);
        self.targets.record(status.targets as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> anyhow::Result<String> {
        self.exporter.encode()
    }
}

/// Returns a numeric field of a log line, 0 if it has none.
fn number(record: &Record, key: &str) -> u64 {
    record.get(key).and_then(|value| value.parse().ok()).unwrap_or(0)
}

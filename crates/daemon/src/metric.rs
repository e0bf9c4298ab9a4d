//! The metrics of an entry VM, exported in the Prometheus text format.

use briarshift_control::Record;
use briarshift_control::status::Counts;
use briarshift_peer::{DropReason, Kind, Monitor, Refusal, Snapshot};
use briarshift_units::{Revision, VmId};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Gauge as Instrument, Meter};

use crate::exporter::Exporter;

/// The OpenTelemetry instruments of a daemon.
#[derive(Clone)]
pub(crate) struct Metrics {
    exporter: Exporter,
    events: Counter<u64>,
    refusals: Counter<u64>,
    revision: Instrument<u64>,
    in_flight: Instrument<u64>,
    members: Instrument<u64>,
    targets: Instrument<u64>,
}

impl Metrics {
    pub(crate) fn new(vm: &VmId, peers: &Monitor) -> anyhow::Result<Self> {
        let exporter = Exporter::new(vm)?;
        let meter = exporter.meter();
        observe_peers(&meter, peers);
        Ok(Self {
            exporter,
            events: meter
                .u64_counter("briarshift_events")
                .with_description("Log lines by event, decisions among them")
                .build(),
            refusals: meter
                .u64_counter("briarshift_refusals")
                .with_description("Refused requests by code and outcome")
                .build(),
            revision: meter
                .u64_gauge("briarshift_document_revision")
                .with_description("Revision of the document in force")
                .build(),
            in_flight: meter
                .u64_gauge("briarshift_requests_in_flight")
                .with_description("Requests in flight on this VM")
                .build(),
            members: meter.u64_gauge("briarshift_members").with_description("Live peers").build(),
            targets: meter
                .u64_gauge("briarshift_targets")
                .with_description("Targets that take new work")
                .build(),
        })
    }

    /// Counts a log line by its event, and a refusal also by code and outcome.
    pub(crate) fn count_event(&self, record: &Record) {
        self.events.add(1, &[KeyValue::new("event", record.event())]);
        if record.event() != "refused" {
            return;
        }
        let pair = |key| KeyValue::new(key, record.get(key).unwrap_or_default().to_owned());
        self.refusals.add(1, &[pair("code"), pair("outcome")]);
    }

    /// Sets the gauge of the document revision in force.
    pub(crate) fn set_document_revision(&self, revision: Revision) {
        self.revision.record(revision.0, &[]);
    }

    /// Sets the gauges of requests, peers and targets.
    pub(crate) fn set_gauges(&self, counts: &Counts) {
        self.in_flight.record(counts.in_flight as u64, &[]);
        self.members.record(counts.live_members as u64, &[]);
        self.targets.record(counts.live_targets as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> anyhow::Result<String> {
        self.exporter.encode()
    }
}

/// Registers counters that read the peer transport's statistics at each scrape.
fn observe_peers(meter: &Meter, peers: &Monitor) {
    let counter = |name, description, observe: fn(&Snapshot, &dyn AsyncInstrument<u64>)| {
        let peers = peers.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |instrument| observe(&peers.snapshot(), instrument))
            .build();
    };
    counter("briarshift_peer_sent_bytes", "Frame bytes sent to peers", |peers, out| {
        for kind in Kind::ALL {
            out.observe(peers.sent(kind).bytes, &[KeyValue::new("kind", kind.to_string())]);
        }
    });
    counter("briarshift_peer_received_bytes", "Frame bytes received from peers", |peers, out| {
        for kind in Kind::ALL {
            out.observe(peers.received(kind).bytes, &[KeyValue::new("kind", kind.to_string())]);
        }
    });
    counter(
        "briarshift_peer_udp_sent_bytes",
        "Datagram bytes sent, QUIC's included",
        |peers, out| {
            out.observe(peers.udp_sent_bytes, &[]);
        },
    );
    counter("briarshift_peer_over_budget_bytes", "Place bytes beyond the budget", |peers, out| {
        out.observe(peers.over_budget_bytes, &[]);
    });
    counter("briarshift_peer_dropped_frames", "Frames dropped at this end", |peers, out| {
        for reason in DropReason::ALL {
            out.observe(peers.dropped(reason), &[KeyValue::new("reason", reason.label())]);
        }
    });
    counter("briarshift_peer_refusals", "Connections closed at this end", |peers, out| {
        for reason in Refusal::ALL {
            out.observe(peers.refused(reason), &[KeyValue::new("reason", reason.to_string())]);
        }
    });
}

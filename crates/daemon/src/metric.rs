//! Metrics by OpenTelemetry, scraped in the Prometheus text format.

use anyhow::Context;
use briarshift_control::Record;
use briarshift_control::status::Counts;
use briarshift_units::{Revision, VmId};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The instruments of one daemon.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    // The provider stops exporting when it is dropped.
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    refusals: Counter<u64>,
    revision: Gauge<u64>,
    in_flight: Gauge<u64>,
    members: Gauge<u64>,
    targets: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new(vm: &VmId) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("cannot set up the metrics exporter")?;
        let resource = Resource::builder()
            .with_service_name("briarshift")
            .with_attribute(KeyValue::new("vm", vm.to_string()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("briarshift");
        Ok(Self {
            registry,
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
            _provider: provider,
        })
    }

    /// Counts a log line.
    pub(crate) fn record(&self, record: &Record) {
        self.events.add(1, &[KeyValue::new("event", record.event())]);
        if record.event() != "refused" {
            return;
        }
        let pair = |key| KeyValue::new(key, record.get(key).unwrap_or_default().to_owned());
        self.refusals.add(1, &[pair("code"), pair("outcome")]);
    }

    /// Shows the revision in force.
    pub(crate) fn revision(&self, revision: Revision) {
        self.revision.record(revision.0, &[]);
    }

    /// Shows the gauges.
    pub(crate) fn counts(&self, counts: &Counts) {
        self.in_flight.record(counts.in_flight as u64, &[]);
        self.members.record(counts.live_members as u64, &[]);
        self.targets.record(counts.live_targets as u64, &[]);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> anyhow::Result<String> {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).context("cannot encode the metrics")
    }
}

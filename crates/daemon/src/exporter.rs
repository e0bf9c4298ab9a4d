//! The metrics exporter of a process: OpenTelemetry instruments, exported in the
//! Prometheus text format.

use anyhow::Context;
use briarshift_units::VmId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Exports the instruments that its meter creates.
#[derive(Clone)]
pub(crate) struct Exporter {
    registry: Registry,
    // Exporting stops when the provider is dropped.
    provider: SdkMeterProvider,
}

impl Exporter {
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
        Ok(Self { registry, provider })
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("briarshift")
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> anyhow::Result<String> {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).context("cannot encode the metrics")
    }
}

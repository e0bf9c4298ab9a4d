//! `briarshift gateway`: runs an entry VM in front of the routed services of a
//! platform.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::System;
use actix_rt::signal::unix::{SignalKind, signal};
use anyhow::Context;
use briarshift_daemon::gateway;
use briarshift_platform::{Headers, Store};
use briarshift_settings::Gateway as Settings;
use briarshift_units::Span;
use gumdrop::Options as Arguments;

use super::settings;

/// Timeout of calls to the store: longer than a slow store takes, and short enough
/// to repeat the call before the limit on the delay of configuration changes.
const STORE_TIMEOUT: Span = Span::from_millis(900);
/// Interval at which the settings file is read again: it may change without a
/// SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Arguments of `gateway`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// file with the process settings (JSON)
    #[options(required, meta = "FILE")]
    pub settings: PathBuf,
}

/// Runs a gateway VM until SIGTERM or SIGINT, then drains it. SIGHUP makes it read
/// its settings again.
///
/// # Errors
///
/// Fails if the settings are invalid or an address can't be bound.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let settings = settings(&options.settings, Settings::parse)?;
    System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
        let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
        let mut in_force = settings.clone();
        let daemon = gateway::Gateway::start(gateway::Options {
            features: briarshift_platform::features(&settings.terms),
            settings,
            registry: Box::new(|settings| Rc::new(Store::new(&settings.store, STORE_TIMEOUT))),
            header_codec: Arc::new(|| Box::new(Headers)),
        })?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log::info!("event=hangup"),
                () = tokio::time::sleep(RELOAD_INTERVAL) => {}
            }
            reload(&options.settings, &mut in_force, &daemon);
        }
        log::info!("event=stopping");
        daemon.close().await
    })
}

/// Reads the settings file and applies it if it has changed. Invalid settings are
/// logged, and the old ones stay in force.
fn reload(path: &Path, in_force: &mut Settings, daemon: &gateway::Gateway) {
    match settings(path, Settings::parse) {
        Ok(settings) if settings == *in_force => {}
        Ok(settings) => {
            log::info!("event=reload");
            daemon.reload(&settings);
            *in_force = settings;
        }
        Err(err) => log::error!("event=reload_failed error={:?}", format!("{err:#}")),
    }
}

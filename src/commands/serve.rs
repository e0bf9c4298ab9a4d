//! `briarshift serve`: runs an entry VM.

use std::path::PathBuf;

use actix_rt::System;
use actix_rt::signal::unix::{SignalKind, signal};
use anyhow::Context;
use briarshift_daemon::Daemon;
use briarshift_settings::Process;
use gumdrop::Options as Arguments;

use super::settings;

/// Arguments of `serve`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// file with the process settings (JSON)
    #[options(required, meta = "FILE")]
    pub settings: PathBuf,
}

/// Runs an entry VM until SIGTERM or SIGINT, then drains it. A second signal stops
/// it at once.
///
/// # Errors
///
/// Fails if the settings are invalid or an address can't be bound.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let process = settings(&options.settings, Process::parse)?;
    System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
        let daemon = Daemon::start(briarshift_daemon::Options { process })?;
        println!(
            "listening callers={} operators={} peers={}",
            daemon.caller_address(),
            daemon.operator_address(),
            daemon.peer_address()
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("event=stopping");
        tokio::select! {
            result = daemon.close() => result,
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        }
    })
}

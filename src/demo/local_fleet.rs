//! The fleet on loopback, in one process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, bail};
use briarshift_daemon::{Daemon, Options};
use briarshift_standin::{engine, platform, runner};
use briarshift_store::http::Client as Platform;
use briarshift_store::{Expect, ListedVm, Operation, Store};
use briarshift_units::{Span, StartNumber};

use super::provision::{self, ENGINES, ENVIRONMENT, MODEL, Provisioner, RUNNERS};

/// The data centres of the fleet.
pub const DATA_CENTRES: [&str; 3] = ["nairobi-a", "nairobi-b", "thika-c"];
/// Entry VMs in each data centre.
const ENTRIES_PER_DATA_CENTRE: usize = 2;
/// Number of model engines.
const ENGINE_COUNT: usize = 10;
/// Number of tokens in an answer of an engine.
pub const TOKENS: usize = 64;
/// Time in which an engine generates one token.
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Longest wait for a VM to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a VM's status is polled while waiting.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running fleet.
pub struct LocalFleet {
    /// The stand-in for the platform's service.
    pub platform: platform::Server,
    /// The stand-in engines, by number.
    pub engines: Vec<engine::Server>,
    /// The stand-in desk runners, one in each data centre.
    pub runners: Vec<runner::Server>,
    daemons: Vec<Daemon>,
}

impl LocalFleet {
    /// Starts the fleet and waits until all entry VMs are ready. Certificates are
    /// written into `directory`.
    ///
    /// # Errors
    ///
    /// Fails if a server or VM does not start, or a VM is not ready in time.
    pub async fn start(directory: &Path) -> anyhow::Result<Self> {
        let platform = platform::Server::start().context("cannot start the platform")?;
        let url = platform.url();
        publish(&url, ENVIRONMENT, &provision::document()).await?;
        let engines: Vec<_> =
            (0..ENGINE_COUNT).map(|_| start_engine(1)).collect::<Result<_, _>>()?;
        let runners: Vec<_> = DATA_CENTRES
            .iter()
            .map(|_| runner::Server::start(runner::Settings::default()))
            .collect::<Result<_, _>>()?;
        let provisioner = Provisioner::new(directory)?;
        let mut rows = target_rows(&engines, &runners);
        let mut daemons = Vec::new();
        for (data_centre, number) in entries() {
            let vm = format!("{data_centre}-entry-{number}");
            let process = provisioner.process_settings(&vm, data_centre, &url)?;
            let daemon = Daemon::start(Options { process })?;
            rows.push(provision::entry_row(&vm, data_centre, daemon.peer_address()));
            daemons.push(daemon);
        }
        platform.set_vms(rows, Duration::ZERO);
        let fleet = Self { platform, engines, runners, daemons };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses for callers, in the order of the entry VMs.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::caller_address).collect()
    }

    /// Returns the addresses for operators, in the order of the entry VMs.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::operator_address).collect()
    }

    /// Stops the entry VMs gracefully, then the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if an entry VM failed.
    pub async fn close(self) -> anyhow::Result<()> {
        for daemon in self.daemons {
            daemon.close().await?;
        }
        for engine in self.engines {
            engine.close();
        }
        for runner in self.runners {
            runner.close();
        }
        self.platform.close();
        Ok(())
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        for operator in self.operators() {
            wait_ready(operator, ENGINE_COUNT + DATA_CENTRES.len(), self.daemons.len() - 1).await?;
        }
        Ok(())
    }
}

fn entries() -> impl Iterator<Item = (&'static str, usize)> {
    DATA_CENTRES
        .into_iter()
        .flat_map(|name| (1..=ENTRIES_PER_DATA_CENTRE).map(move |number| (name, number)))
}

/// Starts an engine that serves the demo's model, with this start number.
///
/// # Errors
///
/// Fails if the engine can't listen.
pub fn start_engine(start: u64) -> anyhow::Result<engine::Server> {
    let settings = engine::Builder::new()
        .start_number(StartNumber(start))
        .models(vec![MODEL.parse()?])
        .min_tokens(TOKENS)
        .token_time(TOKEN_TIME)
        .max_report_age(Duration::from_millis(200))
        .build();
    engine::Server::start(settings).context("cannot start an engine")
}

/// Returns the rows of engines and runners in the platform's VM list, spread over the
/// data centres.
pub fn target_rows(engines: &[engine::Server], runners: &[runner::Server]) -> Vec<ListedVm> {
    let data_centre = |idx: usize| DATA_CENTRES[idx % DATA_CENTRES.len()];
    let engines = engines.iter().enumerate().map(|(idx, engine)| {
        provision::target_row(&format!("engine-{idx}"), ENGINES, data_centre(idx), engine.address())
    });
    let runners = runners.iter().enumerate().map(|(idx, runner)| {
        provision::target_row(&format!("runner-{idx}"), RUNNERS, data_centre(idx), runner.address())
    });
    engines.chain(runners).collect()
}

/// Writes an environment's document into the platform's store.
///
/// # Errors
///
/// Fails if the store does not accept the write.
pub async fn publish(
    platform: &str,
    environment: &str,
    document: &briarshift_settings::Document,
) -> anyhow::Result<()> {
    let store = Platform::new(platform, Span::from_secs(5));
    let operation = Operation::Put {
        key: briarshift_control::document::key(environment),
        value: serde_json::to_string(document)?,
        expect: Expect::Any,
        lease: None,
    };
    store.execute(operation).await.context("cannot write the document")?;
    Ok(())
}

/// Waits until a VM has a document in force and counts at least `targets` targets and
/// `members` peers as live.
///
/// # Errors
///
/// Fails if that takes more than 15 seconds.
pub async fn wait_ready(
    operator: SocketAddr,
    targets: usize,
    members: usize,
) -> anyhow::Result<()> {
    let client = awc::Client::default();
    let deadline = std::time::Instant::now() + READY_TIMEOUT;
    loop {
        let url = format!("http://{operator}/status");
        let mut last_status = None;
        if let Ok(mut response) = client.get(&url).send().await {
            let status: serde_json::Value = response.json().await?;
            let count = |name: &str| status[name].as_u64().unwrap_or_default() as usize;
            let ready = 0 < count("revision")
                && targets <= count("live_targets")
                && members <= count("live_members");
            if ready {
                return Ok(());
            }
            last_status = Some(status);
        }
        if deadline < std::time::Instant::now() {
            bail!(
                "the VM at {operator} is not ready after {READY_TIMEOUT:?}; its last status: {last_status:?}"
            );
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

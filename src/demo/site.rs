//! The fleet itself, in one process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, bail};
use briarshift_daemon::{Daemon, Options};
use briarshift_standin::{engine, platform, runner};
use briarshift_store::http::Client as Platform;
use briarshift_store::{Expect, ListedVm, Operation, Store};
use briarshift_units::{Span, StartNumber};

use super::plan::{self, ENGINES, ENVIRONMENT, MODEL, Plan, RUNNERS};

/// The data centres.
pub const DATA_CENTRES: [&str; 3] = ["nairobi-a", "nairobi-b", "thika-c"];
/// Entry VMs a data centre.
const ENTRIES: usize = 2;
/// Model engines.
const ENGINE_COUNT: usize = 10;
/// Tokens of an answer.
pub const TOKENS: usize = 64;
/// Time an engine takes for a token.
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Longest wait for the fleet to be ready.
const READY: Duration = Duration::from_secs(15);
/// Time between two looks at whether it is.
const READY_POLL: Duration = Duration::from_millis(50);

/// A running fleet.
pub struct Site {
    /// The platform's service.
    pub platform: platform::Server,
    /// The engines, by number.
    pub engines: Vec<engine::Server>,
    /// The runners, one a data centre.
    pub runners: Vec<runner::Server>,
    daemons: Vec<Daemon>,
}

impl Site {
    /// Starts everything and waits until it is ready. Certificates go into
    /// `directory`.
    ///
    /// # Errors
    ///
    /// If a part does not start or does not get ready in time.
    pub async fn start(directory: &Path) -> anyhow::Result<Self> {
        let platform = platform::Server::start().context("cannot start the platform")?;
        let url = platform.url();
        publish(&url, ENVIRONMENT, &plan::document()).await?;
        let engines: Vec<_> =
            (0..ENGINE_COUNT).map(|_| start_engine(1)).collect::<Result<_, _>>()?;
        let runners: Vec<_> = DATA_CENTRES
            .iter()
            .map(|_| runner::Server::start(runner::Settings::default()))
            .collect::<Result<_, _>>()?;
        let plan = Plan::new(directory)?;
        let mut rows = targets(&engines, &runners);
        let mut daemons = Vec::new();
        for (data_centre, number) in entries() {
            let vm = format!("{data_centre}-entry-{number}");
            let process = plan.process(&vm, data_centre, &url)?;
            let daemon = Daemon::start(Options { process })?;
            rows.push(plan::entry(&vm, data_centre, daemon.peer_address()));
            daemons.push(daemon);
        }
        platform.set_vms(rows, Duration::ZERO);
        let site = Self { platform, engines, runners, daemons };
        site.wait_ready().await?;
        Ok(site)
    }

    /// Where callers connect, in turn.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::caller_address).collect()
    }

    /// Where operators connect.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::operator_address).collect()
    }

    /// Stops everything, daemons gracefully.
    ///
    /// # Errors
    ///
    /// If a daemon failed.
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
    DATA_CENTRES.into_iter().flat_map(|name| (1..=ENTRIES).map(move |number| (name, number)))
}

/// Starts an engine with the demo's model.
///
/// # Errors
///
/// The listener's error.
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

/// Rows of the platform's list for engines and runners, spread over the data
/// centres.
pub fn targets(engines: &[engine::Server], runners: &[runner::Server]) -> Vec<ListedVm> {
    let place = |idx: usize| DATA_CENTRES[idx % DATA_CENTRES.len()];
    let engines = engines.iter().enumerate().map(|(idx, engine)| {
        plan::target(&format!("engine-{idx}"), ENGINES, place(idx), engine.address())
    });
    let runners = runners.iter().enumerate().map(|(idx, runner)| {
        plan::target(&format!("runner-{idx}"), RUNNERS, place(idx), runner.address())
    });
    engines.chain(runners).collect()
}

/// Writes an environment's document into the platform's store.
///
/// # Errors
///
/// If the store does not take it.
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

/// Waits until a VM has a document and sees enough targets and peers.
///
/// # Errors
///
/// If that takes too long.
pub async fn wait_ready(
    operator: SocketAddr,
    targets: usize,
    members: usize,
) -> anyhow::Result<()> {
    let client = awc::Client::default();
    let deadline = std::time::Instant::now() + READY;
    loop {
        let url = format!("http://{operator}/status");
        let mut seen = None;
        if let Ok(mut response) = client.get(&url).send().await {
            let status: serde_json::Value = response.json().await?;
            let count = |name: &str| status[name].as_u64().unwrap_or_default() as usize;
            let ready = 0 < count("revision")
                && targets <= count("live_targets")
                && members <= count("live_members");
            if ready {
                return Ok(());
            }
            seen = Some(status);
        }
        if deadline < std::time::Instant::now() {
            bail!("the VM at {operator} did not get ready: {seen:?}");
        }
        tokio::time::sleep(READY_POLL).await;
    }
}

//! A small fleet: stand-ins in the test's process, entry VMs as processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use briarshift::demo::caller::{Answer, Caller, Message, user};
use briarshift::demo::plan::{self, CLIENTS, ENVIRONMENT, Plan};
use briarshift::demo::site::{self, DATA_CENTRES};
use briarshift_standin::{engine, platform, runner};
use briarshift_store::ListedVm;
use tempfile::TempDir;

/// Longest time a process may take to begin or end what it was told to.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// One entry VM.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
}

/// The fleet. Processes are killed when it is dropped.
pub struct Fleet {
    pub platform: platform::Server,
    pub engines: Vec<engine::Server>,
    pub runners: Vec<runner::Server>,
    pub vms: Vec<Vm>,
    rows: Vec<ListedVm>,
    plan: Plan,
    directory: TempDir,
}

impl Vm {
    fn start(plan: &Plan, directory: &TempDir, idx: usize, platform: &str) -> Self {
        let data_centre = DATA_CENTRES[idx % DATA_CENTRES.len()];
        let name = format!("{data_centre}-entry-{idx}");
        let process = plan.process(&name, data_centre, platform).unwrap();
        let file = directory.path().join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_vec(&process).unwrap()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_briarshift"))
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = |key: &str| {
            let pair = line.split_whitespace().find_map(|pair| pair.strip_prefix(key));
            pair.unwrap_or_else(|| panic!("no {key} in {line:?}")).parse().unwrap()
        };
        Self {
            callers: address("callers="),
            operators: address("operators="),
            peers: address("peers="),
            name,
            child,
        }
    }

    /// The process's id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().unwrap();
        assert!(status.success(), "kill -s {name} {pid}");
    }

    /// Waits for the process to end; whether it ended well.
    pub async fn ended(&mut self) -> bool {
        let child = &mut self.child;
        let mut ended = None;
        until("the process ends", || {
            ended = child.try_wait().unwrap();
            ended.is_some()
        })
        .await;
        ended.is_some_and(|status| status.success())
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Fleet {
    /// Starts a fleet and waits until every VM is ready.
    pub async fn start(vms: usize, engines: Vec<engine::Server>, runners: usize) -> Self {
        let runners: Vec<_> = (0..runners)
            .map(|_| runner::Server::start(runner::Settings::default()).unwrap())
            .collect();
        let platform = platform::Server::start().unwrap();
        let url = platform.url();
        site::publish(&url, ENVIRONMENT, &plan::document()).await.unwrap();
        let directory = TempDir::new().unwrap();
        let plan = Plan::new(directory.path()).unwrap();
        let rows = site::targets(&engines, &runners);
        let mut fleet = Self { platform, engines, runners, vms: Vec::new(), rows, plan, directory };
        for _ in 0..vms {
            fleet.add();
        }
        fleet.ready().await;
        fleet
    }

    /// Starts one more VM; returns its index.
    pub fn add(&mut self) -> usize {
        let idx = self.vms.len();
        let vm = Vm::start(&self.plan, &self.directory, idx, &self.platform.url());
        let data_centre = DATA_CENTRES[idx % DATA_CENTRES.len()];
        self.rows.push(plan::entry(&vm.name, data_centre, vm.peers));
        self.vms.push(vm);
        self.platform.set_vms(self.rows.clone(), Duration::ZERO);
        idx
    }

    /// Waits until every VM sees all targets and peers.
    pub async fn ready(&self) {
        let targets = self.engines.len() + self.runners.len();
        for vm in &self.vms {
            site::wait_ready(vm.operators, targets, self.vms.len() - 1).await.unwrap();
        }
    }

    /// Sends one message through a VM.
    pub async fn chat(
        &self,
        vm: usize,
        messages: &[Message],
        token: Option<&str>,
        stream: bool,
    ) -> Answer {
        caller().chat(self.vms[vm].callers, messages, token, stream).await.unwrap()
    }

    /// Runs of a booking on all runners.
    pub fn runs(&self, booking: &str) -> u32 {
        let logs = self.runners.iter().map(runner::Server::log);
        logs.map(|log| log.bookings.get(booking).copied().unwrap_or(0)).sum()
    }

    /// The settings file of a VM.
    pub fn settings(&self, vm: usize) -> PathBuf {
        self.directory.path().join(format!("{}.json", self.vms[vm].name))
    }

    /// Runs on all targets.
    pub fn total_runs(&self) -> usize {
        let engines = self.engines.iter().map(|engine| engine.log().runs.len());
        let runners = self.runners.iter().map(|runner| runner.log().runs.len());
        engines.chain(runners).sum()
    }
}

/// A caller of the first account.
pub fn caller() -> Caller {
    Caller::new(CLIENTS[0].key)
}

/// One message that names itself.
pub fn message(text: &str) -> Vec<Message> {
    vec![user(text)]
}

/// Engines with a number of tokens an answer and a time a token.
pub fn engines(count: usize, tokens: usize, token: Duration) -> Vec<engine::Server> {
    let start = |_| {
        let settings = engine::Builder::new()
            .models(vec![plan::MODEL.parse().unwrap()])
            .min_tokens(tokens)
            .token_time(token)
            .build();
        engine::Server::start(settings).unwrap()
    };
    (0..count).map(start).collect()
}

/// Waits for a condition; panics when patience ends.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(std::time::Instant::now() < deadline, "waited in vain until {what}");
        tokio::time::sleep(POLL).await;
    }
}

//! A small fleet: stand-ins that run in the test's process, and entry VMs as processes of their own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use briarshift::demo::caller::{Caller, Message, Response, user_message};
use briarshift::demo::local_fleet::{self, DATA_CENTRES};
use briarshift::demo::provision::{self, CLIENTS, ENVIRONMENT, Provisioner};
use briarshift_standin::{engine, platform, runner};
use briarshift_store::ListedVm;
use tempfile::TempDir;

/// Longest time that [`until`] waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The process of an entry VM, with the addresses of its listeners.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
}

/// A fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    pub platform: platform::Server,
    pub engines: Vec<engine::Server>,
    pub runners: Vec<runner::Server>,
    pub vms: Vec<Vm>,
    vm_list: Vec<ListedVm>,
    provisioner: Provisioner,
    directory: TempDir,
}

impl Vm {
    fn start(provisioner: &Provisioner, directory: &TempDir, index: usize, platform: &str) -> Self {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let name = format!("{data_centre}-entry-{index}");
        let settings = provisioner.process_settings(&name, data_centre, platform).unwrap();
        let file = directory.path().join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_vec(&settings).unwrap()).unwrap();
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status().unwrap();
        assert!(status.success(), "kill -s {name} {pid}");
    }

    /// Waits until the process ends; returns true if its exit status is 0.
    pub async fn exited_successfully(&mut self) -> bool {
        let child = &mut self.child;
        let mut exit_status = None;
        until("the process ends", || {
            exit_status = child.try_wait().unwrap();
            exit_status.is_some()
        })
        .await;
        exit_status.is_some_and(|status| status.success())
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // Killing fails if the process has ended already.
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
        local_fleet::publish(&url, ENVIRONMENT, &provision::document()).await.unwrap();
        let directory = TempDir::new().unwrap();
        let provisioner = Provisioner::new(directory.path()).unwrap();
        let vm_list = local_fleet::target_rows(&engines, &runners);
        let mut fleet =
            Self { platform, engines, runners, vms: Vec::new(), vm_list, provisioner, directory };
        for _ in 0..vms {
            fleet.add_vm();
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts another VM and adds it to the platform's list; returns its index.
    pub fn add_vm(&mut self) -> usize {
        let index = self.vms.len();
        let vm = Vm::start(&self.provisioner, &self.directory, index, &self.platform.url());
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        self.vm_list.push(provision::entry_row(&vm.name, data_centre, vm.peers));
        self.vms.push(vm);
        self.platform.set_vms(self.vm_list.clone(), Duration::ZERO);
        index
    }

    /// Waits until every VM knows all targets and peers.
    pub async fn wait_ready(&self) {
        let targets = self.engines.len() + self.runners.len();
        for vm in &self.vms {
            local_fleet::wait_ready(vm.operators, targets, self.vms.len() - 1).await.unwrap();
        }
    }

    /// Sends a chat request through a VM.
    pub async fn chat(
        &self,
        vm: usize,
        messages: &[Message],
        token: Option<&str>,
        stream: bool,
    ) -> Response {
        caller().chat(self.vms[vm].callers, messages, token, stream).await.unwrap()
    }

    /// Returns how often a booking has run on all runners.
    pub fn booking_runs(&self, booking: &str) -> u32 {
        let logs = self.runners.iter().map(runner::Server::log);
        logs.map(|log| log.bookings.get(booking).copied().unwrap_or(0)).sum()
    }

    /// Returns the path of a VM's settings file.
    pub fn settings_file(&self, vm: usize) -> PathBuf {
        self.directory.path().join(format!("{}.json", self.vms[vm].name))
    }

    /// Returns the number of requests that all targets have run.
    pub fn total_runs(&self) -> usize {
        let engines = self.engines.iter().map(|engine| engine.log().runs.len());
        let runners = self.runners.iter().map(|runner| runner.log().runs.len());
        engines.chain(runners).sum()
    }
}

/// Returns a caller of the first client account.
pub fn caller() -> Caller {
    Caller::new(CLIENTS[0].key)
}

/// Returns the messages of a new chat: one message of the user.
pub fn message(text: &str) -> Vec<Message> {
    vec![user_message(text)]
}

/// Starts engines whose answers have this number of tokens and take this time per token.
pub fn engines(count: usize, tokens: usize, token_time: Duration) -> Vec<engine::Server> {
    let start = |_| {
        let settings = engine::Builder::new()
            .models(vec![provision::MODEL.parse().unwrap()])
            .min_tokens(tokens)
            .token_time(token_time)
            .build();
        engine::Server::start(settings).unwrap()
    };
    (0..count).map(start).collect()
}

/// Waits for a condition; panics after [`TIMEOUT`].
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(std::time::Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

//! Builder for process settings.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use briarshift_units::{DataCentre, FleetId, VmId};
use smol_str::SmolStr;

use crate::{Peer, Process, Tls};

/// Default environment.
const DEFAULT_ENVIRONMENT: SmolStr = SmolStr::new_static("production");

/// Builds [`Process`] settings.
#[derive(Debug, Clone)]
pub struct ProcessBuilder(Process);

impl ProcessBuilder {
    pub(super) fn new(vm: VmId, data_centre: DataCentre) -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self(Process {
            comment: String::new(),
            fleet: "fleet".parse().expect("a valid id"),
            vm,
            data_centre,
            environment: DEFAULT_ENVIRONMENT,
            caller_address: unspecified,
            operator_address: unspecified,
            peer_address: unspecified,
            platform: SmolStr::default(),
            peers: Vec::new(),
            tls: Tls { ca: PathBuf::new(), certificate: PathBuf::new(), key: PathBuf::new() },
            token_key: SmolStr::default(),
            workers: 0,
            control_bytes_per_second: super::default_budget(),
            drain_ms: super::default_drain(),
        })
    }

    /// Sets the fleet.
    #[must_use]
    pub fn fleet(mut self, fleet: FleetId) -> Self {
        self.0.fleet = fleet;
        self
    }

    /// Sets the environment whose document the VM runs.
    #[must_use]
    pub fn environment(mut self, environment: &str) -> Self {
        self.0.environment = environment.into();
        self
    }

    /// Sets the addresses on which callers (TCP), operators (TCP) and peers (UDP) connect. The
    /// default is 127.0.0.1 with a port that the operating system chooses.
    #[must_use]
    pub fn listeners(mut self, caller: SocketAddr, operator: SocketAddr, peer: SocketAddr) -> Self {
        self.0.caller_address = caller;
        self.0.operator_address = operator;
        self.0.peer_address = peer;
        self
    }

    /// Sets the base URL of the platform's service.
    #[must_use]
    pub fn platform(mut self, url: &str) -> Self {
        self.0.platform = url.into();
        self
    }

    /// Adds a peer through which the VM can join the fleet.
    #[must_use]
    pub fn peer(mut self, peer: Peer) -> Self {
        self.0.peers.push(peer);
        self
    }

    /// Sets the files of the certificates for peer connections.
    #[must_use]
    pub fn tls(mut self, tls: Tls) -> Self {
        self.0.tls = tls;
        self
    }

    /// Sets the key that authenticates chat tokens, 64 hexadecimal digits.
    #[must_use]
    pub fn token_key(mut self, key: &str) -> Self {
        self.0.token_key = key.into();
        self
    }

    /// Sets the number of worker threads for requests, 0 for one per core.
    #[must_use]
    pub fn workers(mut self, workers: usize) -> Self {
        self.0.workers = workers;
        self
    }

    /// Sets the limit of control bytes sent per second, and the longest wait of a graceful shutdown
    /// in milliseconds.
    #[must_use]
    pub fn limits(mut self, control_bytes_per_second: u64, drain_ms: u64) -> Self {
        self.0.control_bytes_per_second = control_bytes_per_second;
        self.0.drain_ms = drain_ms;
        self
    }

    /// Returns the settings without checking them; [`Process::parse`] does that.
    pub fn build(self) -> Process {
        self.0
    }
}

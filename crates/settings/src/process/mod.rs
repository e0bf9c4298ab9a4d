//! Process settings.

mod build;
mod check;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::LazyLock;

use briarshift_units::{DataCentre, FleetId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::fault::Faults;
use crate::schema::{Checker, SOCKET_ADDRESS};

pub use build::ProcessBuilder;

static CHECKER: LazyLock<Checker> = LazyLock::new(Checker::new::<Process>);

/// What one entry VM is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Free text for readers of the file.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// The fleet it belongs to.
    pub fleet: FleetId,
    /// This VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The environment whose document it runs, such as `production`.
    #[schemars(regex(pattern = "^[A-Za-z0-9_.:-]+$"))]
    pub environment: SmolStr,
    /// Where callers connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub caller_address: SocketAddr,
    /// Where operators connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub operator_address: SocketAddr,
    /// Where peers connect (UDP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub peer_address: SocketAddr,
    /// Base URL of the platform's service, without a path.
    #[schemars(regex(pattern = "^https?://[^/]+/?$"))]
    pub platform: SmolStr,
    /// Peers to join through when the platform's list is out of reach.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Certificates for peer connections.
    pub tls: Tls,
    /// Key that authenticates chat tokens, 64 lower-case hexadecimal
    /// digits, the same on all VMs of the fleet.
    #[schemars(regex(pattern = "^[0-9a-f]{64}$"))]
    pub token_key: SmolStr,
    /// Traffic threads; 0 for one a core.
    #[serde(default)]
    pub workers: usize,
    /// Most control bytes sent a second.
    #[schemars(range(min = 1000))]
    #[serde(default = "default_budget")]
    pub control_bytes_per_second: u64,
    /// How long a graceful shutdown waits for requests in flight, in
    /// milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

impl Process {
    /// Reads process settings and checks them in whole.
    ///
    /// # Errors
    ///
    /// All [`Faults`] at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Process;
    /// let faults = Process::parse(br#"{ "vm": "vm 1" }"#).unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.path.to_string() == "$.vm"));
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Faults> {
        crate::parse(bytes, &CHECKER, check::faults)
    }

    /// The JSON schema of the settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Process;
    /// assert_eq!(Process::schema()["title"], "Process");
    /// ```
    pub fn schema() -> Value {
        crate::schema::schema::<Self>()
    }

    /// Builds settings in code, for one VM with its three listeners.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Process;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let process = Process::builder("vm-1".parse().unwrap(), "aarau".parse().unwrap())
    ///     .listeners(any, any, any)
    ///     .platform("http://127.0.0.1:2379")
    ///     .build();
    /// assert_eq!(process.environment, "production");
    /// ```
    pub fn builder(vm: VmId, data_centre: DataCentre) -> ProcessBuilder {
        ProcessBuilder::new(vm, data_centre)
    }
}

/// Control bytes sent a second, from the stated limit of 14 KB/s a node.
const fn default_budget() -> u64 {
    14_000
}

const fn default_drain() -> u64 {
    600_000
}

/// A peer to join through.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener.
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub address: SocketAddr,
}

/// Files of the peer certificates, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The fleet's certificate authority.
    pub ca: PathBuf,
    /// This VM's certificate.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub key: PathBuf,
}

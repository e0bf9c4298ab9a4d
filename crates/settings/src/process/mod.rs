//! Settings of one entry VM's process.

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

/// Settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Free text for readers of the file.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// Id of the fleet to which this VM belongs.
    pub fleet: FleetId,
    /// Id of this VM.
    pub vm: VmId,
    /// Data centre in which this VM runs.
    pub data_centre: DataCentre,
    /// Environment whose document this VM uses, such as `production`.
    #[schemars(regex(pattern = "^[A-Za-z0-9_.:-]+$"))]
    pub environment: SmolStr,
    /// Address on which callers connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub caller_address: SocketAddr,
    /// Address on which operators connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub operator_address: SocketAddr,
    /// Address on which peers connect (UDP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub peer_address: SocketAddr,
    /// Base URL of the platform's service, without a path.
    #[schemars(regex(pattern = "^https?://[^/]+/?$"))]
    pub platform: SmolStr,
    /// Peers through which to join the fleet when the platform's VM list is not available.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Certificates for peer connections.
    pub tls: Tls,
    /// Key that authenticates chat tokens, 64 lower-case hexadecimal digits. It must be the same on
    /// all VMs of the fleet.
    #[schemars(regex(pattern = "^[0-9a-f]{64}$"))]
    pub token_key: SmolStr,
    /// Number of worker threads for requests, 0 for one per core.
    #[serde(default)]
    pub workers: usize,
    /// Limit of control bytes sent per second.
    #[schemars(range(min = 1000))]
    #[serde(default = "default_budget")]
    pub control_bytes_per_second: u64,
    /// Longest time that a graceful shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

impl Process {
    /// Parses and checks process settings.
    ///
    /// # Errors
    ///
    /// Returns all [`Faults`] of the settings.
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

    /// Returns the JSON schema of the settings.
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

    /// Returns a builder for the settings of a VM.
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

/// Default limit of control bytes sent per second, from the required limit of 14 KB/s per VM.
const fn default_budget() -> u64 {
    14_000
}

const fn default_drain() -> u64 {
    600_000
}

/// A peer through which to join the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Id of the peer.
    pub vm: VmId,
    /// Data centre in which the peer runs.
    pub data_centre: DataCentre,
    /// Address of its peer listener (UDP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub address: SocketAddr,
}

/// Files of the certificates for peer connections, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Path of the certificate of the fleet's certificate authority.
    pub ca: PathBuf,
    /// Path of this VM's certificate.
    pub certificate: PathBuf,
    /// Path of this VM's private key.
    pub key: PathBuf,
}

//! Process settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use briarshift_units::{DataCentre, FleetId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

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
    pub environment: SmolStr,
    /// Where callers connect (TCP).
    pub caller_address: SocketAddr,
    /// Where operators connect (TCP).
    pub operator_address: SocketAddr,
    /// Where peers connect (UDP).
    pub peer_address: SocketAddr,
    /// Base URL of the platform's service.
    pub platform: SmolStr,
    /// Peers to join through when the platform's list is out of reach.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Certificates for peer connections.
    pub tls: Tls,
    /// Key that authenticates chat tokens, 64 hexadecimal digits, the same on
    /// all VMs of the fleet.
    pub token_key: SmolStr,
    /// Traffic threads; 0 for one a core.
    #[serde(default)]
    pub workers: usize,
    /// Most control bytes sent a second.
    #[serde(default = "default_budget")]
    pub control_bytes_per_second: u64,
    /// How long a graceful shutdown waits for requests in flight, in
    /// milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
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

//! Settings of a gateway process, which runs on an entry VM and routes requests to services.
//!
//! Routes, pools and accounts come from the operators' configuration in the platform's store. These
//! settings contain what is specific to one VM, and the guarantees of the operators that the
//! configuration does not contain.

use std::net::SocketAddr;
use std::sync::LazyLock;

use briarshift_units::{DataCentre, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::fault::{Fault, Faults, Kind, Path};
use crate::schema::{Checker, SOCKET_ADDRESS};

static CHECKER: LazyLock<Checker> = LazyLock::new(Checker::new::<Gateway>);

/// Fields with TCP listeners, whose addresses must differ.
const LISTENERS: [&str; 3] = ["caller_address", "ready_address", "operator_address"];

/// Settings of one gateway VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Free text for readers of the file.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// Id of this VM.
    pub vm: VmId,
    /// Data centre in which this VM runs.
    pub data_centre: DataCentre,
    /// Address on which callers connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub caller_address: SocketAddr,
    /// Address on which the platform checks whether this VM is ready (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub ready_address: SocketAddr,
    /// Address on which operators read status and metrics (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub operator_address: SocketAddr,
    /// Address on which peers connect (UDP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub peer_address: SocketAddr,
    /// Bandwidth of this VM's network link, in megabits per second. VMs with a high bandwidth read
    /// the store on behalf of the others. Omit it if it is not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[schemars(range(min = 0.0, max = 1_000_000.0))]
    pub link_mbit_s: f64,
    /// Memory of this VM in megabytes. A share of it is the budget for the bodies of requests and
    /// answers. Omit it if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 32.0, max = 1_000_000.0))]
    pub memory_mb: Option<f64>,
    /// Base URL of the platform's store, without a path.
    #[schemars(regex(pattern = "^https?://[^/]+/?$"))]
    pub store: SmolStr,
    /// Guarantees of the operators.
    pub bounds: Bounds,
    /// Names of the terms under which the platform's operators run this deployment. The platform's
    /// adapter tells which features they call for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub terms: Vec<SmolStr>,
    /// Second sends of late requests that may be repeated. Omit it to make none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<Hedge>,
}

/// Extra work that the operators accept to shorten the slowest answers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hedge {
    /// Second sends that all VMs together may make per request; 0 turns them off.
    #[schemars(range(min = 0.0, max = 0.5))]
    pub share: f64,
    /// Part of a pool's recent answers that must be faster than a request's wait before it is sent
    /// a second time.
    #[serde(default = "default_quantile")]
    #[schemars(range(min = 0.5, max = 0.999))]
    pub quantile: f64,
    /// Length of the window in which the share holds, in seconds. Each VM needs 1 / `share`
    /// requests in a window to make one second send.
    #[serde(default = "default_hedge_window_s")]
    #[schemars(range(min = 1.0, max = 3_600.0))]
    pub window_s: f64,
}

/// Limits that this VM observes to keep the operators' guarantees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest time until every VM refuses a revoked key, in milliseconds. It also holds for VMs
    /// that can't reach the store.
    #[schemars(range(min = 1500))]
    pub revoke_ms: u64,
    /// Longest time until a change of the configuration is in force on every VM that reaches the
    /// store, in milliseconds. The longer this and `leave_ms` are, the less often the store is
    /// read.
    #[serde(default = "default_change_ms")]
    #[schemars(range(min = 1))]
    pub config_ms: u64,
    /// Longest time until a target that leaves gets no new requests, in milliseconds.
    #[serde(default = "default_change_ms")]
    #[schemars(range(min = 1))]
    pub leave_ms: u64,
    /// Longest duration of a graceful shutdown, in seconds.
    #[schemars(range(min = 1.0, max = 86_400.0))]
    pub grace_s: f64,
    /// Retries that all VMs together may send to a pool per request.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to `retry_ratio`.
    #[schemars(range(min = 0.0, max = 1_000_000.0))]
    pub retry_extra: f64,
    /// Length of the window for retries, in seconds.
    #[schemars(range(min = 0.1, max = 86_400.0))]
    pub retry_window_s: f64,
    /// Most requests that an engine may run, as a multiple of its pool's mean.
    #[schemars(range(min = 1.0, max = 1_000.0))]
    pub load_factor: f64,
}

impl Gateway {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns all [`Faults`] of the settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Gateway;
    /// let faults = Gateway::parse(br#"{ "vm": "vm 1" }"#).unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.path.to_string() == "$.vm"));
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Faults> {
        crate::parse(bytes, &CHECKER, check_listeners)
    }

    /// Returns the JSON schema of the settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Gateway;
    /// assert_eq!(Gateway::schema()["title"], "Gateway");
    /// ```
    pub fn schema() -> Value {
        crate::schema::schema::<Self>()
    }
}

/// Returns the bound on changes that holds if the settings state none.
fn default_change_ms() -> u64 {
    2_000
}

/// Returns the quantile of answers after which a request is late, if the settings state none.
fn default_quantile() -> f64 {
    0.95
}

/// Returns the window for second sends that holds if the settings state none, in seconds.
fn default_hedge_window_s() -> f64 {
    10.0
}

fn is_zero(rate: &f64) -> bool {
    *rate == 0.0
}

/// Returns a fault for each listener that has the address of an earlier one.
fn check_listeners(settings: &Value) -> Vec<Fault> {
    let address = |field: &str| settings[field].as_str()?.parse::<SocketAddr>().ok();
    let mut faults = Vec::new();
    for (index, second) in LISTENERS.iter().enumerate() {
        let Some(taken) = address(second).filter(|address| address.port() != 0) else { continue };
        let Some(first) = LISTENERS[..index].iter().find(|first| address(first) == Some(taken))
        else {
            continue;
        };
        let kind = Kind::AddressInUse { address: taken.to_string().into(), first: (*first).into() };
        faults.push(Fault { path: Path::default().field(second), kind });
    }
    faults
}

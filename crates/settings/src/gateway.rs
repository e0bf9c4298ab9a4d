//! Settings of a gateway process: an entry VM before routed services.
//!
//! Everything about routes, pools and accounts comes from the operators'
//! configuration in the platform's store. What stands here is what one VM is,
//! and the bounds that operators promise and that the configuration does not
//! name.

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

/// Listeners that share the TCP port numbers.
const LISTENERS: [&str; 3] = ["caller_address", "ready_address", "operator_address"];

/// What one gateway VM is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Free text for readers of the file.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// This VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub caller_address: SocketAddr,
    /// Where the platform asks whether this VM is ready (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub ready_address: SocketAddr,
    /// Where operators read status and metrics (TCP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub operator_address: SocketAddr,
    /// Where peers connect (UDP).
    #[schemars(extend("format" = SOCKET_ADDRESS))]
    pub peer_address: SocketAddr,
    /// What this VM's link carries, in megabits a second; VMs with wide links
    /// read the store for the others. Left out where it is not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[schemars(range(min = 0.0, max = 1_000_000.0))]
    pub link_mbit_s: f64,
    /// Base URL of the platform's store, without a path.
    #[schemars(regex(pattern = "^https?://[^/]+/?$"))]
    pub store: SmolStr,
    /// What operators promise.
    pub bounds: Bounds,
}

/// Promises that this VM keeps to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// A key that was taken away is refused after this time everywhere, in
    /// milliseconds, cut off from the store or not.
    #[schemars(range(min = 1500))]
    pub revoke_ms: u64,
    /// How long a graceful stop may take, in seconds.
    #[schemars(range(min = 1.0, max = 86_400.0))]
    pub grace_s: f64,
    /// Repeats that all VMs may send to a pool, for each request.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub retry_ratio: f64,
    /// Repeats beside that in one window.
    #[schemars(range(min = 0.0, max = 1_000_000.0))]
    pub retry_extra: f64,
    /// Length of the window in seconds.
    #[schemars(range(min = 0.1, max = 86_400.0))]
    pub retry_window_s: f64,
    /// Most requests that an engine may hold, as a multiple of its pool's
    /// mean.
    #[schemars(range(min = 1.0, max = 1_000.0))]
    pub load_factor: f64,
}

impl Gateway {
    /// Reads settings and checks them in whole.
    ///
    /// # Errors
    ///
    /// All [`Faults`] at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Gateway;
    /// let faults = Gateway::parse(br#"{ "vm": "vm 1" }"#).unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.path.to_string() == "$.vm"));
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Faults> {
        crate::parse(bytes, &CHECKER, listeners)
    }

    /// The JSON schema of the settings.
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

fn is_zero(rate: &f64) -> bool {
    *rate == 0.0
}

/// Listeners that have the same address.
fn listeners(settings: &Value) -> Vec<Fault> {
    let address = |field: &str| settings[field].as_str()?.parse::<SocketAddr>().ok();
    let mut faults = Vec::new();
    for (index, second) in LISTENERS.iter().enumerate() {
        let Some(taken) = address(second).filter(|address| address.port() != 0) else { continue };
        let Some(first) = LISTENERS[..index].iter().find(|first| address(first) == Some(taken))
        else {
            continue;
        };
        let kind = Kind::Address { address: taken.to_string().into(), first: (*first).into() };
        faults.push(Fault { path: Path::default().field(second), kind });
    }
    faults
}

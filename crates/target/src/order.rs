//! Orders to engines.

use briarshift_units::{FencingToken, ModelId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The whole state wanted of an engine. Stating all of it makes an order
/// idempotent, which protects engines that ignore fencing numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The sender's fencing number.
    pub fencing: FencingToken,
    /// Models, adapters and versions to hold, such as `rota-7b@3+season`.
    pub models: Vec<ModelId>,
    /// Role to take: `serve`, `prefill`, `decode`.
    pub role: SmolStr,
}

/// What an engine said to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Accepted; the load report shows when it is done.
    Accepted,
    /// The fencing number is older than one already seen.
    Stale {
        /// The newest number the engine has seen.
        newest: FencingToken,
    },
}

//! Orders, which set the state of engines.

use briarshift_units::{FencingToken, ModelId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The complete desired state of an engine. Because it is complete, an order is
/// idempotent, which protects engines that ignore fencing tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender's lease.
    pub fencing: FencingToken,
    /// Models to load, with their versions and adapters, such as
    /// `rota-7b@3+season`.
    pub models: Vec<ModelId>,
    /// Role of the engine: `serve`, `prefill` or `decode`.
    pub role: SmolStr,
}

/// An engine's response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The engine accepted the order. Its load report shows when it has reached
    /// the desired state.
    Accepted,
    /// The engine rejected the order, because it has seen a larger fencing
    /// token.
    Stale {
        /// The largest fencing token that the engine has seen.
        newest: FencingToken,
    },
}

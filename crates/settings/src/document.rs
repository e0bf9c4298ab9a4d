//! The environment document.

use briarshift_units::{AccountId, ModelId, OwnerId, PoolId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// All that operators configure for one environment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Free text for readers of the document.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// Owners who share the fleet's bill.
    pub owners: Vec<OwnerId>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Pools of targets.
    pub pools: Vec<Pool>,
    /// Models and the pool that serves each.
    pub models: Vec<Model>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its id.
    pub id: AccountId,
    /// The owner it belongs to.
    pub owner: OwnerId,
    /// SHA-256 of its bearer key, 64 hexadecimal digits.
    pub key_sha256: SmolStr,
    /// Requests it may send.
    pub rate: Rate,
    /// How its requests queue.
    #[serde(default)]
    pub priority: Priority,
}

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Requests a second over time, fleet-wide.
    pub per_second: f64,
    /// Requests at once, fleet-wide.
    pub burst: u32,
}

/// How requests queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Yields to interactive requests.
    Overnight,
}

/// A pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its id.
    pub id: PoolId,
    /// The owner it belongs to.
    pub owner: OwnerId,
    /// What its targets are.
    pub kind: Kind,
    /// Longest wait for a place, in milliseconds.
    pub queue_wait_ms: u64,
    /// Most requests that wait for a place, in the pool.
    pub queue_length: u32,
    /// Retries allowed, as a share of first attempts.
    pub retry_share: f64,
}

/// What a pool's targets are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Engine(Engine),
    /// Desk runners.
    Runner(Runner),
}

/// Settings of a pool of model engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// No engine carries more than this multiple of the pool's mean load.
    pub load_factor: f64,
    /// How long a returning chat waits for a place on the engine that holds
    /// its context before it goes elsewhere, in milliseconds.
    pub place_wait_ms: u64,
    /// Share of an engine's places that overnight work may take.
    pub overnight_share: f64,
}

/// Settings of a pool of desk runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Most requests at once on one runner.
    pub concurrency: u32,
    /// How long to wait for a runner's answer, in milliseconds.
    pub timeout_ms: u64,
    /// How long outcomes of bookings are kept, in seconds.
    pub retention_s: u64,
    /// Calls that may be repeated. All others run at most once and need an
    /// `Idempotency-Key`.
    pub repeatable: Vec<Call>,
}

/// A desk call by method and first path segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method, in capitals.
    pub method: SmolStr,
    /// The path's first segment.
    pub path: SmolStr,
}

/// A model and the pool that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its id, as callers name it.
    pub id: ModelId,
    /// The pool that serves it.
    pub pool: PoolId,
}

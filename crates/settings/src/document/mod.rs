//! The environment document.
//!
//! Its digest is computed from the bytes in the store, never from a re-encoding of the parsed types:
//! comments and white space are part of what was tested in trial.

mod build;
mod check;

use std::sync::LazyLock;

use briarshift_units::{AccountId, Digest, ModelId, OwnerId, PoolId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

use crate::fault::Faults;
use crate::schema::Checker;

pub use build::{AccountBuilder, DocumentBuilder, PoolBuilder};

static CHECKER: LazyLock<Checker> = LazyLock::new(Checker::new::<Document>);

/// Configuration of one environment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Free text for readers of the document.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// Owners who share the costs of the fleet.
    pub owners: Vec<OwnerId>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Pools of targets.
    pub pools: Vec<Pool>,
    /// Models, each with the pool that serves it.
    pub models: Vec<Model>,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns all [`Faults`] of the document.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Document;
    /// let bytes = br#"{ "owners": ["kitambaa"], "accounts": [], "pools": [], "models": [] }"#;
    /// assert_eq!(Document::parse(bytes).unwrap().owners.len(), 1);
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, Faults> {
        crate::parse(bytes, &CHECKER, check::faults)
    }

    /// Returns the digest of a document's bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Document;
    /// assert_ne!(Document::digest(b"{}"), Document::digest(b"{ }"));
    /// ```
    pub fn digest(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the JSON schema of the document.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Document;
    /// assert_eq!(Document::schema()["title"], "Document");
    /// ```
    pub fn schema() -> Value {
        crate::schema::schema::<Self>()
    }

    /// Returns a builder for a document.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_settings::Document;
    /// let document = Document::builder().owner("kitambaa".parse().unwrap()).build();
    /// assert!(document.pools.is_empty());
    /// ```
    pub fn builder() -> DocumentBuilder {
        DocumentBuilder::default()
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Id of the account.
    pub id: AccountId,
    /// Owner of the account.
    pub owner: OwnerId,
    /// SHA-256 of its bearer key, 64 lower-case hexadecimal digits.
    #[schemars(regex(pattern = "^[0-9a-f]{64}$"))]
    pub key_sha256: SmolStr,
    /// Rate limit of its requests.
    pub rate: Rate,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
}

/// A rate limit, enforced with a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Mean rate in requests per second, for the whole fleet.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub per_second: f64,
    /// Largest burst in requests, for the whole fleet.
    #[schemars(range(min = 1))]
    pub burst: u32,
}

/// Priority of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// The request yields to interactive requests.
    Overnight,
}

/// A pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Id of the pool.
    pub id: PoolId,
    /// Owner of the pool.
    pub owner: OwnerId,
    /// Kind of its targets, with their settings.
    pub kind: Kind,
    /// Longest time that a request waits in the queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// Most requests that may wait in the pool's queue.
    pub queue_length: u32,
    /// Retries allowed, as a fraction of first attempts, 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub retry_share: f64,
    /// Limits of the orders that make its engines load models. Without them no orders are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Orders>,
}

/// Limits of the orders that make a pool's engines load models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Most models that an engine can hold.
    #[schemars(range(min = 1))]
    pub models_per_engine: u32,
    /// Most engines of the pool that load model weights at the same time.
    #[schemars(range(min = 1))]
    pub loads_at_once: u32,
}

/// Kind of a pool's targets, with their settings.
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
    /// Largest load of an engine, as a multiple of the pool's mean load, 1 or more.
    #[schemars(range(min = 1))]
    pub load_factor: f64,
    /// Longest time that a returning chat waits for the engine that has its context in the cache
    /// before another engine is used, in milliseconds.
    pub place_wait_ms: u64,
    /// Fraction of an engine's capacity that overnight requests may use, 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub overnight_share: f64,
}

/// Settings of a pool of desk runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Most concurrent requests on one runner.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// Longest wait for a runner's answer, in milliseconds.
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// Time for which the outcomes of bookings are kept, in seconds.
    #[schemars(range(min = 1))]
    pub retention_s: u64,
    /// Calls that may be repeated. All others run at most once and need an
    /// `Idempotency-Key`.
    pub repeatable: Vec<Call>,
}

/// A desk call by method and first path segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method in upper case.
    #[schemars(regex(pattern = "^[A-Z]+$"))]
    pub method: SmolStr,
    /// First segment of the path, without a slash.
    #[schemars(regex(pattern = "^[^/?# ]+$"))]
    pub path: SmolStr,
}

/// A model and the pool that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Id that callers use for the model.
    pub id: ModelId,
    /// Id of the pool that serves it.
    pub pool: PoolId,
}

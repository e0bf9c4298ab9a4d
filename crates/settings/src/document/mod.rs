//! The environment document.
//!
//! Its digest is taken over the very bytes that the store holds, never over
//! an encoding of the parsed types: comments and white space are part of
//! what was proven in trial.

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

impl Document {
    /// Reads a document and checks it in whole.
    ///
    /// # Errors
    ///
    /// All [`Faults`] at once.
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

    /// The digest of a document's bytes.
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

    /// The JSON schema of the document.
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

    /// Builds a document in code.
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
    /// Its id.
    pub id: AccountId,
    /// The owner it belongs to.
    pub owner: OwnerId,
    /// SHA-256 of its bearer key, 64 lower-case hexadecimal digits.
    #[schemars(regex(pattern = "^[0-9a-f]{64}$"))]
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
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub per_second: f64,
    /// Requests at once, fleet-wide.
    #[schemars(range(min = 1))]
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
    /// Retries allowed, as a share of first attempts, 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub retry_share: f64,
    /// What its engines may be ordered; without it they are left as they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Orders>,
}

/// What the engines of a pool may be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Models that an engine has room for.
    #[schemars(range(min = 1))]
    pub models_per_engine: u32,
    /// Most engines that load from the weight store at once, in the pool.
    #[schemars(range(min = 1))]
    pub loads_at_once: u32,
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
    /// No engine carries more than this multiple of the pool's mean load, 1
    /// or more.
    #[schemars(range(min = 1))]
    pub load_factor: f64,
    /// How long a returning chat waits for a place on the engine that holds
    /// its context before it goes elsewhere, in milliseconds.
    pub place_wait_ms: u64,
    /// Share of an engine's places that overnight work may take, 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub overnight_share: f64,
}

/// Settings of a pool of desk runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Most requests at once on one runner.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// How long to wait for a runner's answer, in milliseconds.
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// How long outcomes of bookings are kept, in seconds.
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
    /// The HTTP method, in capitals.
    #[schemars(regex(pattern = "^[A-Z]+$"))]
    pub method: SmolStr,
    /// The path's first segment, without a slash.
    #[schemars(regex(pattern = "^[^/?# ]+$"))]
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

//! Reports of targets about their load and cache.

use briarshift_units::{ChatKey, FencingToken, ModelId, StartNumber};
use serde::{Deserialize, Serialize};

/// A target's report of its load, which lags behind the actual load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start number of the target's process.
    pub start: StartNumber,
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in the target's own queue.
    pub waiting: u32,
    /// True if it accepts no new requests.
    pub leaving: bool,
    /// Models that it serves; empty for a desk runner.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Largest fencing token that it has seen. `None` if it doesn't check
    /// fencing tokens.
    #[serde(default)]
    pub fencing: Option<FencingToken>,
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The engine has stored the chat's context in its cache.
    Stored,
    /// The engine has evicted the chat's context from its cache.
    Evicted,
}

/// A change of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number. A gap shows that events were lost.
    pub sequence: u64,
    /// Key of the chat, which the engine derives from the `X-Chat-Key` header.
    pub chat: ChatKey,
    /// Kind of the event.
    pub kind: CacheEventKind,
}

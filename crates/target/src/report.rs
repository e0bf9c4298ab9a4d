//! What targets report of themselves.

use briarshift_units::{ChatKey, FencingToken, ModelId, StartNumber};
use serde::{Deserialize, Serialize};

/// A target's load. Lags behind the truth.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start number of the target's process.
    pub start: StartNumber,
    /// Requests running.
    pub running: u32,
    /// Requests queued inside the target.
    pub waiting: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Models it serves; empty for a desk runner.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Newest fencing number it has seen, if it checks them.
    #[serde(default)]
    pub fencing: Option<FencingToken>,
}

/// What happened to a chat's context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// Now held.
    Stored,
    /// No longer held.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The chat, as hashed by the engine from `X-Chat-Key`.
    pub chat: ChatKey,
    /// What happened.
    pub kind: CacheEventKind,
}

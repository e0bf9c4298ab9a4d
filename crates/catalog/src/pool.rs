//! Pools of targets.

use briarshift_units::{PoolId, RequestRate, Span};
use serde::{Deserialize, Serialize};

/// A pool: targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Largest number of connections to one target from all VMs together.
    pub max_connections: u32,
    /// Resources of each target, if the targets are model engines.
    pub engine: Option<Engine>,
    /// How slowly its targets start, if they do.
    pub slow_start: Option<SlowStart>,
}

/// What a target tolerates while it is cold: after its start, and whenever it says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long a target is cold after its start.
    pub time: Span,
    /// Requests that a cold target tolerates from all VMs together.
    pub rate: RequestRate,
}

/// The resources of each engine of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub memory_tokens: u64,
}

//! Pools of targets.

use briarshift_units::PoolId;
use serde::{Deserialize, Serialize};

/// Targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// Connections that one target bears from all VMs together.
    pub max_connections: u32,
    /// Set where its targets are model engines.
    pub engine: Option<Engine>,
}

/// What every engine of a pool has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub memory_tokens: u64,
}

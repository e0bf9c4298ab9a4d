//! What client accounts demand of pools that are short of room.
//!
//! VMs tell each other of the accounts with the largest demand, in heartbeats and load
//! reports, only while they see a pool as short. The demands of a message replace those of
//! the previous one of its sender.

use briarshift_units::{AccountId, PoolId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a pool by a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolHash(pub u32);

impl PoolHash {
    /// Returns the hash of a pool's id.
    pub fn of(pool: &PoolId) -> Self {
        Self(xxh3_64(pool.as_str().as_bytes()) as u32)
    }
}

/// Identifies a client account by a hash of its id. Two accounts with the same hash share
/// one share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountHash(pub u32);

impl AccountHash {
    /// Stands for all accounts that are not listed.
    pub const OTHERS: Self = Self(0);

    /// Returns the hash of an account's id, or that of requests without an account.
    pub fn of(account: Option<&AccountId>) -> Self {
        let id = account.map_or("", |account| account.as_str());
        Self((xxh3_64(id.as_bytes()) as u32).max(1))
    }
}

/// The demand of one account on one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The pool.
    pub pool: PoolHash,
    /// The account.
    pub account: AccountHash,
    /// Slots that its requests would take if all were served, in thousandths.
    pub slots: u32,
}

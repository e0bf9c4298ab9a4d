//! The sum of the loads that all live peers have at targets.
//!
//! The sums are updated with each heartbeat. A VM of a large fleet receives a
//! hundred heartbeats per second, and adding up all peers' loads after each one
//! would cost time quadratic in the size of the fleet.

use std::collections::HashMap;

use briarshift_wire::heartbeat::{Load, TargetHash};

/// Sums of loads by target.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    sums: HashMap<TargetHash, Sum>,
}

/// The sums wrap around on overflow, so that removing what was added always
/// restores the earlier value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sum {
    requests: u64,
    backlog: u64,
    memory: u64,
}

impl Loads {
    /// Returns the sums of one set of loads.
    pub(super) fn of(loads: &[Load]) -> Self {
        let mut sums = Self::default();
        sums.add(loads);
        sums
    }

    /// Returns the peers' total load at a target.
    pub fn at(&self, target: TargetHash) -> Load {
        let sum = self.sums.get(&target).copied().unwrap_or_default();
        let requests = u32::try_from(sum.requests).unwrap_or(u32::MAX);
        Load { target, requests, backlog: sum.backlog, memory: sum.memory }
    }

    /// Returns the loads of all targets that have any.
    pub(super) fn to_vec(&self) -> Vec<Load> {
        let mut loads: Vec<_> = self.sums.keys().map(|&target| self.at(target)).collect();
        loads.sort_by_key(|load| load.target);
        loads
    }

    /// Subtracts loads that may not have been added in full.
    pub(super) fn subtract(&mut self, loads: &[Load]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.target) else { continue };
            sum.requests = sum.requests.saturating_sub(u64::from(load.requests));
            sum.backlog = sum.backlog.saturating_sub(load.backlog);
            sum.memory = sum.memory.saturating_sub(load.memory);
        }
    }

    /// Adds a peer's loads.
    pub(super) fn add(&mut self, loads: &[Load]) {
        for load in loads {
            let sum = self.sums.entry(load.target).or_default();
            sum.requests = sum.requests.wrapping_add(u64::from(load.requests));
            sum.backlog = sum.backlog.wrapping_add(load.backlog);
            sum.memory = sum.memory.wrapping_add(load.memory);
        }
    }

    /// Removes a peer's loads that were added before.
    pub(super) fn remove(&mut self, loads: &[Load]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.target) else { continue };
            sum.requests = sum.requests.wrapping_sub(u64::from(load.requests));
            sum.backlog = sum.backlog.wrapping_sub(load.backlog);
            sum.memory = sum.memory.wrapping_sub(load.memory);
            if *sum == Sum::default() {
                self.sums.remove(&load.target);
            }
        }
    }
}

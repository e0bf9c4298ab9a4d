//! What all peers that are heard have at targets, together.
//!
//! Kept beat by beat: a VM of a large fleet hears a hundred beats a second, and
//! adding up what all peers have after each of them would grow with the square
//! of the fleet.

use std::collections::HashMap;

use briarshift_wire::heartbeat::{Load, TargetHash};

/// Sums of loads, by target.
#[derive(Debug, Default)]
pub struct Loads {
    sums: HashMap<TargetHash, Sum>,
}

/// Sums wrap, so that taking away what was added always leads back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sum {
    requests: u64,
    backlog: u64,
}

impl Loads {
    /// What peers have at a target.
    pub fn at(&self, target: TargetHash) -> Load {
        let sum = self.sums.get(&target).copied().unwrap_or_default();
        let requests = u32::try_from(sum.requests).unwrap_or(u32::MAX);
        Load { target, requests, backlog: sum.backlog }
    }

    /// A peer has this.
    pub(super) fn add(&mut self, loads: &[Load]) {
        for load in loads {
            let sum = self.sums.entry(load.target).or_default();
            sum.requests = sum.requests.wrapping_add(u64::from(load.requests));
            sum.backlog = sum.backlog.wrapping_add(load.backlog);
        }
    }

    /// A peer has what was added for it no longer.
    pub(super) fn remove(&mut self, loads: &[Load]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.target) else { continue };
            sum.requests = sum.requests.wrapping_sub(u64::from(load.requests));
            sum.backlog = sum.backlog.wrapping_sub(load.backlog);
            if *sum == Sum::default() {
                self.sums.remove(&load.target);
            }
        }
    }
}

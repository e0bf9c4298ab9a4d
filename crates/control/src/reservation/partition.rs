//! Partitions pools into slices, and ranks the VMs that admit for each.
//!
//! A pool of today's size is one slice, so that one VM knows its exact load and
//! the exact mean over its targets. A larger pool is partitioned by a hash of
//! the target's id into a number of parts that is a power of two. A target that
//! joins or leaves then moves no other target to another slice until the pool
//! has doubled.

use std::borrow::Cow;
use std::collections::BTreeMap;

use briarshift_routing::rank;
use briarshift_units::{ChatKey, Moment, PoolId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Requirements, Slice};

use super::View;
use crate::target::Target;

/// Largest average number of targets in a slice.
const MAX_SLICE_TARGETS: usize = 48;
/// Time between two refreshes from the list of targets.
const REFRESH_INTERVAL: Span = Span::from_millis(100);
/// How long a listed target that doesn't take work counts in the mean, so that
/// the bound doesn't jump when the target joins.
const EXPECTED_FOR: Span = Span::from_secs(10);
/// A target with a report younger than this is up, whether or not it takes work.
const MAX_REPORT_AGE: Span = Span::from_secs(3);
/// Factor applied to the reported load of other slices. It is below 1 because
/// reports lag and the mean must not be overestimated.
const REPORTED_LOAD_FACTOR: f64 = 0.97;

/// Identifies a slice of a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The pool.
    pub pool: PoolId,
    /// The slice.
    pub slice: Slice,
}

impl Key {
    /// Returns the number of slices in the pool, which the slice's number
    /// encodes.
    fn slice_count(&self) -> usize {
        1 << self.slice.0.max(1).ilog2()
    }

    /// Returns true if a target of the pool belongs to this slice.
    pub fn contains(&self, target: &TargetId) -> bool {
        let slices = self.slice_count();
        slices + slice_index(target, slices) == self.slice.0 as usize
    }

    /// Returns the VM among `vms` that ranks highest for this slice.
    pub fn highest_ranked<'a>(&self, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
        let hash = rank::score(ChatKey(u64::from(self.slice.0)), self.pool.as_str());
        rank::best(ChatKey(hash), vms, |vm| vm.as_str())
    }
}

/// The targets of one slice.
#[derive(Debug, Default)]
struct SliceTargets {
    targets: Vec<TargetId>,
    /// Number of targets that take work.
    live: u32,
    /// Reported load of the targets that take work.
    load: f64,
}

#[derive(Debug, Default)]
struct Pool {
    slices: Vec<SliceTargets>,
    /// Number of targets that count in the mean although they take no work.
    expected: u32,
}

/// The slices of all pools, refreshed a few times a second.
#[derive(Debug, Default)]
pub struct Partitioning {
    pools: BTreeMap<PoolId, Pool>,
    /// Targets that take no work, and since when they neither take work nor
    /// report.
    unavailable: BTreeMap<TargetId, Moment>,
    refreshed_at: Option<Moment>,
}

impl Partitioning {
    /// Partitions the pools anew if the last refresh is old.
    pub fn refresh(&mut self, at: Moment, view: View<'_>) {
        if self.refreshed_at.is_some_and(|last| at.since(last) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(at);
        let mut pools: BTreeMap<&PoolId, Vec<&Target>> = BTreeMap::new();
        for target in view.targets.all() {
            pools.entry(&target.pool).or_default().push(target);
        }
        let unavailable = std::mem::take(&mut self.unavailable);
        for target in pools.values().flatten().filter(|target| !target.takes_work()) {
            // A target that still reports is up and may only be out of use on
            // this VM.
            let reports = target.report.is_some() && at.since(target.reported_at) < MAX_REPORT_AGE;
            let since = unavailable.get(&target.id).copied().filter(|_| !reports).unwrap_or(at);
            self.unavailable.insert(target.id.clone(), since);
        }
        let partitioned =
            pools.into_iter().map(|(id, targets)| (id.clone(), self.partition(&targets)));
        self.pools = partitioned.collect();
    }

    /// Returns true if a target that takes no work counts in the mean.
    pub fn is_expected(&self, target: &TargetId) -> bool {
        let at = self.refreshed_at.unwrap_or_default();
        self.unavailable.get(target).is_some_and(|&since| at.since(since) < EXPECTED_FOR)
    }

    fn partition(&self, targets: &[&Target]) -> Pool {
        let count = targets.len().div_ceil(MAX_SLICE_TARGETS).next_power_of_two();
        let mut pool = Pool::default();
        pool.slices.resize_with(count, SliceTargets::default);
        for target in targets {
            let slice = &mut pool.slices[slice_index(&target.id, count)];
            slice.targets.push(target.id.clone());
            if target.takes_work() {
                slice.live += 1;
                let report = target.report.as_ref();
                slice.load += report.map_or(0.0, |report| f64::from(report.running));
            } else if target.leaving.is_none() {
                pool.expected += u32::from(self.is_expected(&target.id));
            }
        }
        pool
    }

    /// Returns the slice to ask for a reservation: that of the target that
    /// holds the chat's context, else one chosen by the chat's hash and weighted
    /// by the number of live targets. Asking one slice keeps the cost
    /// independent of the pool's size.
    pub fn choose_slice(&self, view: View<'_>, requirements: &Requirements) -> Slice {
        let Some(pool) = self.pools.get(&requirements.pool).filter(|pool| 1 < pool.slices.len())
        else {
            return Slice(1);
        };
        let takes_work = |id: &&TargetId| view.targets.get(id).is_some_and(Target::takes_work);
        let context_target = requirements.cached_on.as_ref().map(|(id, _)| id).filter(takes_work);
        if let Some(id) = context_target.filter(|id| !requirements.avoid.contains(id)) {
            return self.slice_of(&requirements.pool, id);
        }
        let count = pool.slices.len();
        let weights = pool.slices.iter().map(|slice| slice.live);
        Slice((count + rank::best_weighted(requirements.chat, weights).unwrap_or(0)) as u32)
    }

    /// Returns the slice of a target in the current partitioning.
    pub fn slice_of(&self, pool: &PoolId, target: &TargetId) -> Slice {
        let slices = self.slice_count(pool);
        Slice((slices + slice_index(target, slices)) as u32)
    }

    /// Returns the targets of a slice, live or not. The slice may not exist in
    /// the current partitioning, because another VM may have partitioned the
    /// pool into a different number of slices.
    pub fn targets(&self, key: &Key) -> Cow<'_, [TargetId]> {
        if let Some((_, slice)) = self.slice_targets(key) {
            return Cow::Borrowed(&slice.targets);
        }
        let slices = self.pools.get(&key.pool).into_iter().flat_map(|pool| &pool.slices);
        let targets = slices.flat_map(|slice| &slice.targets);
        Cow::Owned(targets.filter(|target| key.contains(target)).cloned().collect())
    }

    /// Returns the reported load of the pool's other slices, and the number of
    /// targets that count in the mean in addition to this slice's live ones.
    pub fn other_load(&self, key: &Key) -> (f64, u32) {
        let Some((pool, own)) = self.slice_targets(key) else { return (0.0, 0) };
        let load: f64 = pool.slices.iter().map(|slice| slice.load).sum();
        let live: u32 = pool.slices.iter().map(|slice| slice.live).sum();
        ((load - own.load) * REPORTED_LOAD_FACTOR, live - own.live + pool.expected)
    }

    /// Returns the number of slices in a pool.
    pub fn slice_count(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(1, |pool| pool.slices.len())
    }

    fn slice_targets(&self, key: &Key) -> Option<(&Pool, &SliceTargets)> {
        let pool = self.pools.get(&key.pool)?;
        let index = (key.slice.0 as usize).checked_sub(pool.slices.len())?;
        Some((pool, pool.slices.get(index)?))
    }
}

/// Returns the index of a target's slice among `count` slices. `count` is a power
/// of two.
fn slice_index(target: &TargetId, count: usize) -> usize {
    rank::score(ChatKey(0), target.as_str()) as usize & (count - 1)
}

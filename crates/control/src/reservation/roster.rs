//! Pools cut into slices, and who admits for each.
//!
//! A pool of today's size is one slice, so its load and its mean are known
//! exactly in one place. A larger pool is cut by a hash of the target's id
//! into a power of two of parts, so that a target that joins or leaves moves
//! no other from one slice to another until the pool has doubled.

use std::borrow::Cow;
use std::collections::BTreeMap;

use briarshift_routing::rank;
use briarshift_units::{ChatKey, Moment, PoolId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Requirements, Slice};

use super::View;
use crate::target::Target;

/// Most targets of a slice, on average.
const SLICE_MAX: usize = 48;
/// Time between two looks at the list of targets.
const INTERVAL: Span = Span::from_millis(100);
/// How long a listed target that takes no work yet, or no more, still counts
/// for the mean: whoever places must not be surprised when it joins.
const EXPECTED: Span = Span::from_secs(10);
/// A target whose last report is younger is up, whether it takes work or not.
const REPORTING: Span = Span::from_secs(3);
/// What the load of other slices is taken for, as a share of what is
/// reported: reports lag.
const REPORTED_SHARE: f64 = 0.97;

/// A slice of a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The pool.
    pub pool: PoolId,
    /// The part.
    pub slice: Slice,
}

impl Key {
    /// Into how many slices the pool is cut, by the slice's number.
    fn parts(&self) -> usize {
        1 << self.slice.0.max(1).ilog2()
    }

    /// Whether a target of the pool belongs to this slice.
    pub fn contains(&self, target: &TargetId) -> bool {
        let parts = self.parts();
        parts + index(target, parts) == self.slice.0 as usize
    }

    /// The VM among `vms` that admits for this slice.
    pub fn first<'a>(&self, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
        let hash = rank::score(ChatKey(u64::from(self.slice.0)), self.pool.as_str());
        rank::best(ChatKey(hash), vms, |vm| vm.as_str())
    }
}

#[derive(Debug, Default)]
struct Part {
    targets: Vec<TargetId>,
    live: u32,
    load: f64,
}

#[derive(Debug, Default)]
struct Pool {
    parts: Vec<Part>,
    expected: u32,
}

/// The cut of all pools, refreshed a few times a second.
#[derive(Debug, Default)]
pub struct Roster {
    pools: BTreeMap<PoolId, Pool>,
    absent: BTreeMap<TargetId, Moment>,
    at: Option<Moment>,
}

impl Roster {
    /// Looks at the targets again if the last look is old.
    pub fn refresh(&mut self, at: Moment, view: View<'_>) {
        if self.at.is_some_and(|last| at.since(last) < INTERVAL) {
            return;
        }
        self.at = Some(at);
        let mut pools: BTreeMap<&PoolId, Vec<&Target>> = BTreeMap::new();
        for target in view.targets.all() {
            pools.entry(&target.pool).or_default().push(target);
        }
        let absent = std::mem::take(&mut self.absent);
        for target in pools.values().flatten().filter(|target| !target.takes_work()) {
            // One that still reports is up: it may only be kept out of use here.
            let reports = target.report.is_some() && at.since(target.reported_at) < REPORTING;
            let since = absent.get(&target.id).copied().filter(|_| !reports).unwrap_or(at);
            self.absent.insert(target.id.clone(), since);
        }
        let cut = pools.into_iter().map(|(id, targets)| (id.clone(), self.cut(&targets)));
        self.pools = cut.collect();
    }

    /// Whether a target that takes no work counts for the mean.
    pub fn is_expected(&self, target: &TargetId) -> bool {
        let at = self.at.unwrap_or_default();
        self.absent.get(target).is_some_and(|&since| at.since(since) < EXPECTED)
    }

    fn cut(&self, targets: &[&Target]) -> Pool {
        let count = targets.len().div_ceil(SLICE_MAX).next_power_of_two();
        let mut pool = Pool::default();
        pool.parts.resize_with(count, Part::default);
        for target in targets {
            let part = &mut pool.parts[index(&target.id, count)];
            part.targets.push(target.id.clone());
            if target.takes_work() {
                part.live += 1;
                let report = target.report.as_ref();
                part.load += report.map_or(0.0, |report| f64::from(report.running));
            } else if target.leaving.is_none() {
                pool.expected += u32::from(self.is_expected(&target.id));
            }
        }
        pool
    }

    /// The slice to ask for a place: that of the target that holds the
    /// context, else one by the chat, weighted by its live targets, so that
    /// the cost does not grow with the pool.
    pub fn slice(&self, view: View<'_>, ask: &Requirements) -> Slice {
        let Some(pool) = self.pools.get(&ask.pool).filter(|pool| 1 < pool.parts.len()) else {
            return Slice(1);
        };
        let takes_work = |id: &&TargetId| view.targets.get(id).is_some_and(Target::takes_work);
        let held = ask.cached_on.as_ref().map(|(id, _)| id).filter(takes_work);
        if let Some(id) = held.filter(|id| !ask.avoid.contains(id)) {
            return self.slice_of(&ask.pool, id);
        }
        let count = pool.parts.len();
        let weights = pool.parts.iter().map(|part| part.live);
        Slice((count + rank::best_weighted(ask.chat, weights).unwrap_or(0)) as u32)
    }

    /// The slice of a target, as the pool is cut now.
    pub fn slice_of(&self, pool: &PoolId, target: &TargetId) -> Slice {
        let parts = self.parts(pool);
        Slice((parts + index(target, parts)) as u32)
    }

    /// Targets of a slice, live or not. A VM that sees the pool cut otherwise
    /// may ask for a slice that is none here.
    pub fn targets(&self, key: &Key) -> Cow<'_, [TargetId]> {
        if let Some((_, part)) = self.part(key) {
            return Cow::Borrowed(&part.targets);
        }
        let parts = self.pools.get(&key.pool).into_iter().flat_map(|pool| &pool.parts);
        let targets = parts.flat_map(|part| &part.targets);
        Cow::Owned(targets.filter(|target| key.contains(target)).cloned().collect())
    }

    /// Reported load of the pool's other slices, and the targets that count
    /// for the mean beside this slice's live ones.
    pub fn others(&self, key: &Key) -> (f64, u32) {
        let Some((pool, own)) = self.part(key) else { return (0.0, 0) };
        let load: f64 = pool.parts.iter().map(|part| part.load).sum();
        let live: u32 = pool.parts.iter().map(|part| part.live).sum();
        ((load - own.load) * REPORTED_SHARE, live - own.live + pool.expected)
    }

    /// Into how many slices the pool is cut.
    pub fn parts(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(1, |pool| pool.parts.len())
    }

    fn part(&self, key: &Key) -> Option<(&Pool, &Part)> {
        let pool = self.pools.get(&key.pool)?;
        let index = (key.slice.0 as usize).checked_sub(pool.parts.len())?;
        Some((pool, pool.parts.get(index)?))
    }
}

/// The part of a target among `count`, a power of two.
fn index(target: &TargetId, count: usize) -> usize {
    rank::score(ChatKey(0), target.as_str()) as usize & (count - 1)
}

//! The sum of the demands of client accounts by way of all live peers.
//!
//! Like the loads, the sums are updated with each message of a peer, whose demands replace
//! its previous ones.

use std::collections::BTreeMap;

use briarshift_wire::demand::{AccountHash, Demand, PoolHash};

/// Sums of demands by pool and account.
#[derive(Debug, Clone, Default)]
pub struct Demands {
    /// In thousandths of a slot. The sums wrap around on overflow, so that removing what
    /// was added always restores the earlier value.
    sums: BTreeMap<(PoolHash, AccountHash), u64>,
}

impl Demands {
    /// Returns the sums of one set of demands.
    pub(super) fn of(demands: &[Demand]) -> Self {
        let mut sums = Self::default();
        sums.add(demands);
        sums
    }

    /// Returns the demands on a pool by account, in slots. Empty if no VM sees it as short
    /// of room.
    pub fn of_pool(&self, pool: PoolHash) -> impl Iterator<Item = (AccountHash, f64)> {
        let all = (pool, AccountHash(0))..=(pool, AccountHash(u32::MAX));
        self.sums.range(all).map(|((_, account), sum)| (*account, *sum as f64 / 1e3))
    }

    /// Returns an account's demand on a pool, in slots.
    pub fn at(&self, pool: PoolHash, account: AccountHash) -> f64 {
        self.sums.get(&(pool, account)).map_or(0.0, |sum| *sum as f64 / 1e3)
    }

    /// Returns all demands.
    pub(super) fn to_vec(&self) -> Vec<Demand> {
        let demand = |(&(pool, account), &sum): (&(PoolHash, AccountHash), &u64)| {
            let slots = u32::try_from(sum).unwrap_or(u32::MAX);
            Demand { pool, account, slots }
        };
        self.sums.iter().map(demand).collect()
    }

    /// Returns the largest demands, and the sum of the others of each pool.
    pub(super) fn largest(&self, limit: usize) -> Vec<Demand> {
        largest(self.to_vec(), limit)
    }

    /// Subtracts demands that may not have been added in full.
    pub(super) fn subtract(&mut self, demands: &[Demand]) {
        for demand in demands {
            if let Some(sum) = self.sums.get_mut(&(demand.pool, demand.account)) {
                *sum = sum.saturating_sub(u64::from(demand.slots));
            }
        }
    }

    /// Adds a peer's demands.
    pub(super) fn add(&mut self, demands: &[Demand]) {
        for demand in demands {
            let sum = self.sums.entry((demand.pool, demand.account)).or_default();
            *sum = sum.wrapping_add(u64::from(demand.slots));
        }
    }

    /// Removes a peer's demands that were added before.
    pub(super) fn remove(&mut self, demands: &[Demand]) {
        for demand in demands {
            let key = (demand.pool, demand.account);
            let Some(sum) = self.sums.get_mut(&key) else { continue };
            *sum = sum.wrapping_sub(u64::from(demand.slots));
            if *sum == 0 {
                self.sums.remove(&key);
            }
        }
    }
}

/// Returns the largest of some demands, and the sum of the others of each pool under
/// [`AccountHash::OTHERS`].
pub(crate) fn largest(mut demands: Vec<Demand>, limit: usize) -> Vec<Demand> {
    demands.retain(|it| 0 < it.slots);
    if demands.len() <= limit {
        return demands;
    }
    demands.sort_by_key(|it| (it.account == AccountHash::OTHERS, std::cmp::Reverse(it.slots)));
    let mut others: BTreeMap<PoolHash, u32> = BTreeMap::new();
    for demand in demands.split_off(limit) {
        let sum = others.entry(demand.pool).or_default();
        *sum = sum.saturating_add(demand.slots);
    }
    // A sum of others may already be among the largest.
    let (account, listed) = (AccountHash::OTHERS, &mut demands);
    for (pool, slots) in others {
        match listed.iter_mut().find(|it| it.pool == pool && it.account == account) {
            Some(demand) => demand.slots = demand.slots.saturating_add(slots),
            None => listed.push(Demand { pool, account, slots }),
        }
    }
    demands
}

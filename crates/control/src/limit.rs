//! Limits of client accounts.
//!
//! A limit holds for the fleet. The VM that admits for a slice sees every
//! request of an account for it, so nothing is divided among entry VMs; an
//! account whose pool is cut into slices has its limit divided by the share of
//! its requests that each slice can expect, which is equal for all.

use std::collections::BTreeMap;

use briarshift_routing::bucket::{Bucket, Rate};
use briarshift_settings::Document;
use briarshift_units::{AccountId, Moment, Span};

/// Time for which an account's limit is remembered before the document is
/// read again.
const REFRESH: Span = Span::from_secs(1);

#[derive(Debug)]
struct Limit {
    bucket: Bucket,
    rate: Rate,
    read_at: Moment,
}

/// Buckets of the accounts seen.
#[derive(Debug, Default)]
pub struct State {
    limits: BTreeMap<AccountId, Limit>,
}

impl State {
    /// Takes one request's worth from an account's bucket. An account that
    /// the document does not name has no limit here: it was authenticated by
    /// a VM with a newer document.
    ///
    /// # Errors
    ///
    /// The time after which the next request can pass.
    pub fn take(
        &mut self,
        at: Moment,
        document: &Document,
        account: &AccountId,
        parts: usize,
    ) -> Result<(), Span> {
        if self.limits.get(account).is_none_or(|limit| REFRESH <= at.since(limit.read_at)) {
            let Some(row) = document.accounts.iter().find(|row| &row.id == account) else {
                return Ok(());
            };
            let share = parts as f64;
            let burst = (f64::from(row.rate.burst) / share).max(1.0);
            let rate = Rate { per_second: row.rate.per_second / share, burst };
            let bucket = Bucket::new(rate, at);
            let limit = Limit { bucket, rate, read_at: at };
            let limit = self.limits.entry(account.clone()).or_insert(limit);
            limit.rate = rate;
            limit.read_at = at;
        }
        let Some(limit) = self.limits.get_mut(account) else { return Ok(()) };
        limit.bucket.take(limit.rate, at)
    }
}

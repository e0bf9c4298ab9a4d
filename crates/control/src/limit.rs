//! Rate limits of client accounts.
//!
//! A limit applies to the whole fleet. The VM that admits for a slice sees every
//! request of an account for this slice, so limits aren't divided among the entry
//! VMs. If a pool is partitioned into several slices, the limit is divided
//! equally among them, because each slice can expect the same share of the
//! account's requests.

use std::collections::BTreeMap;

use briarshift_routing::bucket::{Bucket, Rate};
use briarshift_settings::Document;
use briarshift_units::{AccountId, Moment, Span};

/// Time after which an account's limit is read from the document again.
const REFRESH_INTERVAL: Span = Span::from_secs(1);

/// The limit of one account.
#[derive(Debug)]
struct Limit {
    bucket: Bucket,
    rate: Rate,
    read_at: Moment,
}

/// Token buckets of the accounts that have sent requests.
#[derive(Debug, Default)]
pub struct State {
    limits: BTreeMap<AccountId, Limit>,
}

impl State {
    /// Takes one request from an account's bucket. An account that the document
    /// does not contain has no limit here, because a VM with a newer document
    /// has authenticated it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next request is allowed.
    pub fn take(
        &mut self,
        at: Moment,
        document: &Document,
        account: &AccountId,
        slices: usize,
    ) -> Result<(), Span> {
        if self.limits.get(account).is_none_or(|limit| REFRESH_INTERVAL <= at.since(limit.read_at))
        {
            let Some(row) = document.accounts.iter().find(|row| &row.id == account) else {
                return Ok(());
            };
            let slices = slices as f64;
            let burst = (f64::from(row.rate.burst) / slices).max(1.0);
            let rate = Rate { per_second: row.rate.per_second / slices, burst };
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

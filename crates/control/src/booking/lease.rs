//! Retention of responses by leases that are never renewed.
//!
//! Responses are written under a lease that lasts a quarter longer than the
//! retention time, and this VM uses each lease only for that quarter. The store
//! deletes the responses when the lease ends. This costs each VM that receives
//! bookings one call per quarter of the retention time, regardless of the number
//! of bookings. The alternative, a VM that lists and deletes the rows of a key
//! range, needs one call per booking and twice the writes.

use std::collections::BTreeMap;

use briarshift_store::{Error, LeaseId, Reply};
use briarshift_units::{Moment, Span};

/// A lease is used for new responses during the retention time divided by this.
const LEASE_FRACTION: u64 = 4;

/// A lease in use.
#[derive(Debug, Clone, Copy)]
struct Current {
    lease: LeaseId,
    requested_at: Moment,
}

/// The lease in use for each retention time.
#[derive(Debug, Default)]
pub(super) struct State {
    current: BTreeMap<Span, Current>,
    /// When the lease for a retention time was requested, while no reply has
    /// arrived.
    pending_grants: BTreeMap<Span, Moment>,
}

/// Returns the time to live of a lease for a retention time.
pub(super) fn ttl(retention: Span) -> Span {
    retention + Span(retention.0 / LEASE_FRACTION)
}

impl State {
    /// Returns a lease that lasts for at least the retention time from now.
    pub(super) fn get(&self, at: Moment, retention: Span) -> Option<LeaseId> {
        let current = self.current.get(&retention)?;
        let age = at.since(current.requested_at);
        (age <= Span(retention.0 / LEASE_FRACTION)).then_some(current.lease)
    }

    /// Returns true if the caller should request a lease, and records the
    /// request. Returns false if a request made less than `limit` ago is
    /// pending.
    pub(super) fn start_grant(&mut self, at: Moment, retention: Span, limit: Span) -> bool {
        let is_idle =
            self.pending_grants.get(&retention).is_none_or(|since| limit <= at.since(*since));
        if is_idle {
            self.pending_grants.insert(retention, at);
        }
        is_idle
    }

    /// Handles the reply to a request for a lease or to a write under a lease.
    /// The age of a lease counts from its request, which is never later than its
    /// start in the store.
    pub(super) fn handle_reply(&mut self, retention: Span, result: &Result<Reply, Error>) {
        match result {
            Ok(Reply::Leased(lease)) => {
                if let Some(requested_at) = self.pending_grants.remove(&retention) {
                    self.current.insert(retention, Current { lease: lease.id, requested_at });
                }
            }
            Err(Error::LeaseEnded) => {
                self.current.remove(&retention);
            }
            _ => {}
        }
    }
}

//! How often the store is read, and how old data may get, as the operators'
//! bounds allow.
//!
//! Data passes from the store to a delegate and from there to the other VMs of
//! its data centre. If the bounds leave time for one more step, two VMs of the
//! whole fleet, the readers, read the store, and delegates query them; the number
//! of calls then no longer grows with the number of data centres. All intervals
//! of the way add up to less than the age at which a VM reads the store itself,
//! and that age leaves time for the call before the bound.

use briarshift_units::Span;

use crate::limit::{
    DELEGATE_INTERVAL, DELEGATE_TIMEOUT, MAX_DELEGATE_AGE, MIN_SYNC_INTERVAL, PASSING_TIME,
    STORE_FALLBACK_AGE, STORE_READ_TIME,
};

/// Intervals and ages for one set of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pace {
    /// Interval between two reads of the store's changes.
    pub read_interval: Span,
    /// Age of a VM's own data at which it reads the store regardless of its
    /// peers.
    pub fallback_age: Span,
    /// Whether delegates query readers instead of the store.
    pub has_readers: bool,
}

impl Pace {
    /// Returns the pace at which changes are known within `change_bound`, and a
    /// configuration is confirmed before it is older than `key_age`.
    pub fn new(change_bound: Span, key_age: Span) -> Self {
        let read_interval = Span(change_bound.0 * 2 / 5).min(Span(key_age.0 / 3));
        let read_interval = read_interval.max(MIN_SYNC_INTERVAL);
        let fallback_age =
            (change_bound - STORE_READ_TIME).min(key_age - Span(STORE_READ_TIME.0 * 2));
        let fallback_age = fallback_age.max(STORE_FALLBACK_AGE);
        let passing = read_interval + DELEGATE_INTERVAL + DELEGATE_INTERVAL + DELEGATE_TIMEOUT;
        Self { read_interval, fallback_age, has_readers: passing <= fallback_age }
    }

    /// Returns the maximum age of the data of a VM that reads the store.
    pub fn max_reader_age(&self) -> Span {
        MAX_DELEGATE_AGE.max(self.read_interval + PASSING_TIME)
    }

    /// Returns the maximum age of a delegate's data.
    pub fn max_delegate_age(&self) -> Span {
        let passing = if self.has_readers { DELEGATE_INTERVAL + PASSING_TIME } else { Span::ZERO };
        self.max_reader_age() + passing
    }
}

//! Flap damping for VMs and targets.
//!
//! A VM or target that comes back is used at once the first time. If it soon
//! comes back again, it is suppressed, each time for twice as long. Each change
//! moves chats and responsibilities to other VMs and targets, which costs more
//! than not using it for a while.

use briarshift_units::{Moment, Span};

/// Time after the last return, or after the end of its suppression, from which
/// earlier returns no longer count.
const RESET_AFTER: Span = Span::from_secs(60);
/// Length of the suppression after the second return.
const MIN_SUPPRESSION: Span = Span::from_secs(1);
/// Longest suppression.
const MAX_SUPPRESSION: Span = Span::from_secs(30);
/// Largest number of returns counted, which reaches the longest suppression.
const MAX_LEVEL: u32 = 6;

/// Suppresses something that goes away and comes back repeatedly.
///
/// # Examples
///
/// ```
/// use briarshift_control::Damper;
/// use briarshift_units::{Moment, Span};
/// let mut damper = Damper::default();
/// damper.record_return(Moment(0));
/// assert!(!damper.is_suppressed(Moment(0)));
/// damper.record_return(Moment(1));
/// assert!(damper.is_suppressed(Moment(1)));
/// assert!(!damper.is_suppressed(Moment(1) + Span::from_secs(1)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Damper {
    level: u32,
    returned_at: Moment,
    until: Moment,
}

impl Damper {
    /// Records that the VM or target came back.
    pub fn record_return(&mut self, at: Moment) {
        if RESET_AFTER <= at.since(self.returned_at.max(self.until)) {
            self.level = 0;
        }
        if 0 < self.level {
            let doubled = Span(MIN_SUPPRESSION.0 << (self.level - 1).min(MAX_LEVEL));
            self.until = at + doubled.min(MAX_SUPPRESSION);
        }
        self.level = (self.level + 1).min(MAX_LEVEL);
        self.returned_at = at;
    }

    /// Returns true if the VM or target is suppressed at `at`.
    pub fn is_suppressed(&self, at: Moment) -> bool {
        at < self.until
    }
}

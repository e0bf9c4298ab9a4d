//! Damping of what comes and goes.
//!
//! A VM or target that returns is used at once the first time. If it returns
//! again soon it is held back, each time twice as long: every change moves
//! chats and duties, which costs more than doing without it for a while.

use briarshift_units::{Moment, Span};

/// Time without a return after which the past is forgotten.
const QUIET: Span = Span::from_secs(60);
/// Hold at the second return.
const FIRST_HOLD: Span = Span::from_secs(1);
/// Longest hold.
const MAX_HOLD: Span = Span::from_secs(30);
/// Doublings that reach the longest hold.
const MAX_LEVEL: u32 = 6;

/// Counts returns.
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
    /// It came back.
    pub fn record_return(&mut self, at: Moment) {
        if QUIET <= at.since(self.returned_at.max(self.until)) {
            self.level = 0;
        }
        if 0 < self.level {
            let doubled = Span(FIRST_HOLD.0 << (self.level - 1).min(MAX_LEVEL));
            self.until = at + doubled.min(MAX_HOLD);
        }
        self.level = (self.level + 1).min(MAX_LEVEL);
        self.returned_at = at;
    }

    /// Whether it is held back.
    pub fn is_suppressed(&self, at: Moment) -> bool {
        at < self.until
    }
}

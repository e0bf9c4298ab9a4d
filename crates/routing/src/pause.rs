//! Pauses that targets ask for when they turn requests away.
//!
//! The load pattern that it answers: a part of a pool turns requests away in waves and
//! names a time for which it wants none, to each VM by itself. Nothing is sent until the
//! time is over. If all VMs then returned at once, the target would turn most of them
//! away again. So each VM adds a random part to its pause, and begins with one request,
//! doubling with each answer.

use briarshift_units::{Moment, Span};

/// Part of the pause by which its end is spread.
const SPREAD_DIVISOR: u64 = 8;
/// Spread of short pauses: a few round trips.
const MIN_SPREAD: Span = Span::from_millis(50);
/// Number of requests at a target from which its recovery is complete.
const MAX_RECOVERY: u32 = 64;

/// A pause, and the recovery after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    until: Moment,
    /// Requests that the target may have once the pause is over.
    allowed: u32,
}

impl Pause {
    /// Returns the pause of a target that wants nothing for `wait`. `entropy` is a random
    /// number.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::pause::Pause;
    /// use briarshift_units::{Moment, Span};
    /// let pause = Pause::new(Span::from_secs(2), Moment(0), 0);
    /// assert!(!pause.permits(0, Moment(1_999_999)));
    /// assert!(pause.permits(0, Moment(2_000_000)));
    /// assert!(!pause.permits(1, Moment(2_000_000)));
    /// ```
    pub fn new(wait: Span, now: Moment, entropy: u64) -> Self {
        let spread = Span(wait.0 / SPREAD_DIVISOR).max(MIN_SPREAD);
        Self { until: now + wait + Span(entropy % spread.0), allowed: 1 }
    }

    /// Returns when the pause ends.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Extends the pause by another one that began meanwhile.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::pause::Pause;
    /// use briarshift_units::{Moment, Span};
    /// let mut pause = Pause::new(Span::from_secs(2), Moment(0), 0);
    /// pause.extend(Pause::new(Span::from_secs(1), Moment(0), 0));
    /// assert_eq!(pause.until(), Moment(2_000_000));
    /// ```
    pub fn extend(&mut self, other: Self) {
        *self = Self { until: self.until.max(other.until), allowed: 1 };
    }

    /// Returns true if a target that has this many requests of this VM may get another
    /// one.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::pause::Pause;
    /// use briarshift_units::{Moment, Span};
    /// let pause = Pause::new(Span::from_secs(1), Moment(0), 0);
    /// assert!(!pause.permits(0, Moment(0)));
    /// ```
    pub fn permits(&self, requests: u32, now: Moment) -> bool {
        self.until <= now && requests < self.allowed
    }

    /// Records that the target has answered after the pause. Returns true if its recovery
    /// is complete.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::pause::Pause;
    /// use briarshift_units::{Moment, Span};
    /// let mut pause = Pause::new(Span::from_secs(1), Moment(0), 0);
    /// let after = Moment(1_000_000);
    /// assert!(!pause.record_answer(after));
    /// assert!(pause.permits(1, after));
    /// ```
    pub fn record_answer(&mut self, now: Moment) -> bool {
        if self.until <= now {
            self.allowed *= 2;
        }
        MAX_RECOVERY <= self.allowed
    }
}

//! The fence for keys that operators take away.
//!
//! Load pattern: a VM that is cut off from the store goes on receiving
//! requests with keys that may have been revoked meanwhile. It may serve them
//! only while the age of its configuration is known and below the bound.

use briarshift_units::{Moment, Span};

/// Share of the bound on revoked keys for which a configuration is relied on, at
/// least: the pauses of reading must fit into it.
const SHARE: f64 = 0.64;
/// What is left of that bound, where it is long: the operators' page lets a store
/// say nothing of changes for a second, and a request needs its time on a busy VM.
const REST: Span = Span::from_millis(1_400);

/// How long a configuration may be relied on after it was the newest, where a key
/// must be refused `revoke` after it was taken away.
///
/// # Examples
///
/// ```
/// use briarshift_routing::fence::max_age;
/// use briarshift_units::Span;
/// assert_eq!(max_age(Span::from_secs(5)), Span::from_millis(3_600));
/// assert_eq!(max_age(Span::from_secs(2)), Span::from_millis(1_280));
/// ```
pub fn max_age(revoke: Span) -> Span {
    let share = Span((revoke.0 as f64 * SHARE) as u64);
    share.max(Span(revoke.0.saturating_sub(REST.0)))
}

/// Tells until when the configuration in force may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    limit: Span,
    confirmed: Option<Moment>,
}

impl Fence {
    /// A fence that nothing has confirmed, which closes `limit` after each
    /// confirmation.
    pub fn new(limit: Span) -> Self {
        Self { limit, confirmed: None }
    }

    /// Changes the time after which it closes.
    pub fn set_max_age(&mut self, limit: Span) {
        self.limit = limit;
    }

    /// The configuration was the newest at `at`: the moment at which a call was
    /// sent whose answer shows so, not the moment of the answer.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// The last moment at which the configuration was the newest.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Until when it may be relied on; `None` if nothing has confirmed it.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::fence::Fence;
    /// use briarshift_units::{Moment, Span};
    /// let mut fence = Fence::new(Span::from_secs(3));
    /// assert!(!fence.is_fresh(Moment(0)));
    /// fence.confirm(Moment(5));
    /// fence.confirm(Moment(2));
    /// assert_eq!(fence.expires_at(), Some(Moment(3_000_005)));
    /// assert!(fence.is_fresh(Moment(3_000_004)));
    /// assert!(!fence.is_fresh(Moment(3_000_005)));
    /// ```
    pub fn expires_at(&self) -> Option<Moment> {
        self.confirmed.map(|at| at + self.limit)
    }

    /// Whether the configuration may be relied on now.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.expires_at().is_some_and(|until| now < until)
    }
}

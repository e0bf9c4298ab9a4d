//! Tells whether the configuration of a VM is fresh enough to serve requests.
//!
//! A VM that can't reach the store still receives requests, and operators may
//! have revoked the API keys of some of them in the meantime. The VM may serve
//! such requests only while it knows the age of its configuration and that age
//! is below a maximum.

use briarshift_units::{Moment, Span};

/// Minimum fraction of the revocation deadline for which a configuration stays
/// valid. The pauses between reads of the store must fit into this time.
const MIN_VALID_FRACTION: f64 = 0.64;
/// Time kept free at the end of a long revocation deadline. The operators' pages
/// allow the store to report no changes for one second, and a request takes
/// time on a busy VM.
const RESERVE: Span = Span::from_millis(1_400);

/// Returns the maximum age of a configuration that may be used, where a key must
/// be refused `revoke` after its revocation. The age counts from the last time
/// at which the configuration was known to be the newest.
///
/// # Examples
///
/// ```
/// use briarshift_routing::freshness::max_age;
/// use briarshift_units::Span;
/// assert_eq!(max_age(Span::from_secs(5)), Span::from_millis(3_600));
/// assert_eq!(max_age(Span::from_secs(2)), Span::from_millis(1_280));
/// ```
pub fn max_age(revoke: Span) -> Span {
    let fraction = Span((revoke.0 as f64 * MIN_VALID_FRACTION) as u64);
    fraction.max(Span(revoke.0.saturating_sub(RESERVE.0)))
}

/// Tracks until when the current configuration may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    max_age: Span,
    confirmed_at: Option<Moment>,
}

impl Freshness {
    /// Returns the freshness of a configuration that has not been confirmed yet.
    /// Each confirmation is valid for `max_age`.
    pub fn new(max_age: Span) -> Self {
        Self { max_age, confirmed_at: None }
    }

    /// Sets for how long a confirmation is valid.
    pub fn set_max_age(&mut self, max_age: Span) {
        self.max_age = max_age;
    }

    /// Records that the configuration was the newest at `at`. This must be the
    /// time at which the confirming call was sent, not that of its answer: the
    /// configuration may have changed between the two.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the last time at which the configuration was known to be the
    /// newest.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns the time until which the configuration may be used; `None` if it
    /// was never confirmed.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::freshness::Freshness;
    /// use briarshift_units::{Moment, Span};
    /// let mut freshness = Freshness::new(Span::from_secs(3));
    /// assert!(!freshness.is_fresh(Moment(0)));
    /// freshness.confirm(Moment(5));
    /// freshness.confirm(Moment(2));
    /// assert_eq!(freshness.expires_at(), Some(Moment(3_000_005)));
    /// assert!(freshness.is_fresh(Moment(3_000_004)));
    /// assert!(!freshness.is_fresh(Moment(3_000_005)));
    /// ```
    pub fn expires_at(&self) -> Option<Moment> {
        self.confirmed_at.map(|at| at + self.max_age)
    }

    /// Returns true if the configuration may be used now.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.expires_at().is_some_and(|expires_at| now < expires_at)
    }
}

//! The retry budget of a pool.
//!
//! Each arrival earns a share of a retry, and each retry spends a whole one.
//! Sends can therefore never exceed `1 + share` times the arrivals, however
//! many targets refuse, and an outage earns nothing: what was refused in it
//! cannot come back as a storm when it ends. (Weighed: a limit of tries for
//! each request alone; with half the targets refusing, three tries make 1.75
//! sends of each arrival, just when there is the least room for them.)

/// Most retries saved up.
const MAX_SAVED: f64 = 10.0;
/// Retries that a new budget has, so that the first requests after a start
/// may be retried.
const FIRST: f64 = 1.0;

/// Retries that a pool may make.
///
/// # Examples
///
/// ```
/// use briarshift_routing::retry::Budget;
/// let mut budget = Budget::default();
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// for _ in 0..10 {
///     budget.deposit(0.1);
/// }
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: FIRST }
    }
}

impl Budget {
    /// A first attempt was made: it earns `share` of a retry.
    pub fn deposit(&mut self, share: f64) {
        self.saved = (self.saved + share.max(0.0)).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        // Ten tenths are a little less than one.
        const ROUNDING: f64 = 1e-9;
        let enough = 1.0 - ROUNDING <= self.saved;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

//! The retry budget of a pool.
//!
//! Each first attempt deposits a fraction of a retry, and each retry withdraws a
//! whole one. The number of sends can therefore not exceed `1 + share` times the
//! number of requests (plus the saved retries), however many targets refuse.
//! Requests refused in an outage deposit nothing, so that they can't cause a
//! retry storm when the outage ends.
//!
//! A limit of attempts per request alone would not be enough: with half of the
//! targets refusing, a limit of three attempts leads to 1.75 sends per request,
//! just when there is the least capacity for them.

/// Maximum number of saved retries.
const MAX_BALANCE: f64 = 10.0;
/// Number of retries in a new budget, so that the first requests after a start
/// can be retried.
const INITIAL_BALANCE: f64 = 1.0;

/// The retry budget of one pool.
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
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl Budget {
    /// Records a first attempt, which deposits `share` of a retry.
    pub fn deposit(&mut self, share: f64) {
        self.balance = (self.balance + share.max(0.0)).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns false if the budget has none.
    pub fn withdraw(&mut self) -> bool {
        // In floating point, the sum of ten tenths is slightly less than one.
        const TOLERANCE: f64 = 1e-9;
        let enough = 1.0 - TOLERANCE <= self.balance;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}

//! The byte budget of control traffic.
//!
//! A token bucket that holds one second of the rate. Gossip leaves half of it
//! alone, so that a place message finds tokens at once; place messages may even
//! overdraw it by one burst. Documents have an account of their own: a document
//! may be far longer than the bucket, and if it had to wait for tokens a change
//! would reach the fleet late. Its bytes become a debt that half of the rate
//! pays back, so the mean stays within the budget while the other half goes on
//! carrying places and gossip.

use briarshift_units::{BytesPerSecond, Moment, Span};

use crate::Class;

/// Tokens are counted in millionths of a byte, so that no refill is rounded.
const SCALE: i64 = 1_000_000;
/// Debt at which no further document starts, in seconds of the rate.
const MAX_DEBT_SECS: i64 = 60;
/// Longest pause before the budget is asked again.
const MAX_WAIT: Span = Span::from_secs(1);

/// Whether a frame may leave now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may; its bytes are charged.
    Go,
    /// Not before this span has passed.
    Wait(Span),
}

/// The bucket.
///
/// # Examples
///
/// ```
/// use briarshift_peer::{Budget, Class, Verdict};
/// use briarshift_units::{BytesPerSecond, Moment};
/// let mut budget = Budget::new(BytesPerSecond(1_000), Moment(0));
/// assert_eq!(budget.take(Moment(0), Class::Gossip, 500), Verdict::Go);
/// assert!(matches!(budget.take(Moment(0), Class::Gossip, 100), Verdict::Wait(_)));
/// assert_eq!(budget.take(Moment(0), Class::Place, 100), Verdict::Go);
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    rate: i64,
    level: i64,
    debt: i64,
    refilled: Moment,
}

impl Budget {
    /// A full bucket at `now`.
    pub fn new(rate: BytesPerSecond, now: Moment) -> Self {
        let rate = i64::try_from(rate.0).unwrap_or(i64::MAX / SCALE).clamp(1, i64::MAX / SCALE);
        Self { rate, level: rate * SCALE, debt: 0, refilled: now }
    }

    /// Asks to send a frame of `bytes`, and charges them if it may go.
    pub fn take(&mut self, now: Moment, class: Class, bytes: usize) -> Verdict {
        self.refill(now);
        let cost = scaled(bytes);
        let burst = self.rate * SCALE;
        let missing = match class {
            Class::Place => 1 - burst - self.level,
            Class::Document => self.debt - burst.saturating_mul(MAX_DEBT_SECS),
            Class::Gossip => burst / 2 + cost.min(burst / 2) - self.level,
        };
        if 0 < missing {
            return Verdict::Wait(self.time_for(missing));
        }
        match class {
            Class::Place | Class::Gossip => self.level -= cost,
            Class::Document => self.debt = self.debt.saturating_add(cost),
        }
        Verdict::Go
    }

    /// Charges bytes that leave without being asked for, such as a handshake.
    pub fn charge(&mut self, now: Moment, bytes: usize) {
        self.refill(now);
        self.level = self.level.saturating_sub(scaled(bytes));
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = i64::try_from(now.since(self.refilled).0).unwrap_or(i64::MAX);
        let gained = self.rate.saturating_mul(elapsed);
        let paid = self.debt.min(gained / 2);
        self.debt -= paid;
        self.level = self.level.saturating_add(gained - paid).min(self.rate * SCALE);
        self.refilled = now;
    }

    fn time_for(&self, missing: i64) -> Span {
        let micros = missing / self.rate + 1;
        Span(u64::try_from(micros).unwrap_or(0)).min(MAX_WAIT)
    }
}

fn scaled(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SCALE)
}

//! The byte budget of control traffic.
//!
//! Two token buckets that together hold one second of the rate. A quarter is
//! for gossip alone: places may take all that is left of the rest and overdraw
//! it by one burst, and if they could take gossip's share too, a busy VM would
//! fall silent and be taken for dead. Gossip may also use what places leave
//! idle, down to three quarters of their bucket: a burst of news would else hold
//! up probes while tokens lie unused. Documents and handshakes have an account
//! of their own: a document may be far longer than the buckets, and if it had
//! to wait for tokens a change would reach the fleet late. Their bytes become a
//! debt that half of the rate pays back, out of the share of places, so the mean
//! stays within the budget while places and gossip go on. Frames that wait for
//! tokens leave as one ([`crate::Queue::next_batch`]), which saves them the overhead of
//! a datagram each. A place message waits a few milliseconds at most, tokens or
//! no tokens: held up longer, it would be taken for lost and asked for again,
//! which makes more messages. What goes beyond the budget that way is counted
//! ([`Budget::excess`]).

use briarshift_units::{BytesPerSecond, Moment, Span};

use crate::Class;

/// Tokens are counted in millionths of a byte, so that no refill is rounded.
const SCALE: i64 = 1_000_000;
/// Gossip's share of the rate: one part in so many.
const GOSSIP_DIVISOR: i64 = 4;
/// Part of the places' bucket that gossip leaves alone, in quarters.
const RESERVED_QUARTERS: i64 = 3;
/// Debt at which no further document starts, in seconds of the rate.
const MAX_DEBT_SECS: i64 = 60;
/// Longest wait of a place message: a caller waits for it, and the VM that
/// asked takes silence for loss.
const MAX_RESERVATION_WAIT: Span = Span::from_millis(5);
/// Longest pause before the budget is asked again.
const MAX_WAIT: Span = Span::from_secs(1);

/// Whether a frame may leave now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may; its bytes are charged.
    Send,
    /// Not before this span has passed.
    Wait(Span),
}

/// The bucket.
///
/// # Examples
///
/// ```
/// use briarshift_peer::{Budget, Class, Decision};
/// use briarshift_units::{BytesPerSecond, Moment, Span};
/// let mut budget = Budget::new(BytesPerSecond(1_000), Moment(0));
/// assert_eq!(budget.try_take(Moment(0), Class::Gossip, 250, Span::ZERO), Decision::Send);
/// assert_eq!(budget.try_take(Moment(0), Class::Gossip, 187, Span::ZERO), Decision::Send);
/// assert!(matches!(budget.try_take(Moment(0), Class::Gossip, 100, Span::ZERO), Decision::Wait(_)));
/// assert_eq!(budget.try_take(Moment(0), Class::Reservation, 100, Span::ZERO), Decision::Send);
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    rate: i64,
    places: i64,
    gossip: i64,
    debt: i64,
    excess: u64,
    refilled: Moment,
}

impl Budget {
    /// A full bucket at `now`.
    pub fn new(rate: BytesPerSecond, now: Moment) -> Self {
        let rate = i64::try_from(rate.0).unwrap_or(i64::MAX / SCALE).clamp(1, i64::MAX / SCALE);
        let gossip = rate * SCALE / GOSSIP_DIVISOR;
        Self { rate, places: rate * SCALE - gossip, gossip, debt: 0, excess: 0, refilled: now }
    }

    /// Asks to send a frame of `bytes` that has `waited` for tokens, and charges
    /// them if it may go.
    pub fn try_take(&mut self, now: Moment, class: Class, bytes: usize, waited: Span) -> Decision {
        self.refill(now);
        let cost = scaled(bytes);
        let second = self.rate * SCALE;
        if class == Class::Gossip && self.lend(cost) {
            return Decision::Send;
        }
        // A round longer than gossip's bucket takes the rest from places.
        let spill = (cost - second / GOSSIP_DIVISOR).max(0);
        let (missing, rate) = match class {
            Class::Reservation => {
                (1 - second - self.places, self.rate - self.rate / GOSSIP_DIVISOR)
            }
            Class::Document => (self.debt - second.saturating_mul(MAX_DEBT_SECS), self.rate),
            Class::Gossip if 0 < spill && self.places < spill => {
                (spill - self.places, self.rate - self.rate / GOSSIP_DIVISOR)
            }
            Class::Gossip => (cost - spill - self.gossip, self.rate / GOSSIP_DIVISOR),
        };
        let late = class == Class::Reservation && MAX_RESERVATION_WAIT <= waited;
        if 0 < missing && !late {
            let wait = time_for(missing, rate);
            let rest = MAX_RESERVATION_WAIT - waited;
            return Decision::Wait(if class == Class::Reservation { wait.min(rest) } else { wait });
        }
        if 0 < missing {
            self.excess = self.excess.saturating_add(bytes as u64);
            return Decision::Send;
        }
        match class {
            Class::Reservation => self.places -= cost,
            Class::Gossip => {
                self.gossip -= cost - spill;
                self.places -= spill;
            }
            Class::Document => self.debt = self.debt.saturating_add(cost),
        }
        Decision::Send
    }

    /// Bytes of place messages that went beyond the budget.
    pub fn excess(&self) -> u64 {
        self.excess
    }

    /// Charges bytes that leave without being asked for, such as a handshake.
    pub fn charge(&mut self, now: Moment, bytes: usize) {
        self.refill(now);
        self.debt = self.debt.saturating_add(scaled(bytes));
    }

    /// Lets gossip go by its own tokens and what places leave idle.
    fn lend(&mut self, cost: i64) -> bool {
        let full = self.rate * SCALE - self.rate * SCALE / GOSSIP_DIVISOR;
        let own = cost.min(self.gossip);
        let rest = self.places - (cost - own);
        let idle = full / 4 * RESERVED_QUARTERS <= rest;
        if idle {
            self.gossip -= own;
            self.places = rest;
        }
        idle
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = i64::try_from(now.since(self.refilled).0).unwrap_or(i64::MAX);
        let gained = self.rate.saturating_mul(elapsed);
        let paid = self.debt.min(gained / 2);
        self.debt -= paid;
        let second = self.rate * SCALE;
        let share = gained / GOSSIP_DIVISOR;
        self.gossip = self.gossip.saturating_add(share).min(second / GOSSIP_DIVISOR);
        let rest = gained - share - paid;
        self.places = self.places.saturating_add(rest).min(second - second / GOSSIP_DIVISOR);
        self.refilled = now;
    }
}

fn time_for(missing: i64, rate: i64) -> Span {
    let micros = missing / rate.max(1) + 1;
    Span(u64::try_from(micros).unwrap_or(0)).min(MAX_WAIT)
}

fn scaled(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SCALE)
}

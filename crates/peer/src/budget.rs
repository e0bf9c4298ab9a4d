//! The byte budget of control traffic.
//!
//! The budget consists of two token buckets, which together hold one second of the rate:
//!
//! - A quarter of the rate fills the gossip bucket, which no other class uses. Reservation
//!   messages may empty their own bucket and overdraw it by one second of the rate; if they could
//!   use gossip's tokens too, a busy VM would send no gossip and its peers would take it for
//!   dead.
//! - The rest fills the reservation bucket. Gossip may use idle tokens of it as long as three
//!   quarters of the bucket remain. Without this, a burst of membership updates would delay
//!   probes while tokens are unused.
//!
//! Documents and handshakes take no tokens. A document may be much larger than the buckets, and
//! waiting for tokens would delay a configuration change in the whole fleet. Their bytes are added
//! to a debt instead, which half of the rate pays back out of the reservation bucket's refill. The
//! mean rate thus stays within the budget while reservation messages and gossip continue.
//!
//! Frames that wait for tokens are joined into one ([`crate::Queue::next_batch`]), which saves the
//! overhead of separate datagrams. A reservation message waits at most a few milliseconds, whether
//! or not there are tokens: after a longer delay the sender would take it for lost and repeat it,
//! which makes more traffic. Bytes sent beyond the budget in this way are counted
//! ([`Budget::excess`]).

use briarshift_units::{BytesPerSecond, Moment, Span};

use crate::Class;

/// Tokens per byte. Tokens are millionths of a byte, so that refills over microseconds need no
/// rounding.
const TOKENS_PER_BYTE: i64 = 1_000_000;
/// Gossip's share of the rate, as a divisor: the share is 1 / `GOSSIP_DIVISOR`.
const GOSSIP_DIVISOR: i64 = 4;
/// Part of the reservation bucket that gossip may not use, in quarters.
const RESERVED_QUARTERS: i64 = 3;
/// Largest debt at which a document may still be sent, in seconds of the rate.
const MAX_DEBT_SECS: i64 = 60;
/// Longest wait of a reservation message: a caller waits for the reservation, and the VM that
/// requested it takes a missing reply for a lost message.
const MAX_RESERVATION_WAIT: Span = Span::from_millis(5);
/// Longest wait that a [`Decision`] returns.
const MAX_WAIT: Span = Span::from_secs(1);

/// Whether a frame may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The frame may be sent; its bytes are charged.
    Send,
    /// The frame may not be sent yet; try again after this span.
    Wait(Span),
}

/// The token buckets and the debt of one VM.
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
    reservation_tokens: i64,
    gossip_tokens: i64,
    debt: i64,
    excess: u64,
    refilled_at: Moment,
}

impl Budget {
    /// Returns a budget whose buckets are full at `now`.
    pub fn new(rate: BytesPerSecond, now: Moment) -> Self {
        let rate = i64::try_from(rate.0)
            .unwrap_or(i64::MAX / TOKENS_PER_BYTE)
            .clamp(1, i64::MAX / TOKENS_PER_BYTE);
        let gossip = rate * TOKENS_PER_BYTE / GOSSIP_DIVISOR;
        Self {
            rate,
            reservation_tokens: rate * TOKENS_PER_BYTE - gossip,
            gossip_tokens: gossip,
            debt: 0,
            excess: 0,
            refilled_at: now,
        }
    }

    /// Decides whether a frame of `bytes` that has `waited` for tokens may be sent, and charges
    /// the bytes if so.
    pub fn try_take(&mut self, now: Moment, class: Class, bytes: usize, waited: Span) -> Decision {
        self.refill(now);
        let cost = to_tokens(bytes);
        let second = self.rate * TOKENS_PER_BYTE;
        if class == Class::Gossip && self.try_take_idle(cost) {
            return Decision::Send;
        }
        // A gossip frame larger than the whole gossip bucket takes the rest from the reservation
        // bucket.
        let overflow = (cost - second / GOSSIP_DIVISOR).max(0);
        let (missing, rate) = match class {
            Class::Reservation => {
                (1 - second - self.reservation_tokens, self.rate - self.rate / GOSSIP_DIVISOR)
            }
            Class::Document => (self.debt - second.saturating_mul(MAX_DEBT_SECS), self.rate),
            Class::Gossip if 0 < overflow && self.reservation_tokens < overflow => {
                (overflow - self.reservation_tokens, self.rate - self.rate / GOSSIP_DIVISOR)
            }
            Class::Gossip => (cost - overflow - self.gossip_tokens, self.rate / GOSSIP_DIVISOR),
        };
        let overdue = class == Class::Reservation && MAX_RESERVATION_WAIT <= waited;
        if 0 < missing && !overdue {
            let wait = time_for(missing, rate);
            let rest = MAX_RESERVATION_WAIT - waited;
            return Decision::Wait(if class == Class::Reservation { wait.min(rest) } else { wait });
        }
        if 0 < missing {
            self.excess = self.excess.saturating_add(bytes as u64);
            return Decision::Send;
        }
        match class {
            Class::Reservation => self.reservation_tokens -= cost,
            Class::Gossip => {
                self.gossip_tokens -= cost - overflow;
                self.reservation_tokens -= overflow;
            }
            Class::Document => self.debt = self.debt.saturating_add(cost),
        }
        Decision::Send
    }

    /// Returns the bytes of reservation messages sent beyond the budget.
    pub fn excess(&self) -> u64 {
        self.excess
    }

    /// Adds bytes that are sent without a decision, such as a handshake, to the debt.
    pub fn charge(&mut self, now: Moment, bytes: usize) {
        self.refill(now);
        self.debt = self.debt.saturating_add(to_tokens(bytes));
    }

    /// Takes `cost` from gossip's own tokens and, for the rest, from idle tokens of the
    /// reservation bucket. Returns false and takes nothing if that would leave less than the
    /// reserved part of that bucket.
    fn try_take_idle(&mut self, cost: i64) -> bool {
        let full = self.rate * TOKENS_PER_BYTE - self.rate * TOKENS_PER_BYTE / GOSSIP_DIVISOR;
        let own = cost.min(self.gossip_tokens);
        let rest = self.reservation_tokens - (cost - own);
        let idle = full / 4 * RESERVED_QUARTERS <= rest;
        if idle {
            self.gossip_tokens -= own;
            self.reservation_tokens = rest;
        }
        idle
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = i64::try_from(now.since(self.refilled_at).0).unwrap_or(i64::MAX);
        let gained = self.rate.saturating_mul(elapsed);
        let paid = self.debt.min(gained / 2);
        self.debt -= paid;
        let second = self.rate * TOKENS_PER_BYTE;
        let share = gained / GOSSIP_DIVISOR;
        self.gossip_tokens = self.gossip_tokens.saturating_add(share).min(second / GOSSIP_DIVISOR);
        let rest = gained - share - paid;
        self.reservation_tokens =
            self.reservation_tokens.saturating_add(rest).min(second - second / GOSSIP_DIVISOR);
        self.refilled_at = now;
    }
}

fn time_for(missing: i64, rate: i64) -> Span {
    let micros = missing / rate.max(1) + 1;
    Span(u64::try_from(micros).unwrap_or(0)).min(MAX_WAIT)
}

fn to_tokens(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(TOKENS_PER_BYTE)
}

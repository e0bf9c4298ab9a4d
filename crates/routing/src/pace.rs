//! Keeps the requests to a target within the limit that it names.
//!
//! The load pattern that it answers: targets in need name the requests per second that
//! they accept from all VMs together, and many VMs decide at once.
//!
//! VMs tell each other where prompts go, so a VM counts the prompts of all VMs in a sliding
//! window. What peers have sent most recently is not known yet; the window is long against
//! that delay, so that it adds little. Requests that are not told of, or VMs that are not
//! heard, are counted by shares: each VM sends at an even pace that is its part of the
//! limit, starting at a random phase.

use std::collections::VecDeque;

use briarshift_units::{Moment, RequestRate, Span};

/// Length of the sliding window.
const WINDOW: Span = Span::from_secs(4);
/// Shorter window, in which a target gets at most [`BURST`] times its limit, so that it
/// does not get all requests of [`WINDOW`] at its beginning.
const SHORT_WINDOW: Span = Span::from_secs(1);
const BURST: f64 = 1.5;
/// Smallest rate in requests per second. A target gets some requests even if it names a
/// limit of zero, because only its answers show that the limit has ended.
const MIN_RATE: f64 = 0.1;

/// Which requests to a target this VM knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// Those of all VMs.
    All,
    /// Its own; other VMs send to the target too.
    Own,
}

/// The pace of requests to one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Pace {
    limit: RequestRate,
    /// Known sends within the window, in order.
    sends: VecDeque<Moment>,
    /// When this VM may send by its share.
    next_share_at: Moment,
}

impl Pace {
    /// Creates the pace for a limit that is known from now on. `entropy` is a random
    /// number.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::pace::{Known, Pace};
    /// use briarshift_units::{Moment, RequestRate, Span};
    /// let mut pace = Pace::new(RequestRate(2_000), 1, Moment(0), 0);
    /// let at = |millis| Moment(0) + Span::from_millis(millis);
    /// let sent = (0..40).filter(|step| {
    ///     let now = at(step * 100);
    ///     let permitted = pace.permitted_at(Known::All, now) <= now;
    ///     if permitted {
    ///         pace.record_send(now);
    ///     }
    ///     permitted
    /// });
    /// assert_eq!(sent.count(), 8);
    /// ```
    pub fn new(limit: RequestRate, vms: usize, now: Moment, entropy: u64) -> Self {
        let interval = share_interval(limit, vms);
        let next_share_at = now + Span(entropy % interval.0.max(1));
        Self { limit, sends: VecDeque::new(), next_share_at }
    }

    /// Returns the limit.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Returns the time between two requests at the limit.
    pub fn spacing(&self) -> Span {
        share_interval(self.limit, 1)
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: RequestRate, vms: usize, now: Moment) {
        self.limit = limit;
        self.next_share_at = self.next_share_at.min(now + share_interval(limit, vms));
    }

    /// Records a request that any VM sends.
    pub fn record_send(&mut self, now: Moment) {
        let window = self.window();
        while self.sends.front().is_some_and(|at| window <= now.since(*at)) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Takes this VM's share for a request that it sends.
    pub fn take_share(&mut self, vms: usize, now: Moment) {
        self.next_share_at = now + share_interval(self.limit, vms);
    }

    /// Returns when the next request may be sent, at the earliest now.
    pub fn permitted_at(&self, known: Known, now: Moment) -> Moment {
        let by_share = self.next_share_at.max(now);
        match known {
            Known::Own => by_share,
            Known::All => {
                let window = self.window();
                let capacity = self.rate() * window.as_secs_f64();
                let burst = self.rate() * SHORT_WINDOW.as_secs_f64() * BURST;
                let free_at = |capacity: f64, window: Span| {
                    let capacity = (capacity as usize).max(1);
                    let oldest = self.sends.len().checked_sub(capacity);
                    oldest.map_or(now, |index| self.sends[index] + window)
                };
                free_at(capacity, window).max(free_at(burst, SHORT_WINDOW)).max(now)
            }
        }
    }

    fn rate(&self) -> f64 {
        rate(self.limit)
    }

    /// Returns the length of the window, in which at least one request is permitted.
    fn window(&self) -> Span {
        WINDOW.max(Span((1e6 / self.rate()) as u64))
    }
}

fn rate(limit: RequestRate) -> f64 {
    limit.per_second().max(MIN_RATE)
}

/// Returns the time between two requests of one of `vms` VMs.
fn share_interval(limit: RequestRate, vms: usize) -> Span {
    Span((vms.max(1) as f64 * 1e6 / rate(limit)) as u64)
}

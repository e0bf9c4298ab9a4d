//! A target's health, from what becomes of requests alone.
//!
//! Load pattern: a target goes dark or turns requests away while its health
//! check is good, or the other way round. Only failures that callers would see
//! count here. A target that fails is passed over for a time that doubles with
//! each failure in a row; the first request after that time is its trial.

use briarshift_units::{Moment, Span};

/// How long a target is passed over after its first failure: about the time
/// in which a dropped connection is noticed and opened again.
const FIRST_PAUSE: Span = Span::from_millis(250);
/// Longest time that a target is passed over: a restart takes some seconds,
/// and a target that is back should be found soon after.
const LONGEST_PAUSE: Span = Span::from_secs(3);
/// Weight of the newest answer in the share of failed answers: the last ten or
/// so decide.
const NEWEST: f64 = 0.1;
/// How long a target is passed over that a peer could not reach: about a beat of
/// a large fleet, after which the next one tells.
const TOLD_PAUSE: Span = Span::from_millis(1_000);
/// Most failures that one word of a peer counts for.
const MOST_TOLD: u8 = 5;
/// Time in which half of a target's failures are forgotten: one that was passed
/// over for them must be tried again to show that it has recovered.
const HALF: Span = Span::from_secs(2);

/// What is believed of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    failures: u32,
    until: Moment,
    errors: f64,
    at: Moment,
    answered: Option<Moment>,
}

impl Health {
    /// The target could not be reached, or fell silent.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::health::Health;
    /// use briarshift_units::{Moment, Span};
    /// let mut health = Health::default();
    /// health.record_unreachable(Moment(0));
    /// assert!(health.is_paused(Moment(1)));
    /// assert!(!health.is_paused(Moment(0) + Span::from_millis(250)));
    /// ```
    pub fn record_unreachable(&mut self, now: Moment) {
        // What broke together is one failure.
        if now < self.until {
            return;
        }
        let pause = FIRST_PAUSE.0 << self.failures.min(8);
        self.failures += 1;
        self.until = now + Span(pause.min(LONGEST_PAUSE.0));
        self.count(1.0, now);
    }

    /// A peer could not reach the target, or had so many failures there. What
    /// this VM has seen itself goes before a peer's word.
    pub fn record_peer_report(&mut self, failures: u8, down: bool, now: Moment) {
        for _ in 0..failures.min(MOST_TOLD) {
            self.count(1.0, now);
        }
        let is_known = self.answered.is_some_and(|at| now.since(at) < TOLD_PAUSE);
        if down && !is_known {
            self.until = self.until.max(now + TOLD_PAUSE);
        }
    }

    /// The target answered, well or with a failure of its own.
    pub fn record_answer(&mut self, well: bool, now: Moment) {
        self.failures = 0;
        self.until = Moment::default();
        self.answered = Some(now);
        self.count(if well { 0.0 } else { 1.0 }, now);
    }

    /// Whether it is passed over now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Share of its newest answers that failed, 0 to 1.
    pub fn error_rate(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF.as_secs_f64();
        self.errors * (-halves).exp2()
    }

    fn count(&mut self, newest: f64, now: Moment) {
        let errors = self.error_rate(now);
        self.errors = errors + (newest - errors) * NEWEST;
        self.at = self.at.max(now);
    }
}

//! Passive health checks: derives a target's health from the results of requests.
//!
//! A target may drop or refuse requests while its own health check passes, or
//! the other way round. Therefore only failures that callers would see count
//! here. A target that can't be reached is paused for a time that doubles with
//! each consecutive failure; the first request after the pause tests it.

use briarshift_units::{Moment, Span};

/// Pause after the first failure: about the time that it takes to detect a
/// dropped connection and reconnect.
const FIRST_PAUSE: Span = Span::from_millis(250);
/// Maximum pause. A restart takes some seconds, and a target that has recovered
/// should be used again soon after.
const MAX_PAUSE: Span = Span::from_secs(3);
/// Weight of the newest answer in the moving average of failed answers: the last
/// ten answers or so determine it.
const NEWEST_WEIGHT: f64 = 0.1;
/// Pause of a target that a peer could not reach: about the heartbeat interval
/// of a large fleet, after which the next heartbeat reports again.
const PEER_REPORT_PAUSE: Span = Span::from_millis(1_000);
/// Maximum number of failures counted from one peer report.
const MAX_PEER_FAILURES: u8 = 5;
/// Half-life of the error rate. A target that gets no requests because of its
/// failures must be tried again to show that it has recovered.
const ERROR_HALF_LIFE: Span = Span::from_secs(2);

/// The health of one target, as this VM sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    /// Number of consecutive failures to reach the target.
    failures: u32,
    paused_until: Moment,
    /// The error rate at `updated_at`.
    error_rate: f64,
    updated_at: Moment,
    answered_at: Option<Moment>,
}

impl Health {
    /// Records that the target could not be reached or stopped responding.
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
        // Requests that break off together count as one failure.
        if now < self.paused_until {
            return;
        }
        let pause = FIRST_PAUSE.0 << self.failures.min(8);
        self.failures += 1;
        self.paused_until = now + Span(pause.min(MAX_PAUSE.0));
        self.update_error_rate(1.0, now);
    }

    /// Records a peer's report of `failures` failed answers, and whether the
    /// target is `down` for that peer. An answer that this VM received recently
    /// takes precedence over `down`.
    pub fn record_peer_report(&mut self, failures: u8, down: bool, now: Moment) {
        for _ in 0..failures.min(MAX_PEER_FAILURES) {
            self.update_error_rate(1.0, now);
        }
        let has_answered = self.answered_at.is_some_and(|at| now.since(at) < PEER_REPORT_PAUSE);
        if down && !has_answered {
            self.paused_until = self.paused_until.max(now + PEER_REPORT_PAUSE);
        }
    }

    /// Records that the target answered, successfully (`ok`) or with an error
    /// of its own. Ends a pause.
    pub fn record_answer(&mut self, ok: bool, now: Moment) {
        self.failures = 0;
        self.paused_until = Moment::default();
        self.answered_at = Some(now);
        self.update_error_rate(if ok { 0.0 } else { 1.0 }, now);
    }

    /// Returns true if the target should get no requests now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Returns the number of consecutive failures to reach the target since its last answer,
    /// of which those that came together count as one.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::health::Health;
    /// use briarshift_units::Moment;
    /// let mut health = Health::default();
    /// health.record_unreachable(Moment(0));
    /// assert_eq!(health.failures(), 1);
    /// health.record_answer(true, Moment(1));
    /// assert_eq!(health.failures(), 0);
    /// ```
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the fraction of recent answers that failed, 0 to 1.
    pub fn error_rate(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / ERROR_HALF_LIFE.as_secs_f64();
        self.error_rate * (-half_lives).exp2()
    }

    /// Adds the newest result to the error rate: 0 for a success, 1 for a
    /// failure.
    fn update_error_rate(&mut self, newest: f64, now: Moment) {
        let error_rate = self.error_rate(now);
        self.error_rate = error_rate + (newest - error_rate) * NEWEST_WEIGHT;
        self.updated_at = self.updated_at.max(now);
    }
}

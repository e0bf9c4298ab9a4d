//! Estimates how many grants and releases are in transit.
//!
//! The counted load includes requests that have not reached their target yet
//! and requests that have ended but whose release has not arrived. Both are
//! subtracted from the load that the mean is computed from, because the mean
//! must not be overestimated.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};

/// Longest time from a grant until the request reaches its target.
const GRANT_TRANSIT: Span = Span::from_millis(10);
/// Window over which the rate of releases is measured.
const RELEASE_WINDOW: Span = Span::from_secs(1);
/// Mean time from the end of a request until its release arrives here. Releases
/// are sent along with other messages.
const RELEASE_TRANSIT: Span = Span::from_millis(16);
/// Number of standard deviations by which the estimate of releases in transit
/// exceeds the mean.
const RELEASE_SIGMAS: f64 = 3.0;

/// Times of recent events.
#[derive(Debug, Default)]
struct Recent(VecDeque<Moment>);

/// Recent grants and releases.
#[derive(Debug, Default)]
pub struct InTransit {
    grants: Recent,
    releases: Recent,
}

impl InTransit {
    /// Records a grant.
    pub fn record_grant(&mut self, at: Moment) {
        self.grants.add(at);
    }

    /// Records the arrival of a release.
    pub fn record_release(&mut self, at: Moment) {
        self.releases.add(at);
    }

    /// Returns the number of requests that are counted but may not be running
    /// on a target.
    pub fn load(&mut self, at: Moment) -> i64 {
        let grants = self.grants.count(at, GRANT_TRANSIT);
        let rate = self.releases.count(at, RELEASE_WINDOW) as f64 / RELEASE_WINDOW.as_secs_f64();
        grants + max_in_transit(rate * RELEASE_TRANSIT.as_secs_f64())
    }
}

impl Recent {
    fn add(&mut self, at: Moment) {
        self.0.push_back(at);
    }

    fn count(&mut self, at: Moment, window: Span) -> i64 {
        while self.0.front().is_some_and(|&first| window <= at.since(first)) {
            self.0.pop_front();
        }
        self.0.len() as i64
    }
}

/// Returns an upper estimate of the number of ended requests whose release is
/// in transit, given the mean of that number.
fn max_in_transit(mean: f64) -> i64 {
    (mean + RELEASE_SIGMAS * mean.sqrt() + 1.0).ceil() as i64
}

//! Grants and releases under way.
//!
//! The count includes requests that have not reached their target yet, and
//! some that have ended without their release having arrived. The mean must
//! not be taken for higher than it is, so both are left out of it.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};

/// How long a grant may be under way to its target.
const GRANT_TRANSIT: Span = Span::from_millis(10);
/// Over how long releases are counted, to tell their rate.
const RELEASE_WINDOW: Span = Span::from_secs(1);
/// Mean time from a request's end to its release here: it is carried along
/// with other messages.
const RELEASE_TRANSIT: Span = Span::from_millis(16);
/// Standard deviations of the number of releases under way that are allowed
/// for.
const RELEASE_SIGMAS: f64 = 3.0;

/// Times of something that happened lately.
#[derive(Debug, Default)]
struct Recent(VecDeque<Moment>);

/// What was granted and released lately.
#[derive(Debug, Default)]
pub struct UnderWay {
    grants: Recent,
    releases: Recent,
}

impl UnderWay {
    /// A place was granted.
    pub fn granted(&mut self, at: Moment) {
        self.grants.add(at);
    }

    /// A release arrived.
    pub fn released(&mut self, at: Moment) {
        self.releases.add(at);
    }

    /// Requests that are counted and may not be on a target.
    pub fn load(&mut self, at: Moment) -> i64 {
        let granted = self.grants.count(at, GRANT_TRANSIT);
        let rate = self.releases.count(at, RELEASE_WINDOW) as f64 / RELEASE_WINDOW.as_secs_f64();
        granted + unheard(rate * RELEASE_TRANSIT.as_secs_f64())
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

/// Most requests that may have ended unheard, where `mean` have on average.
fn unheard(mean: f64) -> i64 {
    (mean + RELEASE_SIGMAS * mean.sqrt() + 1.0).ceil() as i64
}

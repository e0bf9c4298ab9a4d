//! Return of requests to a data centre that operators have taken back.
//!
//! The load pattern that it answers: a data centre is empty, and the prompts that belong
//! to its engines are served, and cached, by the others. If all of them returned in the
//! second in which it is taken back, its engines would have to read or fetch them all at
//! once. So a share of the prompt keys that grows evenly may return, and the same share of
//! the requests without a prompt.
//!
//! Invariants: a key that may return may do so at any later time, so it moves once. Whether
//! it may depends only on the key and the time since, not on a target: otherwise a key would
//! first move to its second or third engine there. So VMs that learn at the same time agree
//! without messages.

use briarshift_units::{Moment, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash, so that the order in which keys return has nothing to do with the
/// order of targets.
const SEED: u64 = 0x7265_6164_6d69_7400;

/// Readmission of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readmission {
    since: Moment,
    length: Span,
}

impl Readmission {
    /// Returns a readmission that begins at `since` and is complete after `length`.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::readmission::Readmission;
    /// use briarshift_units::{Moment, Span};
    /// let readmission = Readmission::new(Moment(0), Span::from_secs(8));
    /// let admitted = |at| (0..1_000).filter(|key| readmission.admits(*key, at)).count();
    /// assert_eq!(admitted(Moment(0)), 0);
    /// assert!((450..550).contains(&admitted(Moment(4_000_000))));
    /// assert_eq!(admitted(Moment(8_000_000)), 1_000);
    /// ```
    pub fn new(since: Moment, length: Span) -> Self {
        Self { since, length }
    }

    /// Returns true if requests with this key may go to the data centre. For a request
    /// without a prompt, the key is a random number.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::readmission::Readmission;
    /// use briarshift_units::{Moment, Span};
    /// let readmission = Readmission::new(Moment(0), Span::from_secs(8));
    /// assert!(!readmission.admits(7, Moment(0)));
    /// assert!(readmission.admits(7, Moment(8_000_000)));
    /// ```
    pub fn admits(&self, key: u64, now: Moment) -> bool {
        let elapsed = u128::from(now.since(self.since).0);
        let place = u128::from(xxh3_64_with_seed(&key.to_le_bytes(), SEED));
        self.is_complete(now) || place * u128::from(self.length.0) < elapsed << u64::BITS
    }

    /// Returns true if all requests may go to the data centre.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::readmission::Readmission;
    /// use briarshift_units::{Moment, Span};
    /// let readmission = Readmission::new(Moment(0), Span::from_secs(8));
    /// assert!(!readmission.is_complete(Moment(7_999_999)));
    /// assert!(readmission.is_complete(Moment(8_000_000)));
    /// ```
    pub fn is_complete(&self, now: Moment) -> bool {
        self.length <= now.since(self.since)
    }
}

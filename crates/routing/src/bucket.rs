//! Token buckets for the limits of client accounts.

use briarshift_units::{Moment, Span};

/// What an account may do, fleet-wide or at one slice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Requests a second over time.
    pub per_second: f64,
    /// Requests at once.
    pub burst: f64,
}

/// One account's bucket. Starts full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: Rate, at: Moment) -> Self {
        Self { level: rate.burst, at }
    }

    /// Takes one request's worth, or says how long until there is one.
    ///
    /// # Errors
    ///
    /// The time after which the next request can pass.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::bucket::{Bucket, Rate};
    /// use briarshift_units::{Moment, Span};
    /// let rate = Rate { per_second: 2.0, burst: 1.0 };
    /// let mut bucket = Bucket::new(rate, Moment(0));
    /// assert_eq!(bucket.take(rate, Moment(0)), Ok(()));
    /// assert_eq!(bucket.take(rate, Moment(0)), Err(Span::from_millis(500)));
    /// assert_eq!(bucket.take(rate, Moment(500_000)), Ok(()));
    /// ```
    pub fn take(&mut self, rate: Rate, at: Moment) -> Result<(), Span> {
        let earned = at.since(self.at).as_secs_f64() * rate.per_second;
        self.level = (self.level + earned).min(rate.burst.max(1.0));
        self.at = self.at.max(at);
        if self.level < 1.0 {
            let seconds = (1.0 - self.level) / rate.per_second.max(f64::MIN_POSITIVE);
            return Err(Span((seconds * 1e6).ceil() as u64));
        }
        self.level -= 1.0;
        Ok(())
    }
}

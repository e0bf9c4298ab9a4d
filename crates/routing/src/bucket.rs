//! Token buckets that enforce the rate limits of client accounts.

use briarshift_units::{Moment, Span};

/// The rate limit of an account, for the whole fleet or for one slice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

/// The token bucket of one account. It starts full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated_at: Moment,
}

impl Bucket {
    /// Returns a full bucket.
    pub fn new(rate: Rate, at: Moment) -> Self {
        Self { tokens: rate.burst, updated_at: at }
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available, if there is none now.
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
        let refill = at.since(self.updated_at).as_secs_f64() * rate.per_second;
        self.tokens = (self.tokens + refill).min(rate.burst.max(1.0));
        self.updated_at = self.updated_at.max(at);
        if self.tokens < 1.0 {
            let seconds = (1.0 - self.tokens) / rate.per_second.max(f64::MIN_POSITIVE);
            return Err(Span((seconds * 1e6).ceil() as u64));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

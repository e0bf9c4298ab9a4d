//! How often each prompt part is requested.
//!
//! A single prompt part can suddenly get a large share of the traffic on many
//! VMs, while each VM's view of the load of the others is up to one second old.
//! If each VM sent the part to the engine that seems least loaded, all would
//! choose the same engine. Instead, each VM computes the number of engines that
//! the part needs from the rate at which all VMs recently sent it, and picks one
//! of these engines at random.

use std::collections::HashMap;
use std::hash::Hash;

use briarshift_units::{Moment, Span};

/// Time constant of the average rates. Long enough to contain several requests
/// of a popular part, and short enough that a part that becomes popular shows
/// within one or two seconds.
const AVERAGING_TIME: Span = Span::from_secs(2);
/// Maximum number of requests of one part on one engine: this fraction of the
/// pool's mean load, plus [`REPLICA_LOAD_EXTRA`]. It leaves room below the load
/// bound for the engine's other parts.
const REPLICA_LOAD_FRACTION: f64 = 0.4;
/// Number of requests allowed in addition to [`REPLICA_LOAD_FRACTION`].
const REPLICA_LOAD_EXTRA: f64 = 0.6;

/// Request rates by key, as exponentially weighted averages over the last
/// seconds.
#[derive(Debug, Clone)]
pub struct Popularity<K> {
    rates: HashMap<K, Rate>,
    total: Rate,
}

/// A count of requests that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    /// The count at `updated_at`.
    count: f64,
    updated_at: Moment,
}

impl Rate {
    fn at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.count * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn increment(&mut self, now: Moment) {
        self.count = self.at(now) + 1.0;
        self.updated_at = self.updated_at.max(now);
    }
}

impl<K> Default for Popularity<K> {
    fn default() -> Self {
        Self { rates: HashMap::new(), total: Rate::default() }
    }
}

impl<K: Eq + Hash> Popularity<K> {
    /// Records a request for a key.
    pub fn record(&mut self, key: K, now: Moment) {
        self.rates.entry(key).or_default().increment(now);
        self.total.increment(now);
    }

    /// Returns the fraction of recent requests that were for a key, 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::popularity::Popularity;
    /// use briarshift_units::Moment;
    /// let mut popularity = Popularity::default();
    /// for key in ["a", "a", "a", "b"] {
    ///     popularity.record(key, Moment(0));
    /// }
    /// assert_eq!(popularity.share(&"a", Moment(0)), 0.75);
    /// assert_eq!(popularity.share(&"c", Moment(0)), 0.0);
    /// ```
    pub fn share(&self, key: &K, now: Moment) -> f64 {
        let rate = self.rates.get(key).map_or(0.0, |rate| rate.at(now));
        rate / self.total.at(now).max(1.0)
    }

    /// Removes keys that are no longer requested.
    pub fn prune(&mut self, now: Moment) {
        const NEGLIGIBLE_COUNT: f64 = 0.01;
        self.rates.retain(|_, rate| NEGLIGIBLE_COUNT < rate.at(now));
    }
}

/// Returns the number of engines to spread a prompt part over, if `share` is its
/// fraction of the requests, and the pool has `load` requests on `engines`
/// engines. It is 1 unless the part would load a single engine too much.
///
/// # Examples
///
/// ```
/// use briarshift_routing::popularity::replicas;
/// assert_eq!(replicas(0.01, 50, 10), 1);
/// assert_eq!(replicas(0.2, 50, 10), 4);
/// ```
pub fn replicas(share: f64, load: u32, engines: usize) -> usize {
    let mean = f64::from(load) / engines.max(1) as f64;
    let needed = share * f64::from(load) / (REPLICA_LOAD_FRACTION * mean + REPLICA_LOAD_EXTRA);
    (needed.ceil() as usize).clamp(1, engines.max(1))
}

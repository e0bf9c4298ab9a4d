//! How often prompts are asked for.
//!
//! Load pattern: one prompt part gets a large share of the traffic at once, at
//! many VMs, whose view of each other's load is up to a second old. If each of
//! them sent it to the engine that seems least loaded, all would choose the
//! same one. Here each VM works out how many engines the part needs from how
//! often all VMs sent it lately, and takes one of these at random.

use std::collections::HashMap;
use std::hash::Hash;

use briarshift_units::{Moment, Span};

/// Time over which rates are averaged: some requests of a popular part fall
/// into it, and a part that becomes popular shows within a second or two.
const AVERAGED: Span = Span::from_secs(2);
/// Requests of one part at one engine, as a share of the pool's mean and beside
/// that: leaves room below the load bound for the engine's other parts.
const SHARE: f64 = 0.4;
const BESIDE: f64 = 0.6;

/// Rates of things asked for, averaged over the last seconds.
#[derive(Debug, Clone)]
pub struct Popularity<K> {
    rates: HashMap<K, Rate>,
    all: Rate,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    weight: f64,
    at: Moment,
}

impl Rate {
    fn now(&self, now: Moment) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.weight * (-passed / AVERAGED.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Moment) {
        self.weight = self.now(now) + 1.0;
        self.at = self.at.max(now);
    }
}

impl<K> Default for Popularity<K> {
    fn default() -> Self {
        Self { rates: HashMap::new(), all: Rate::default() }
    }
}

impl<K: Eq + Hash> Popularity<K> {
    /// A request asked for something.
    pub fn record(&mut self, key: K, now: Moment) {
        self.rates.entry(key).or_default().add(now);
        self.all.add(now);
    }

    /// Share of the requests lately that asked for it, 0 to 1.
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
        let rate = self.rates.get(key).map_or(0.0, |rate| rate.now(now));
        rate / self.all.now(now).max(1.0)
    }

    /// Forgets what is no longer asked for.
    pub fn prune(&mut self, now: Moment) {
        const NOTHING: f64 = 0.01;
        self.rates.retain(|_, rate| NOTHING < rate.now(now));
    }
}

/// Engines that share requests which are a `share` of the pool's `load`, on
/// `engines` engines: one, unless they would load it too much.
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
    let needed = share * f64::from(load) / (SHARE * mean + BESIDE);
    (needed.ceil() as usize).clamp(1, engines.max(1))
}

//! Demand by model: a count of requests that decays exponentially.

use std::collections::BTreeMap;

use briarshift_units::{ModelId, Moment, Span};

/// Time after which a request counts half. It is several times as long as a
/// model takes to load, so that a short burst doesn't move models.
pub const HALF_LIFE: Span = Span::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Count {
    value: f64,
    updated_at: Moment,
}

impl Count {
    fn value(self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }
}

/// The decaying request counts of one pool's models.
#[derive(Debug, Default)]
pub struct Demand {
    counts: BTreeMap<ModelId, Count>,
}

impl Demand {
    /// Counts one request.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::order::demand::{Demand, HALF_LIFE};
    /// use briarshift_units::Moment;
    /// let mut demand = Demand::default();
    /// let model = "m".parse().unwrap();
    /// demand.record(Moment(0), &model);
    /// assert_eq!(demand.value(Moment(0) + HALF_LIFE, &model), 0.5);
    /// ```
    pub fn record(&mut self, now: Moment, model: &ModelId) {
        let value = self.value(now, model) + 1.0;
        self.counts.insert(model.clone(), Count { value, updated_at: now });
    }

    /// Returns the decayed number of requests for a model: each one counts half
    /// for every [`HALF_LIFE`] since it was recorded.
    pub fn value(&self, now: Moment, model: &ModelId) -> f64 {
        self.counts.get(model).map_or(0.0, |count| count.value(now))
    }
}

//! Requests by model, older ones counted less.

use std::collections::BTreeMap;

use briarshift_units::{ModelId, Moment, Span};

/// Time after which a request counts half. Several times a model's loading
/// time, so that a short burst moves nothing.
pub const HALF_LIFE: Span = Span::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Count {
    value: f64,
    at: Moment,
}

impl Count {
    fn value(self, now: Moment) -> f64 {
        let lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(lives)
    }
}

/// Counts of one pool.
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
        self.counts.insert(model.clone(), Count { value, at: now });
    }

    /// Requests of a model, each halved for every half-life since.
    pub fn value(&self, now: Moment, model: &ModelId) -> f64 {
        self.counts.get(model).map_or(0.0, |count| count.value(now))
    }
}

//! Estimates load from reservations that the admitting VM doesn't know of.
//!
//! A VM that can't be reached may hold reservations that were granted before
//! this VM admitted. The targets still report the requests, so the difference
//! between the reported and the counted load is counted as load.

use std::collections::BTreeMap;

use briarshift_units::{Moment, TargetId};

use crate::target::Target;

/// Weight of a new report in an estimate.
pub const NEW_REPORT_WEIGHT: f64 = 0.1;
/// Weight of a report that replaces the estimate.
pub const FULL_WEIGHT: f64 = 1.0;
/// Number of requests by which a report may exceed the count without counting
/// as load, because reports lag.
const REPORT_LAG_TOLERANCE: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    value: f64,
    reported_at: Moment,
}

/// An estimate for each target of its load beyond the counted reservations.
#[derive(Debug, Default)]
pub struct Unaccounted(BTreeMap<TargetId, Estimate>);

impl Unaccounted {
    /// Returns the estimated number of requests on a target beyond those
    /// counted.
    pub fn load(&self, target: &TargetId) -> u32 {
        let estimate = self.0.get(target).copied().unwrap_or_default();
        (estimate.value - REPORT_LAG_TOLERANCE).max(0.0) as u32
    }

    /// Updates the estimate from a target's report and the `load` counted there.
    /// Each report is used once, unless its weight is [`FULL_WEIGHT`].
    pub fn compare(&mut self, target: &Target, load: u32, weight: f64) {
        let Some(report) = &target.report else { return };
        let estimate = self.0.entry(target.id.clone()).or_default();
        if estimate.reported_at == target.reported_at && weight < FULL_WEIGHT {
            return;
        }
        estimate.reported_at = target.reported_at;
        let sample = f64::from(report.running + report.waiting) - f64::from(load);
        estimate.value += weight * (sample - estimate.value);
    }
}

//! Places that nobody told the admitting VM of.
//!
//! A VM that can't be heard may hold places that were given before this VM
//! admitted. Its targets still report them: what is reported and was never
//! told counts as load.

use std::collections::BTreeMap;

use briarshift_units::{Moment, TargetId};

use crate::target::Target;

/// Weight of a new report in an estimate.
pub const WEIGHT: f64 = 0.1;
/// Weight of a report that is the estimate.
pub const WHOLE: f64 = 1.0;
/// Reports lag, so that they differ from the count by some requests; only
/// what is above this counts as untold.
const SLACK: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    value: f64,
    reported_at: Moment,
}

/// An estimate for each target.
#[derive(Debug, Default)]
pub struct Untold(BTreeMap<TargetId, Estimate>);

impl Untold {
    /// Requests on a target beyond those counted.
    pub fn load(&self, target: &TargetId) -> u32 {
        let estimate = self.0.get(target).copied().unwrap_or_default();
        (estimate.value - SLACK).max(0.0) as u32
    }

    /// Compares a target's report with the `load` counted there. A report
    /// counts once, unless it is taken [`WHOLE`].
    pub fn compare(&mut self, target: &Target, load: u32, weight: f64) {
        let Some(report) = &target.report else { return };
        let estimate = self.0.entry(target.id.clone()).or_default();
        if estimate.reported_at == target.reported_at && weight < WHOLE {
            return;
        }
        estimate.reported_at = target.reported_at;
        let sample = f64::from(report.running + report.waiting) - f64::from(load);
        estimate.value += weight * (sample - estimate.value);
    }
}

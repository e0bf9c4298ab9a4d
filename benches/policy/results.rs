//! The results of a run.

use serde::Serialize;

/// The results of one run of a scenario with a policy. The field names are the keys of the JSON
/// output.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Results {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Fraction that ran on an engine with the chat's context, of the returning requests whose
    /// context an engine that accepts requests held.
    pub reuse: f64,
    /// Fraction that ran on an engine with the chat's context, of all returning requests.
    pub reuse_all: f64,
    /// Highest ratio of an engine's load to the mean load.
    pub skew_max_over_mean: f64,
    /// 99th percentile over windows of one second of the highest ratio in each window.
    pub skew_p99: f64,
    /// Bound on an engine's load, as a multiple of the mean load.
    pub bound: f64,
    /// Number of requests that reached an engine.
    pub assignments: u64,
    /// Number of those that raised an engine's load above the bound.
    pub bound_violations: u64,
    /// Number of those that did so more than two seconds after the last change to the engines, the
    /// VMs or their lists.
    pub bound_violations_late: u64,
    /// Largest excess of an engine's load over the bound, in requests.
    pub bound_excess_max: u32,
    /// Number of refused requests.
    pub shed: u64,
    /// Number of those from accounts that stayed at their usual rate.
    pub shed_others: u64,
    /// Median wait of interactive requests for their assignment to an engine, in milliseconds.
    pub queue_wait_ms_p50: f64,
    /// 99th percentile of the same wait.
    pub queue_wait_ms_p99: f64,
    /// Median wait of overnight requests for their assignment, in milliseconds.
    pub overnight_wait_ms_p50: f64,
    /// 99th percentile of the same wait.
    pub overnight_wait_ms_p99: f64,
    /// Number of overnight requests that reached an engine at the first attempt.
    pub overnight_placed: u64,
    /// Mean number of control bytes that a VM sends per second, including 60 bytes of transport
    /// overhead per message.
    pub control_bytes_per_s_per_vm: f64,
    /// Control bytes per second of the VM that sends most.
    pub control_bytes_per_s_max: f64,
    /// Requests per second of the whole fleet.
    pub requests_per_s: f64,
    /// Mean number of requests on an engine.
    pub mean_load: f64,
}

/// Sorts the values and returns the one at a fraction, 0 to 1, of their number; zero if there
/// are none.
pub fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

//! What is measured, and how it is written.

use serde::Serialize;

/// One run's figures.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Entry VMs.
    pub vms: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Of the returns whose context a live engine held, the share that landed
    /// on one.
    pub reuse: f64,
    /// Of all returns, the share that landed on held context.
    pub reuse_all: f64,
    /// Worst load over mean in any window of a second.
    pub skew_max_over_mean: f64,
    /// The 99th percentile of the windows.
    pub skew_p99: f64,
    /// The bound's factor.
    pub bound: f64,
    /// Requests that arrived at an engine.
    pub assignments: u64,
    /// Of these, requests that put an engine above the bound.
    pub bound_violations: u64,
    /// Of these, more than two seconds after a change of lists.
    pub bound_violations_late: u64,
    /// Furthest above the bound, in requests.
    pub bound_excess_max: u32,
    /// Requests refused.
    pub shed: u64,
    /// Of these, requests of accounts that kept to their usual rate.
    pub shed_others: u64,
    /// Wait for a place of interactive requests, median.
    pub queue_wait_ms_p50: f64,
    /// And 99th percentile.
    pub queue_wait_ms_p99: f64,
    /// Wait of overnight requests, median.
    pub overnight_wait_ms_p50: f64,
    /// And 99th percentile.
    pub overnight_wait_ms_p99: f64,
    /// Overnight requests placed.
    pub overnight_placed: u64,
    /// Control bytes a VM sends each second, 60 a message for transport
    /// included.
    pub control_bytes_per_s_per_vm: f64,
    /// The same of the VM that sends most.
    pub control_bytes_per_s_max: f64,
    /// Requests a second, fleet-wide.
    pub requests_per_s: f64,
    /// Mean load of an engine.
    pub mean_load: f64,
}

/// The value at a share of sorted values.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

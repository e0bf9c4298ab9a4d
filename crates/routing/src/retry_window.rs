//! One VM's share of a fleet-wide retry budget, counted in sliding windows.
//!
//! If a pool fails a part of its requests, all VMs retry at the same time. The
//! budget limits the retries of all VMs together to a fraction of the pool's
//! requests plus a constant allowance. Each VM limits itself to that fraction of
//! its own requests plus an equal share of the allowance. The sum over all VMs
//! then stays within the budget without communication, however unevenly the
//! requests are distributed.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};

/// The retry budget of all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Number of retries per request.
    pub ratio: f64,
    /// Number of additional retries in one window.
    pub allowance: f64,
    /// Length of the sliding window.
    pub length: Span,
}

/// Requests and retries of one pool on one VM within the last window.
#[derive(Debug, Clone, Default)]
pub struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Window {
    /// Records the arrival of a request.
    pub fn record_request(&mut self, budget: &Budget, now: Moment) {
        Self::prune(&mut self.requests, budget.length, now);
        self.requests.push_back(now);
    }

    /// Takes one retry from this VM's share of the budget, if there are `vms` VMs.
    /// Returns false if none is left.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::retry_window::{Budget, Window};
    /// use briarshift_units::{Moment, Span};
    /// let budget = Budget { ratio: 0.5, allowance: 2.0, length: Span::from_secs(10) };
    /// let mut window = Window::default();
    /// assert!(window.withdraw(&budget, 2, Moment(0)));
    /// assert!(!window.withdraw(&budget, 2, Moment(0)));
    /// window.record_request(&budget, Moment(1));
    /// window.record_request(&budget, Moment(1));
    /// assert!(window.withdraw(&budget, 2, Moment(2)));
    /// assert!(!window.withdraw(&budget, 2, Moment(3)));
    /// ```
    pub fn withdraw(&mut self, budget: &Budget, vms: usize, now: Moment) -> bool {
        Self::prune(&mut self.requests, budget.length, now);
        Self::prune(&mut self.retries, budget.length, now);
        let allowance = budget.allowance / vms.max(1) as f64;
        let limit = budget.ratio * self.requests.len() as f64 + allowance;
        if limit < (self.retries.len() + 1) as f64 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Removes the times before the window that ends now.
    fn prune(times: &mut VecDeque<Moment>, length: Span, now: Moment) {
        while times.front().is_some_and(|at| length <= now.since(*at)) {
            times.pop_front();
        }
    }
}

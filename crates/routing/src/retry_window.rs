//! One VM's share of a retry budget that holds in any window of time.
//!
//! Load pattern: a pool fails part of its requests and every VM retries at
//! once. The budget is a share of the pool's requests plus a constant, summed
//! over all VMs and counted in sliding windows. Each VM keeps to the share of
//! its own requests plus its part of the constant, so that the sum holds
//! without a message, however unevenly requests are spread.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};

/// What all VMs together may send again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, in one window.
    pub allowance: f64,
    /// Length of the window.
    pub length: Span,
}

/// Requests and repeats of one pool at one VM in the last window.
#[derive(Debug, Clone, Default)]
pub struct Window {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Window {
    /// A request arrived.
    pub fn record_request(&mut self, budget: &Budget, now: Moment) {
        Self::prune(&mut self.requests, budget.length, now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if this VM's share among `vms` has one left.
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
        Self::prune(&mut self.repeats, budget.length, now);
        let share = budget.allowance / vms.max(1) as f64;
        let most = budget.ratio * self.requests.len() as f64 + share;
        if most < (self.repeats.len() + 1) as f64 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn prune(times: &mut VecDeque<Moment>, length: Span, now: Moment) {
        while times.front().is_some_and(|at| length <= now.since(*at)) {
            times.pop_front();
        }
    }
}

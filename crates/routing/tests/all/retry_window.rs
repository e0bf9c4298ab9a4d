//! The retry budget holds on one VM and over all VMs.

use briarshift_routing::retry_window::{Budget, Window};
use briarshift_units::{Moment, Span};
use proptest::prelude::{any, prop};
use proptest::proptest;

const BUDGET: Budget = Budget { ratio: 0.2, allowance: 12.0, length: Span::from_secs(10) };

/// On a single VM, no window contains more retries than its requests allow.
#[test]
fn one_vm_stays_within_the_budget_in_every_window() {
    let mut window = Window::default();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = Moment(step * 17_000);
        if step % 5 == 0 && step / 500 % 2 == 0 {
            window.record_request(&BUDGET, now);
            requests.push(now);
        }
        if window.withdraw(&BUDGET, 1, now) {
            retries.push(now);
            let count_within = |times: &[Moment]| {
                times.iter().filter(|at| now.since(**at) < BUDGET.length).count() as f64
            };
            assert!(
                count_within(&retries) <= BUDGET.ratio * count_within(&requests) + BUDGET.allowance
            );
        }
    }
    assert!(!retries.is_empty());
}

proptest! {
    /// However requests and retries are distributed over VMs, no window contains
    /// more retries of all VMs than the budget allows for the requests of that
    /// window and the one before it. The earlier window counts because the requests
    /// that permitted a retry may be up to one window older than the retry.
    /// Operators compare the retries with the nearby window that has the most
    /// requests.
    #[test]
    fn all_vms_together_stay_within_the_budget(
        steps in prop::collection::vec((0..3_usize, any::<bool>(), 0..900_u64), 0..400),
    ) {
        let mut windows = [const { None }; 3].map(|_: Option<()>| Window::default());
        let (mut now, mut requests, mut retries) = (Moment(0), Vec::new(), Vec::new());
        for (vm, is_request, millis) in steps {
            now = now + Span::from_millis(millis);
            if is_request {
                windows[vm].record_request(&BUDGET, now);
                requests.push(now);
            } else if windows[vm].withdraw(&BUDGET, windows.len(), now) {
                retries.push(now);
                let count_within = |times: &[Moment], length: Span| {
                    times.iter().filter(|at| now.since(**at) < length).count() as f64
                };
                let permitting = count_within(&requests, BUDGET.length + BUDGET.length);
                let limit = BUDGET.ratio * permitting + BUDGET.allowance;
                assert!(count_within(&retries, BUDGET.length) <= limit);
            }
        }
    }
}

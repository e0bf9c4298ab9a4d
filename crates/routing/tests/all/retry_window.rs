//! Shares of the retry budget.

use briarshift_routing::retry_window::{Budget, Window};
use briarshift_units::{Moment, Span};
use proptest::prelude::{any, prop};
use proptest::proptest;

const BUDGET: Budget = Budget { ratio: 0.2, allowance: 12.0, length: Span::from_secs(10) };

/// One VM alone: no window holds more repeats than its own requests allow.
#[test]
fn one_vm_keeps_to_the_budget_in_every_window() {
    let mut window = Window::default();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..4_000_u64 {
        let now = Moment(step * 17_000);
        if step % 5 == 0 && step / 500 % 2 == 0 {
            window.record_request(&BUDGET, now);
            requests.push(now);
        }
        if window.withdraw(&BUDGET, 1, now) {
            repeats.push(now);
            let within = |times: &[Moment]| {
                times.iter().filter(|at| now.since(**at) < BUDGET.length).count() as f64
            };
            assert!(within(&repeats) <= BUDGET.ratio * within(&requests) + BUDGET.allowance);
        }
    }
    assert!(!repeats.is_empty());
}

proptest! {
    /// However requests and repeats fall on VMs: no window holds more repeats
    /// of all VMs than the budget allows for the requests of that window and
    /// the one before it. (The requests that backed a VM's last repeat may be
    /// up to a window older than it; operators count whichever window near it
    /// had most.)
    #[test]
    fn shares_of_all_vms_keep_to_the_budget(
        steps in prop::collection::vec((0..3_usize, any::<bool>(), 0..900_u64), 0..400),
    ) {
        let mut windows = [const { None }; 3].map(|_: Option<()>| Window::default());
        let (mut now, mut requests, mut repeats) = (Moment(0), Vec::new(), Vec::new());
        for (vm, is_request, millis) in steps {
            now = now + Span::from_millis(millis);
            if is_request {
                windows[vm].record_request(&BUDGET, now);
                requests.push(now);
            } else if windows[vm].withdraw(&BUDGET, windows.len(), now) {
                repeats.push(now);
                let within = |times: &[Moment], length: Span| {
                    times.iter().filter(|at| now.since(**at) < length).count() as f64
                };
                let backed = within(&requests, BUDGET.length + BUDGET.length);
                let most = BUDGET.ratio * backed + BUDGET.allowance;
                assert!(within(&repeats, BUDGET.length) <= most);
            }
        }
    }
}

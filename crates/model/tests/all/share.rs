//! Simulations of desk runners whose room client accounts compete for: what the small
//! accounts get while the first one, or all, send more than there is room for.

use briarshift_gateway::Features;
use briarshift_model::fleet;
use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::{Disturbance, Scenario, accounts};
use briarshift_routing::share::{Demand, level};

/// The first account sends eight times its usual.
const SURGE: Disturbance = Disturbance::Surge { account: 0, factor: 8.0 };
/// Half of the runners are lost.
const LOSS: Disturbance = Disturbance::Crash { runners: true, count: 2 };
/// Eight times the usual number of lookups.
const BURST: Disturbance = Disturbance::BurstOf { workload: 1, factor: 8.0 };
const ALL_BUT_SURGE: [Disturbance; 3] = [LOSS, BURST, Disturbance::Impatience];
const ACCOUNTS: usize = 24;

fn run(vms: usize, disturbances: &[Disturbance], fair_shares: bool) -> Results {
    let features = Features { fair_shares, ..Features::default() };
    let results = fleet::run(&Scenario { features, ..accounts(vms, disturbances) }, 1);
    println!("{vms} VMs, shares {fair_shares}, {disturbances:?}: {}", figures(&results));
    results
}

/// Simulates disturbances with shares and checks what holds for all of them: bookings, which
/// are more urgent, are not served less than lookups, no account is served less than a fifth as
/// often as all, and almost nothing is refused while the pool has room.
#[track_caller]
fn check(vms: usize, disturbances: &[Disturbance]) -> Results {
    let results = run(vms, disturbances, true);
    let (booking, lookup) = (served_of(&results, 0), served_of(&results, 1));
    assert!(lookup - 0.05 <= booking, "bookings {booking}, lookups {lookup}");
    let all = served(&results, 0..ACCOUNTS);
    for account in 0..ACCOUNTS {
        let own = served(&results, account..account + 1);
        assert!(all / 5.0 <= own, "account {account} got {own} of {all}");
    }
    let refused = results.refused_with_room as f64 / results.request_count() as f64;
    assert!(refused <= 0.005, "{refused} refused while there was room");
    results
}

/// Checks that the small accounts are served as without the surge.
#[track_caller]
fn check_surge(vms: usize, without: &[Disturbance], with: &[Disturbance]) {
    let usual = served(&run(vms, without, true), 1..ACCOUNTS);
    let surge = served(&check(vms, with), 1..ACCOUNTS);
    assert!(usual - 0.05 <= surge, "{surge} instead of {usual}");
    let before = served(&run(vms, with, false), 1..ACCOUNTS);
    assert!(before < surge, "{before} without shares, {surge} with them");
}

/// Returns the fraction of the requests of some accounts that were answered.
fn served(results: &Results, accounts: std::ops::Range<usize>) -> f64 {
    let sum = accounts.map(|account| results.served(account));
    let (all, served) = sum.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    served as f64 / all.max(1) as f64
}

fn served_of(results: &Results, workload: usize) -> f64 {
    results.share(Some(workload), Outcome::InTime) + results.share(Some(workload), Outcome::Late)
}

/// Returns Jain's index of what accounts got of their max-min shares: 1 if all got the same
/// part of it.
fn jain(results: &Results) -> f64 {
    let served: Vec<_> = (0..ACCOUNTS).map(|account| results.served(account)).collect();
    let demands: Vec<_> =
        served.iter().map(|it| Demand { slots: it.0 as f64, weight: 1.0 }).collect();
    let level = level(&demands, served.iter().map(|it| it.1 as f64).sum());
    let parts: Vec<_> = served.iter().map(|it| it.1 as f64 / (it.0 as f64).min(level)).collect();
    let sum: f64 = parts.iter().sum();
    sum * sum / (parts.len() as f64 * parts.iter().map(|part| part * part).sum::<f64>())
}

fn figures(results: &Results) -> String {
    format!(
        "small {:.3}, first {:.3}, bookings {:.3}, lookups {:.3}, in time {:.3}, Jain {:.3}, \
         refused with room {}",
        served(results, 1..ACCOUNTS),
        served(results, 0..1),
        served_of(results, 0),
        served_of(results, 1),
        results.share(None, Outcome::InTime),
        jain(results),
        results.refused_with_room,
    )
}

#[test]
fn half_the_load_is_served_in_time() {
    let results = check(6, &[]);
    assert!(0.999 <= results.share(None, Outcome::InTime));
}

#[test]
fn a_surge_is_paid_for_by_its_account() {
    check_surge(6, &[], &[SURGE]);
}

#[test]
fn a_surge_is_paid_for_by_its_account_in_a_large_fleet() {
    check_surge(66, &[], &[SURGE]);
}

#[test]
fn a_surge_is_paid_for_by_its_account_while_a_third_is_cut_off() {
    check_surge(6, &[Disturbance::Cut], &[SURGE, Disturbance::Cut]);
}

#[test]
fn lost_runners_cost_the_small_accounts_little() {
    assert!(0.95 <= served(&check(6, &[LOSS]), 1..ACCOUNTS));
    assert!(0.95 <= served(&check(6, &[LOSS, Disturbance::Impatience]), 1..ACCOUNTS));
}

#[test]
fn a_burst_of_one_kind_leaves_the_urgent_one_served() {
    assert!(0.95 <= served_of(&check(6, &[BURST]), 0));
}

#[test]
fn a_surge_amid_all_else_is_paid_for_by_its_account() {
    let [loss, burst, impatience] = ALL_BUT_SURGE;
    check_surge(6, &ALL_BUT_SURGE, &[SURGE, loss, burst, impatience]);
}

#[test]
fn a_surge_amid_all_else_is_paid_for_by_its_account_in_a_large_fleet() {
    let [loss, burst, impatience] = ALL_BUT_SURGE;
    check_surge(66, &ALL_BUT_SURGE, &[SURGE, loss, burst, impatience]);
}

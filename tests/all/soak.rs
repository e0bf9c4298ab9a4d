//! Short soak tests of the gateway with fixed seeds.

use std::path::Path;
use std::time::Duration;

use briarshift_soak::plan::Plan;
use briarshift_soak::run::run;

/// Runs the faults and requests of a seed, and checks that no guarantee was violated and that
/// requests were served.
async fn check_seed(seed: u64) {
    check_plan(Plan::new(seed, 3, Duration::from_secs(3))).await;
}

async fn check_plan(plan: Plan) {
    let outcome = run(&plan, Path::new(env!("CARGO_BIN_EXE_briarshift"))).await.unwrap();
    assert!(outcome.violations.is_empty(), "{plan:?}\n{:#?}", outcome.violations);
    assert!(0 < outcome.served);
}

#[actix_rt::test]
async fn guarantees_hold_with_faults_of_seed_11() {
    check_seed(11).await;
}

#[actix_rt::test]
async fn guarantees_hold_with_faults_of_seed_12() {
    check_seed(12).await;
}

/// Requests reached targets whose entries had been deleted, and late bookings of a planned
/// stop were cut off.
#[actix_rt::test]
async fn changes_reach_all_gateways_in_time() {
    check_plan(Plan::changes(21, 4, Duration::from_secs(8))).await;
}

/// Requests ran with keys that had been taken away, after the store had come back from an older
/// copy: this seed failed before gateways followed that.
#[actix_rt::test]
async fn taken_keys_stay_taken_when_the_store_returns_from_a_copy() {
    check_plan(Plan::returns(7102, 3, Duration::from_secs(8))).await;
}

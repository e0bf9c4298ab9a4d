//! At most one VM at a time holds a pool's lock, under all faults.

use proptest::prelude::*;

use super::fleet::{Fault, Fleet, MAX_CONCURRENT_LOADS, MODELS_PER_ENGINE};
use super::model;

/// Steps after which a fleet without faults has one holder and sends no more
/// orders. They cover the expiry of a lease, the start of a new holder, the
/// moves and the loads.
const STABLE_AFTER: u64 = 600;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (1..40_u64).prop_map(Fault::Run),
        2 => (0..3_usize, 1..60_u64).prop_map(|(vm, steps)| Fault::Pause(vm, steps)),
        1 => (1..40_u64).prop_map(Fault::Outage),
        2 => (1..6_u32).prop_map(Fault::LoseReplies),
        2 => (0..45_u64).prop_map(Fault::DelayOrders),
        1 => (1..4_u32).prop_map(Fault::LoseOrders),
        2 => (0..3_usize, 1..50_u32).prop_map(|(model, count)| Fault::Demand(model, count)),
    ]
}

/// Applies faults, ends them, and runs the fleet until it is stable.
fn check(vms: usize, faults: &[Fault]) -> Fleet {
    let mut fleet = Fleet::new(vms, 4);
    for fault in faults {
        fleet.apply(fault);
        assert!(fleet.holders().len() < 2, "{:?} hold at {}", fleet.holders(), fleet.now);
    }
    fleet.end_faults();
    fleet.run(STABLE_AFTER);
    fleet
}

fn sorted<K: Clone + Ord, V: Clone + Ord>(
    map: &std::collections::BTreeMap<K, Vec<V>>,
) -> Vec<(K, Vec<V>)> {
    let sort = |(key, list): (&K, &Vec<V>)| {
        let mut list = list.clone();
        list.sort();
        (key.clone(), list)
    };
    map.iter().map(sort).collect()
}

proptest! {
    /// No order is sent without a valid lease (asserted by the fleet), no two
    /// VMs hold the lock at once, engines that check fencing tokens never
    /// accept an order of an older holder, and all engines, also those that
    /// ignore fencing tokens, end with the models that the last holder wants.
    #[test]
    fn orders_follow_one_holder(faults in prop::collection::vec(fault(), 1..40)) {
        let mut fleet = check(3, &faults);
        let holders = fleet.holders();
        prop_assert_eq!(holders.len(), 1);
        for engine in fleet.engines.iter().step_by(2) {
            prop_assert!(engine.accepted.is_sorted(), "{:?}", engine.accepted);
        }
        prop_assert_eq!(sorted(&fleet.desired_models(holders[0])), sorted(&fleet.held_models()));
        for name in ["a", "b", "c"] {
            let served = fleet.engines.iter().any(|engine| engine.models.contains(&model(name)));
            prop_assert!(served, "no engine holds {}", name);
        }
        for engine in &fleet.engines {
            prop_assert_eq!(engine.models.len(), MODELS_PER_ENGINE as usize);
        }
        let orders = fleet.orders;
        fleet.run(60);
        prop_assert_eq!(fleet.orders, orders, "orders are sent although the fleet is stable");
    }
}

#[test]
fn concurrent_loads_are_limited() {
    let mut fleet = Fleet::new(2, 8);
    for _ in 0..60 {
        fleet.apply(&Fault::Demand(1, 20));
        fleet.apply(&Fault::Demand(2, 20));
        fleet.run(10);
    }
    assert_eq!(fleet.max_loading, MAX_CONCURRENT_LOADS as usize);
    assert_eq!(fleet.held_models().values().flatten().count(), 8 * MODELS_PER_ENGINE as usize);
}

#[test]
fn a_vm_paused_past_its_lease_sends_no_orders() {
    let mut fleet = Fleet::new(2, 4);
    fleet.run(20);
    let first = fleet.holders()[0];
    fleet.apply(&Fault::Pause(first, 60));
    fleet.run(40);
    let second = fleet.holders();
    assert_ne!(second, [first]);
    fleet.run(25);
    assert_eq!(fleet.holders(), second);
    let lost = fleet.log.iter().find(|record| record.event() == "order_lease_lost").unwrap();
    assert_eq!(lost.get("why"), Some("lease_time_over"));
}

#[test]
fn every_order_is_logged_with_its_reason() {
    let mut fleet = Fleet::new(1, 2);
    fleet.run(STABLE_AFTER);
    let lines: Vec<_> = fleet.log.iter().filter(|record| record.event() == "order").collect();
    assert_eq!(lines.len(), fleet.orders);
    assert!(lines.iter().all(|line| line.get("why").is_some() && line.get("fencing").is_some()));
    assert!(lines.iter().any(|line| line.get("why") == Some("unserved")));
}

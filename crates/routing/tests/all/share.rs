//! Shares use the capacity, and no account pays for another one's surge.

use briarshift_routing::share::{Demand, Division, Usage, level};
use briarshift_units::Moment;
use proptest::prelude::*;

fn demand() -> impl Strategy<Value = Demand> {
    (0.0..50.0_f64, 0.5..4.0_f64).prop_map(|(slots, weight)| Demand { slots, weight })
}

proptest! {
    #[test]
    fn shares_use_the_capacity_and_are_max_min(
        demands in prop::collection::vec(demand(), 1..40),
        capacity in 0.1..400.0_f64,
    ) {
        let level = level(&demands, capacity);
        let got = |it: &Demand| it.slots.min(level * it.weight);
        let sum: f64 = demands.iter().map(got).sum();
        let wanted: f64 = demands.iter().map(|it| it.slots).sum();
        prop_assert!((sum - capacity.min(wanted)).abs() < 1e-6);
        let weight: f64 = demands.iter().map(|it| it.weight).sum();
        for it in &demands {
            let share = capacity * it.weight / weight;
            prop_assert!(it.slots.min(share) <= got(it) + 1e-9);
        }
    }

    #[test]
    fn a_surge_does_not_lower_what_others_get_below_their_shares(
        demands in prop::collection::vec(demand(), 2..40),
        capacity in 0.1..400.0_f64,
        factor in 1.0..50.0_f64,
    ) {
        let mut surge = demands.clone();
        surge[0].slots *= factor;
        let level = level(&surge, capacity);
        let weight: f64 = demands.iter().map(|it| it.weight).sum();
        for it in &surge[1..] {
            let share = capacity * it.weight / weight;
            prop_assert!(it.slots.min(share) <= it.slots.min(level * it.weight) + 1e-9);
        }
    }

    #[test]
    fn an_account_passes_its_part(part in 0.0..1.0_f64, priorities in prop::collection::vec(0..4_u8, 200)) {
        let mut usage = Usage::new(Moment(0));
        let mut passed = [0_u32; 4];
        for &priority in &priorities {
            usage.record(1.0, priority, Moment(0));
        }
        for &priority in &priorities {
            passed[usize::from(priority)] += u32::from(usage.take(priority, part, false));
        }
        let sum = f64::from(passed.iter().sum::<u32>());
        prop_assert!(part * 200.0 <= sum + 4.0, "{} of {}", sum, part * 200.0);
        prop_assert!(sum <= part * 200.0 * 1.5 + 8.0, "{} of {}", sum, part * 200.0);
    }
}

#[test]
fn no_account_starves() {
    let demand = |slots| Demand { slots, weight: 1.0 };
    let division = Division::new(&[demand(10_000.0), demand(5.0)], 10.0);
    assert!(0.0001 <= division.part(demand(10_000.0)));
    assert_eq!(division.part(demand(5.0)), 1.0);
}

#[test]
fn what_returns_as_told_goes_before_what_is_new() {
    let mut usage = Usage::new(Moment(0));
    usage.record(1.0, 0, Moment(0));
    assert!(usage.take(0, 0.1, false));
    assert!(usage.take(0, 0.1, true));
    assert!(!usage.take(0, 0.1, true));
    assert!(!usage.take(0, 0.1, false));
}

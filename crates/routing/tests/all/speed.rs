//! Selection of runners by the expected end of their work.

use briarshift_routing::selection::{Bound, Candidate};
use briarshift_routing::speed::{Learned, Loads, Usual, select_runner};
use briarshift_units::{Moment, Span};
use proptest::prelude::{any, prop};
use proptest::{prop_assert, proptest};

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const BOUND: Bound = Bound { factor: 1.8, extra: 3, backlog: 9_000 };

fn runners(loads: &[u32], local: usize) -> Vec<Candidate<'static>> {
    let runner = |(index, &load): (usize, &u32)| Candidate {
        name: NAMES[index],
        load,
        backlog: 0,
        slots: 6,
        local: index < local,
        healthy: true,
        error_rate: 0.0,
    };
    loads.iter().enumerate().map(runner).collect()
}

/// Returns how often each runner is selected in ten thousand draws, if work takes
/// `slowness` times as long at the first ones.
fn counts(runners: &[Candidate<'_>], slowness: &[f64], loads: Loads) -> [usize; 8] {
    let mut counts = [0; 8];
    let mut entropy = 1u64;
    let slowness = |runner: &Candidate<'_>| {
        let index = NAMES.iter().position(|name| *name == runner.name);
        index.and_then(|index| slowness.get(index)).copied().unwrap_or(1.0)
    };
    for _ in 0..10_000 {
        entropy = entropy.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        counts[select_runner(runners, slowness, loads, &BOUND, entropy).unwrap()] += 1;
    }
    counts
}

/// VMs that all believe the same do not all choose the same runner.
#[test]
fn no_herd_forms_on_the_fastest_runner() {
    for loads in [Loads::Recent, Loads::Old(0.3)] {
        let counts = counts(&runners(&[4; 8], 0), &[0.5], loads);
        assert!((1_300..4_500).contains(&counts[0]), "{loads:?} {counts:?}");
    }
}

/// By old loads, a quarter of a pool that takes twice as long gets half as many requests as
/// the others, as long as no queue shows there.
#[test]
fn a_slow_quarter_gets_by_what_it_can_serve() {
    let old = counts(&runners(&[1, 1, 3, 3, 3, 3, 3, 3], 0), &[2.0, 2.0], Loads::Old(0.3));
    assert!((1_000..1_700).contains(&(old[0] + old[1])), "{old:?}");
    let recent = counts(&runners(&[3; 8], 0), &[2.0, 2.0], Loads::Recent);
    assert!(recent[0] + recent[1] < 400, "{recent:?}");
}

#[test]
fn a_slow_local_runner_is_not_preferred() {
    let fast = counts(&runners(&[1; 8], 1), &[1.0], Loads::Recent);
    let slow = counts(&runners(&[1; 8], 1), &[2.5], Loads::Recent);
    assert_eq!(fast[0], 10_000);
    assert!(slow[0] < 500, "{slow:?}");
}

#[test]
fn a_runner_at_its_bound_gets_nothing_while_others_are_below() {
    let counts = counts(&runners(&[9, 1, 1, 1, 1, 1, 1, 1], 0), &[0.1], Loads::Old(0.3));
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// An engine that restarts is not known to be slow: its state is new. One that was slow
/// for a while is soon believed again.
#[test]
fn a_slow_target_that_recovers_is_believed_again() {
    let mut learned = Learned::default();
    let at = |seconds| Moment(0) + Span::from_secs(seconds);
    for second in 0..20 {
        learned.record(2.5, at(second));
    }
    assert!(1.9 < learned.slowness(at(20)));
    for second in 20..60 {
        learned.record(1.0, at(second));
    }
    assert!(learned.slowness(at(60)) < 1.15);
}

#[test]
fn the_kinds_that_are_kept_are_bounded() {
    let mut usual = Usual::default();
    for kind in 0..2_000_u32 {
        usual.record(&kind, 0.1, Moment(u64::from(kind)));
    }
    assert_eq!(usual.len(), 512);
}

proptest! {
    #[test]
    fn a_healthy_runner_below_its_bound_is_selected(
        loads in prop::collection::vec(0u32..50, 1..8),
        down in prop::collection::vec(any::<bool>(), 8),
        slowness in prop::collection::vec(any::<f64>(), 8),
        vm_share in 0.0f64..1.0,
        entropy in any::<u64>(),
    ) {
        let mut runners = runners(&loads, 2);
        for (runner, down) in runners.iter_mut().zip(&down) {
            runner.healthy = !down;
        }
        let slow = |runner: &Candidate<'_>| {
            slowness[NAMES.iter().position(|name| *name == runner.name).unwrap()]
        };
        for loads in [Loads::Recent, Loads::Old(vm_share)] {
            let index = select_runner(&runners, slow, loads, &BOUND, entropy).unwrap();
            prop_assert!(runners[index].healthy || runners.iter().all(|runner| !runner.healthy));
        }
    }

    #[test]
    fn what_is_learned_stays_within_bounds(
        answers in prop::collection::vec((any::<f64>(), any::<u32>()), 0..30),
    ) {
        let mut learned = Learned::default();
        for (ratio, at) in answers {
            learned.record(ratio, Moment(u64::from(at)));
            let slowness = learned.slowness(Moment(u64::from(at)));
            prop_assert!((0.19..5.1).contains(&slowness), "{}", slowness);
        }
    }
}

//! Selection of runners by loads that are older than most requests.

use briarshift_routing::selection::Candidate;
use briarshift_routing::spread::select_runner;
use proptest::prelude::{any, prop};
use proptest::proptest;

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Returns runners of which the first `local` are in this VM's data centre.
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

/// Returns how often each of eight runners is selected in ten thousand draws by
/// a VM whose data centre has a fifth of the VMs.
fn counts(runners: &[Candidate<'_>]) -> [usize; 8] {
    let mut counts = [0; 8];
    let mut entropy = 1u64;
    for _ in 0..10_000 {
        entropy = entropy.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        counts[select_runner(runners, 0.2, entropy).unwrap()] += 1;
    }
    counts
}

/// The only runner of a data centre gets its eighth of the fleet's requests from
/// a fifth of the VMs: 5/8 of theirs, and its part of what they spread.
#[test]
fn the_only_local_runner_gets_no_more_than_its_share() {
    let counts = counts(&runners(&[3; 8], 1));
    assert!((6_200..7_200).contains(&counts[0]), "{counts:?}");
    assert!(counts[1..].iter().all(|&count| (350..650).contains(&count)), "{counts:?}");
}

#[test]
fn small_differences_of_load_do_not_decide() {
    let counts = counts(&runners(&[4, 2, 3, 3, 2, 4, 3, 3], 2));
    assert!(4_500 < counts[0] && 4_500 < counts[1], "{counts:?}");
}

#[test]
fn a_runner_with_a_queue_gets_few_requests() {
    let counts = counts(&runners(&[40, 3, 3, 3, 3, 3, 3, 3], 1));
    assert!(counts[0] < 300, "{counts:?}");
}

proptest! {
    #[test]
    fn only_healthy_runners_are_selected(
        loads in prop::collection::vec(0u32..50, 1..8),
        down in prop::collection::vec(any::<bool>(), 8),
        vm_share in 0.0f64..1.0,
        entropy in any::<u64>(),
    ) {
        let mut runners = runners(&loads, 2);
        for (runner, down) in runners.iter_mut().zip(&down) {
            runner.healthy = !down;
        }
        let index = select_runner(&runners, vm_share, entropy).unwrap();
        let any_healthy = runners.iter().any(|runner| runner.healthy);
        assert!(runners[index].healthy || !any_healthy);
    }
}

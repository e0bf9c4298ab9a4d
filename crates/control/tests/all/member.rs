//! Membership in a fleet of real reducers, under injected faults.

use briarshift_control::{Kind, member::PROBE_INTERVAL};
use briarshift_units::Span;
use briarshift_wire::gossip::Health;
use proptest::prelude::*;

use crate::member_fleet::{Fleet, cases};

/// Probe rounds after the last fault within which all live VMs must agree.
const AGREEMENT_ROUNDS: u64 = 40;
/// Maximum time for which a VM that can be reached may count as dead.
const MAX_REFUTATION_TIME: Span = Span::from_millis(1_000);

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    CutOneWay(usize, usize),
    CutGroups(usize),
    Freeze(usize),
    Loss(u64),
    ListLag(u64),
}

impl Fault {
    fn begin(&self, fleet: &mut Fleet) {
        let count = fleet.nodes.len();
        match *self {
            Self::Kill(vm) | Self::Restart(vm) => fleet.kill(vm % count),
            Self::CutOneWay(from, to) => {
                fleet.cut(|a| a == from % count, |b| b == to % count);
            }
            Self::CutGroups(size) => {
                let size = 1 + size % (count - 1);
                fleet.cut(|a| a < size, |b| size <= b);
                fleet.cut(|a| size <= a, |b| b < size);
            }
            Self::Freeze(vm) => fleet.nodes[vm % count].frozen = true,
            Self::Loss(percent) => fleet.loss = percent,
            Self::ListLag(secs) => fleet.lag = Span::from_secs(secs),
        }
    }

    fn end(&self, fleet: &mut Fleet) {
        let count = fleet.nodes.len();
        match *self {
            Self::Restart(vm) => fleet.start(vm % count),
            Self::Freeze(vm) if fleet.nodes[vm % count].frozen => fleet.resume(vm % count),
            Self::CutOneWay(..) | Self::CutGroups(_) => fleet.cuts.clear(),
            Self::Loss(_) => fleet.loss = 0,
            _ => {}
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        any::<usize>().prop_map(Fault::Kill),
        any::<usize>().prop_map(Fault::Restart),
        any::<(usize, usize)>().prop_map(|(a, b)| Fault::CutOneWay(a, b)),
        any::<usize>().prop_map(Fault::CutGroups),
        any::<usize>().prop_map(Fault::Freeze),
        (5u64..30).prop_map(Fault::Loss),
        (1u64..30).prop_map(Fault::ListLag),
    ]
}

#[derive(Debug, Clone)]
struct Episode {
    fault: Fault,
    begin_ms: u64,
    duration_ms: u64,
}

fn episodes() -> impl Strategy<Value = Vec<Episode>> {
    let episode = (fault(), 0u64..4_000, 200u64..12_000);
    let episode =
        episode.prop_map(|(fault, begin_ms, duration_ms)| Episode { fault, begin_ms, duration_ms });
    prop::collection::vec(episode, 1..=2)
}

/// Injects faults and ends them, with a check after each tick.
fn run_episodes(fleet: &mut Fleet, episodes: &[Episode], mut check: impl FnMut(&Fleet)) {
    let origin = fleet.now;
    let mut steps: Vec<(u64, bool, &Fault)> = Vec::new();
    for episode in episodes {
        steps.push((episode.begin_ms, true, &episode.fault));
        steps.push((episode.begin_ms + episode.duration_ms, false, &episode.fault));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, begins, fault) in steps {
        while fleet.now < origin + Span::from_millis(at) {
            fleet.tick();
            check(fleet);
        }
        if begins {
            fault.begin(fleet);
        } else {
            fault.end(fleet);
        }
    }
}

proptest! {
    // Fewer cases than usual, since each one simulates a fleet for 30 s.
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    #[test]
    fn live_vms_agree_after_faults_heal(
        seed in any::<u64>(),
        vms in 3usize..=12,
        episodes in episodes(),
    ) {
        let mut fleet = Fleet::settled(seed, vms, 2, 3);
        prop_assert_eq!(fleet.disagreements(), Vec::<String>::new(), "before the faults");
        run_episodes(&mut fleet, &episodes, |_| {});
        fleet.run(Span(PROBE_INTERVAL.0 * AGREEMENT_ROUNDS));
        prop_assert_eq!(fleet.disagreements(), Vec::<String>::new());
    }

    #[test]
    fn dead_process_is_never_revived(
        seed in any::<u64>(),
        vms in 4usize..=12,
        victim in any::<usize>(),
        other in episodes(),
    ) {
        let mut fleet = Fleet::settled(seed, vms, 2, 3);
        let victim = victim % vms;
        fleet.kill(victim);
        fleet.run(Span::from_secs(10));
        let dead = fleet.nodes[victim].start;
        let mut revivals = Vec::new();
        let other: Vec<_> = other
            .into_iter()
            .filter(|episode| !matches!(episode.fault, Fault::Restart(_)))
            .collect();
        let mut check = |fleet: &Fleet| {
            for observer in (0..vms).filter(|&index| fleet.is_running(index)) {
                let belief = fleet.belief(observer, victim);
                if belief.is_some_and(|(start, health)| start == dead && health != Health::Dead) {
                    revivals.push((fleet.now, observer, belief));
                }
            }
        };
        run_episodes(&mut fleet, &other, &mut check);
        for _ in 0..500 {
            fleet.tick();
            check(&fleet);
        }
        prop_assert_eq!(revivals, vec![]);
    }

    #[test]
    fn reachable_vm_is_not_dead_for_longer_than_a_refutation(
        seed in any::<u64>(),
        vms in 4usize..=12,
        cut in any::<(usize, usize)>(),
        both_ways in any::<bool>(),
        loss in 0u64..15,
        frozen in any::<usize>(),
    ) {
        // The two VMs of the cut can still reach each other through a third VM.
        let mut fleet = Fleet::settled(seed, vms, 2, 3);
        let (a, b, frozen) = (cut.0 % vms, cut.1 % vms, frozen % vms);
        fleet.loss = loss;
        fleet.cut(|from| from == a, |to| to == b);
        if both_ways {
            fleet.cut(|from| from == b, |to| to == a);
        }
        fleet.nodes[frozen].frozen = true;
        fleet.run(Span::from_secs(6));
        fleet.resume(frozen);
        let mut since = std::collections::BTreeMap::new();
        for _ in 0..600 {
            fleet.tick();
            for pair in (0..vms).flat_map(|a| (0..vms).map(move |b| (a, b))) {
                let dead = fleet.belief(pair.0, pair.1).is_some_and(|(_, h)| h == Health::Dead);
                if !dead {
                    since.remove(&pair);
                    continue;
                }
                let begin = *since.entry(pair).or_insert(fleet.now);
                let lasted = fleet.now.since(begin);
                // The frozen VM counts as dead because it did not answer. Only
                // the time after it resumed is checked.
                prop_assert!(lasted <= MAX_REFUTATION_TIME + PROBE_INTERVAL, "{pair:?} for {lasted}");
            }
        }
    }

    #[test]
    fn leaving_is_known_in_two_rounds(seed in any::<u64>(), vms in 2usize..=60, leaver in any::<usize>()) {
        let mut fleet = Fleet::settled(seed, vms, 2, 3);
        let leaver = leaver % vms;
        fleet.apply(leaver, Kind::Drain);
        fleet.run(Span(PROBE_INTERVAL.0 * 2));
        for observer in (0..vms).filter(|&index| index != leaver) {
            let belief = fleet.belief(observer, leaver).map(|(_, health)| health);
            prop_assert_eq!(belief, Some(Health::Leaving), "vm-{}", observer);
        }
    }

    #[test]
    fn leaving_process_never_becomes_live_again(
        seed in any::<u64>(),
        vms in 3usize..=9,
        leaver in any::<usize>(),
        others in episodes(),
    ) {
        let mut fleet = Fleet::settled(seed, vms, 2, 3);
        let leaver = leaver % vms;
        let start = fleet.nodes[leaver].start;
        fleet.apply(leaver, Kind::Drain);
        fleet.run(Span(PROBE_INTERVAL.0 * 2));
        let mut live = Vec::new();
        run_episodes(&mut fleet, &others, |fleet| {
            for observer in (0..vms).filter(|&index| fleet.is_running(index)) {
                let restarted = fleet.nodes[observer].start != start
                    && fleet.now.since(briarshift_units::Moment(
                        fleet.nodes[observer].start.0.saturating_sub(1_700_000_000_000_000),
                    )) < Span::from_secs(2);
                let state = fleet.nodes[observer].state.as_ref().unwrap();
                let vm = &fleet.nodes[leaver].vm;
                if !restarted && state.members().live().any(|m| &m.vm == vm && m.start == start) {
                    live.push((fleet.now, observer));
                }
            }
        });
        prop_assert_eq!(live, vec![]);
    }
}

#[test]
fn killed_vm_is_dead_on_all_vms_within_six_seconds() {
    for seed in 0..5 {
        let mut fleet = Fleet::settled(seed, 12, 2, 3);
        fleet.kill(5);
        fleet.run(Span::from_secs(6));
        assert_eq!(fleet.disagreements(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn restarted_vm_replaces_its_previous_start() {
    let mut fleet = Fleet::settled(1, 12, 2, 3);
    fleet.kill(5);
    fleet.run(Span::from_millis(200));
    fleet.start(5);
    fleet.run(Span::from_secs(3));
    assert_eq!(fleet.disagreements(), Vec::<String>::new());
}

#[test]
fn listed_vm_that_never_answers_is_not_a_member() {
    let mut fleet = Fleet::new(1, 3, 2, 3);
    fleet.nodes[2].frozen = true;
    fleet.run(Span::from_secs(10));
    let state = fleet.nodes[0].state.as_ref().unwrap();
    let live: Vec<_> = state.members().live().map(|member| member.vm.as_str()).collect();
    assert_eq!(live, ["vm-1"]);
}

#[test]
fn flapping_vm_is_suppressed_from_the_second_return_on() {
    let mut fleet = Fleet::settled(1, 6, 2, 3);
    let is_live = |fleet: &Fleet| {
        let state = fleet.nodes[0].state.as_ref().unwrap();
        state.members().live().any(|member| member.vm.as_str() == "vm-5")
    };
    let mut live = Vec::new();
    for _ in 0..3 {
        fleet.kill(5);
        fleet.run(Span::from_secs(1));
        fleet.start(5);
        fleet.run(Span::from_millis(1_000));
        live.push(is_live(&fleet));
    }
    assert_eq!(live, [true, false, false]);
    fleet.run(Span::from_secs(10));
    assert!(is_live(&fleet));
}

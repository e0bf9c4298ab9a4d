//! The choice of a target.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use briarshift_routing::popularity::replicas;
use briarshift_routing::rank::score;
use briarshift_routing::selection::{Bound, Candidate, Prompt, select_engine, select_runner};
use briarshift_units::ChatKey;
use proptest::prelude::{any, prop};
use proptest::proptest;

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const BOUND: Bound = Bound { factor: 1.8, extra: 3, backlog: 14_000 };

fn seats(loads: &[(u32, u64, bool)]) -> Vec<Candidate<'static>> {
    let seat = |(index, &(load, backlog, sound)): (usize, &(u32, u64, bool))| Candidate {
        name: NAMES[index],
        load,
        backlog,
        slots: 6,
        local: index % 2 == 0,
        healthy: sound,
        error_rate: 0.0,
    };
    loads.iter().enumerate().map(seat).collect()
}

fn most(seats: &[Candidate<'_>]) -> u32 {
    let load: u32 = seats.iter().map(|seat| seat.load).sum();
    (BOUND.factor * f64::from(load + 1) / seats.len() as f64) as u32 + BOUND.extra
}

/// The first engines that a prompt may go to, by sorting all of them.
fn sorted<'a>(seats: &'a [Candidate<'a>], prompt: &Prompt, held: &[u64]) -> Vec<&'a str> {
    let mean = seats.iter().map(|seat| seat.load).sum();
    let mut order: Vec<_> = (0..seats.len()).collect();
    order.sort_by_key(|&seat| Reverse(score(prompt.key, seats[seat].name)));
    order.retain(|&seat| {
        let Candidate { load, backlog, .. } = seats[seat];
        let reads = backlog + prompt.tokens.saturating_sub(held[seat]);
        load < most(seats) && (backlog == 0 || reads <= BOUND.backlog)
    });
    order.truncate(replicas(prompt.share, mean, seats.len()));
    order.into_iter().map(|seat| seats[seat].name).collect()
}

proptest! {
    #[test]
    fn engines_are_looked_at_in_the_order_of_their_ranks(
        loads in prop::collection::vec((0..30_u32, 0..20_000_u64), 1..8),
        held in prop::collection::vec(0..3_000_u64, 8),
        key in any::<u64>(),
        share in 0.0..1.0_f64,
        entropy in any::<u64>(),
    ) {
        let loads: Vec<_> = loads.into_iter().map(|(load, backlog)| (load, backlog, true)).collect();
        let seats = seats(&loads);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share };
        let at = |seat: &Candidate<'_>| held[NAMES.iter().position(|name| *name == seat.name).unwrap()];
        let chosen = seats[select_engine(&seats, &prompt, &BOUND, at, entropy).unwrap()].name;
        let first = sorted(&seats, &prompt, &held);
        assert!(first.is_empty() || first.contains(&chosen));
    }

    #[test]
    fn an_engine_within_its_bound_is_chosen_if_there_is_one(
        loads in prop::collection::vec((0..30_u32, 0..20_000_u64), 1..8),
        key in any::<u64>(),
        share in 0.0..1.0_f64,
        entropy in any::<u64>(),
    ) {
        let loads: Vec<_> = loads.into_iter().map(|(load, backlog)| (load, backlog, true)).collect();
        let seats = seats(&loads);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share };
        let chosen = &seats[select_engine(&seats, &prompt, &BOUND, |_| 0, entropy).unwrap()];
        if seats.iter().any(|seat| seat.load < most(&seats)) {
            assert!(chosen.load < most(&seats));
        }
    }

    #[test]
    fn unsound_targets_are_chosen_only_if_all_are(
        loads in prop::collection::vec((0..9_u32, 0..9_u64, any::<bool>()), 1..8),
        entropy in any::<u64>(),
    ) {
        let seats = seats(&loads);
        let prompt = Prompt { key: ChatKey(entropy), tokens: 3_000, share: 0.1 };
        for chosen in [select_engine(&seats, &prompt, &BOUND, |_| 0, entropy), select_runner(&seats, entropy)] {
            let any_sound = seats.iter().any(|seat| seat.healthy);
            assert!(seats[chosen.unwrap()].healthy || !any_sound);
        }
    }

    #[test]
    fn an_engine_that_leaves_moves_only_its_own_prompts(key in any::<u64>(), gone in 0..8_usize) {
        let all = seats(&[(0, 0, true); 8]);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share: 0.0 };
        let before = all[select_engine(&all, &prompt, &BOUND, |_| 0, key).unwrap()].name;
        let left: Vec<_> = all.iter().copied().filter(|seat| seat.name != NAMES[gone]).collect();
        let after = left[select_engine(&left, &prompt, &BOUND, |_| 0, key).unwrap()].name;
        assert!(before == after || before == NAMES[gone]);
    }
}

#[test]
fn a_popular_prompt_uses_several_engines_and_a_rare_one_a_single_one() {
    let seats = seats(&[(4, 0, true); 8]);
    let used = |share| {
        let prompt = Prompt { key: ChatKey(3), tokens: 3_000, share };
        let chosen = (0..200_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let chosen =
            chosen.map(|entropy| select_engine(&seats, &prompt, &BOUND, |_| 0, entropy).unwrap());
        chosen.collect::<BTreeSet<_>>().len()
    };
    assert_eq!(used(0.01), 1);
    assert_eq!(used(0.25), 4);
}

#[test]
fn no_seat_no_choice() {
    let prompt = Prompt { key: ChatKey(3), tokens: 3_000, share: 0.1 };
    assert_eq!(select_engine(&[], &prompt, &BOUND, |_| 0, 1), None);
    assert_eq!(select_runner(&[], 1), None);
}

#[test]
fn a_failing_runner_is_passed_over() {
    let mut seats = seats(&[(0, 0, true), (1, 0, true)]);
    seats[0].error_rate = 0.5;
    assert_eq!(select_runner(&seats, 9), Some(1));
}

//! Selection of targets by load, health and rank.

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

fn candidates(loads: &[(u32, u64, bool)]) -> Vec<Candidate<'static>> {
    let candidate = |(index, &(load, backlog, healthy)): (usize, &(u32, u64, bool))| Candidate {
        name: NAMES[index],
        load,
        backlog,
        slots: 6,
        local: index % 2 == 0,
        healthy,
        error_rate: 0.0,
    };
    loads.iter().enumerate().map(candidate).collect()
}

fn max_load(candidates: &[Candidate<'_>]) -> u32 {
    let load: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    (BOUND.factor * f64::from(load + 1) / candidates.len() as f64) as u32 + BOUND.extra
}

/// Returns the engines that a prompt may go to, found by sorting all engines.
fn sorted<'a>(candidates: &'a [Candidate<'a>], prompt: &Prompt, cached: &[u64]) -> Vec<&'a str> {
    let load = candidates.iter().map(|candidate| candidate.load).sum();
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_key(|&index| Reverse(score(prompt.key, candidates[index].name)));
    order.retain(|&index| {
        let Candidate { load, backlog, .. } = candidates[index];
        let unread = backlog + prompt.tokens.saturating_sub(cached[index]);
        load < max_load(candidates) && (backlog == 0 || unread <= BOUND.backlog)
    });
    order.truncate(replicas(prompt.share, load, candidates.len()));
    order.into_iter().map(|index| candidates[index].name).collect()
}

proptest! {
    #[test]
    fn selects_among_the_first_ranked_engines(
        loads in prop::collection::vec((0..30_u32, 0..20_000_u64), 1..8),
        cached in prop::collection::vec(0..3_000_u64, 8),
        key in any::<u64>(),
        share in 0.0..1.0_f64,
        entropy in any::<u64>(),
    ) {
        let loads: Vec<_> = loads.into_iter().map(|(load, backlog)| (load, backlog, true)).collect();
        let candidates = candidates(&loads);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share };
        let cached_on = |candidate: &Candidate<'_>|
            cached[NAMES.iter().position(|name| *name == candidate.name).unwrap()];
        let chosen =
            candidates[select_engine(&candidates, &prompt, &BOUND, cached_on, entropy).unwrap()]
                .name;
        let first = sorted(&candidates, &prompt, &cached);
        assert!(first.is_empty() || first.contains(&chosen));
    }

    #[test]
    fn selects_an_engine_within_its_bound_if_any(
        loads in prop::collection::vec((0..30_u32, 0..20_000_u64), 1..8),
        key in any::<u64>(),
        share in 0.0..1.0_f64,
        entropy in any::<u64>(),
    ) {
        let loads: Vec<_> = loads.into_iter().map(|(load, backlog)| (load, backlog, true)).collect();
        let candidates = candidates(&loads);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share };
        let chosen =
            &candidates[select_engine(&candidates, &prompt, &BOUND, |_| 0, entropy).unwrap()];
        if candidates.iter().any(|candidate| candidate.load < max_load(&candidates)) {
            assert!(chosen.load < max_load(&candidates));
        }
    }

    #[test]
    fn selects_unhealthy_targets_only_if_all_are(
        loads in prop::collection::vec((0..9_u32, 0..9_u64, any::<bool>()), 1..8),
        entropy in any::<u64>(),
    ) {
        let candidates = candidates(&loads);
        let prompt = Prompt { key: ChatKey(entropy), tokens: 3_000, share: 0.1 };
        for chosen in [
            select_engine(&candidates, &prompt, &BOUND, |_| 0, entropy),
            select_runner(&candidates, entropy)
        ] {
            let any_healthy = candidates.iter().any(|candidate| candidate.healthy);
            assert!(candidates[chosen.unwrap()].healthy || !any_healthy);
        }
    }

    #[test]
    fn removed_engine_moves_only_its_own_prompts(key in any::<u64>(), removed in 0..8_usize) {
        let all = candidates(&[(0, 0, true); 8]);
        let prompt = Prompt { key: ChatKey(key), tokens: 3_000, share: 0.0 };
        let before = all[select_engine(&all, &prompt, &BOUND, |_| 0, key).unwrap()].name;
        let remaining: Vec<_> =
            all.iter().copied().filter(|other| other.name != NAMES[removed]).collect();
        let after =
            remaining[select_engine(&remaining, &prompt, &BOUND, |_| 0, key).unwrap()].name;
        assert!(before == after || before == NAMES[removed]);
    }
}

#[test]
fn popular_prompt_uses_several_engines_and_rare_one_uses_one() {
    let candidates = candidates(&[(4, 0, true); 8]);
    let used = |share| {
        let prompt = Prompt { key: ChatKey(3), tokens: 3_000, share };
        let chosen = (0..200_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let chosen = chosen
            .map(|entropy| select_engine(&candidates, &prompt, &BOUND, |_| 0, entropy).unwrap());
        chosen.collect::<BTreeSet<_>>().len()
    };
    assert_eq!(used(0.01), 1);
    assert_eq!(used(0.25), 4);
}

#[test]
fn selects_nothing_without_candidates() {
    let prompt = Prompt { key: ChatKey(3), tokens: 3_000, share: 0.1 };
    assert_eq!(select_engine(&[], &prompt, &BOUND, |_| 0, 1), None);
    assert_eq!(select_runner(&[], 1), None);
}

#[test]
fn failing_runner_is_skipped() {
    let mut candidates = candidates(&[(0, 0, true), (1, 0, true)]);
    candidates[0].error_rate = 0.5;
    assert_eq!(select_runner(&candidates, 9), Some(1));
}

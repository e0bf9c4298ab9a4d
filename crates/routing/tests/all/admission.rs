//! No target is loaded beyond the bound. A request waits only if the target that
//! holds its context or all targets that it may run on are full.

use briarshift_routing::admission::{
    Bound, Candidate, Choice, Obstacle, Reason, Request, Snapshot,
};
use briarshift_routing::rank;
use briarshift_units::{ChatKey, Span, StartNumber, TargetId};
use proptest::prelude::*;

fn ids(count: usize) -> Vec<TargetId> {
    (0..count).map(|i| format!("e-{i}").parse().unwrap()).collect()
}

fn candidates<'a>(ids: &'a [TargetId], loads: &[(u32, u32)]) -> Vec<Candidate<'a>> {
    let rows = ids.iter().zip(loads);
    rows.map(|(target, &(interactive, overnight))| Candidate {
        target,
        start: StartNumber(1),
        load: interactive + overnight,
        overnight,
        accepts_all: true,
    })
    .collect()
}

fn check(cached_load: u32, context_wait: u64, expected: Choice) {
    let ids = ids(3);
    let bound = Bound::Fixed(4);
    let candidates = candidates(&ids, &[(cached_load, 0), (4, 0), (0, 0)]);
    let snapshot = Snapshot { candidates, bound, other_load: 0, other_targets: 0 };
    let cached_on = Some((&ids[0], StartNumber(1)));
    let context_wait = Span::from_millis(context_wait);
    let request =
        Request { chat: ChatKey(7), cached_on, avoid: &[], overnight: false, context_wait };
    assert_eq!(snapshot.choose(&request), expected);
}

#[test]
fn prefers_context_then_waits_then_takes_the_least_loaded() {
    check(3, 0, Choice::Candidate(0, Reason::HoldsContext));
    check(4, 5, Choice::WaitForContext);
    check(4, 0, Choice::Candidate(2, Reason::LeastLoaded));
}

#[test]
fn restarted_target_holds_no_context() {
    let ids = ids(2);
    let candidates = candidates(&ids, &[(9, 0), (0, 0)]);
    let snapshot = Snapshot { candidates, bound: Bound::Fixed(9), other_load: 0, other_targets: 0 };
    let cached_on = Some((&ids[0], StartNumber(0)));
    let context_wait = Span::from_secs(1);
    let request =
        Request { chat: ChatKey(7), cached_on, avoid: &[], overnight: false, context_wait };
    assert!(matches!(snapshot.choose(&request), Choice::Candidate(1, _)));
}

#[test]
fn preferred_targets_that_were_skipped_are_listed() {
    let ids = ids(4);
    let mut candidates = candidates(&ids, &[(4, 0), (4, 0), (0, 0), (0, 0)]);
    candidates[3].accepts_all = false;
    let snapshot = Snapshot { candidates, bound: Bound::Fixed(4), other_load: 0, other_targets: 0 };
    let check = |chat: u64, cached: Option<(usize, u64)>, expected: &[(usize, Obstacle)]| {
        let cached_on = cached.map(|(index, start)| (&ids[index], StartNumber(start)));
        let context_wait = Span::ZERO;
        let request =
            Request { chat: ChatKey(chat), cached_on, avoid: &[], overnight: false, context_wait };
        let skipped = snapshot.skipped(&request, 2);
        let found: Vec<_> =
            skipped.iter().map(|skipped| (skipped.target, skipped.reason)).collect();
        let expected: Vec<_> =
            expected.iter().map(|&(index, reason)| (&ids[index], reason)).collect();
        assert_eq!(found, expected, "chat {chat}");
    };
    // The target that holds the context is listed first, whatever its rank.
    let first =
        (0..).find(|&chat| rank::best(ChatKey(chat), &ids, |id| id.as_str()) == Some(&ids[2]));
    let first = first.unwrap();
    check(first, None, &[]);
    check(first, Some((0, 1)), &[(0, Obstacle::Full)]);
    check(first, Some((0, 0)), &[(0, Obstacle::ContextLost)]);
    let wanted = [&ids[0], &ids[1], &ids[3], &ids[2]];
    let last = (0..)
        .find(|&chat| rank::order(ChatKey(chat), ids.iter().collect(), |id| id.as_str()) == wanted);
    let all = [(0, Obstacle::Full), (1, Obstacle::Full), (3, Obstacle::Closed)];
    check(last.unwrap(), None, &all);
}

proptest! {
    #[test]
    fn load_stays_within_the_bound(
        loads in prop::collection::vec((0_u32..40, 0_u32..10), 1..12),
        factor in 1.0..2.0_f64,
        overnight_share in 0.0..1.0_f64,
        other_load in -20_i64..200,
        other_targets in 0_u32..10,
        chat: u64,
        cached in prop::option::of(0_usize..12),
        avoid in prop::collection::vec(0_usize..12, 0..3),
        overnight: bool,
        context_wait in 0_u64..2,
    ) {
        let ids = ids(12);
        let bound = Bound::Mean { factor, overnight_share };
        let snapshot =
            Snapshot { candidates: candidates(&ids, &loads), bound, other_load, other_targets };
        let avoid: Vec<_> = avoid.into_iter().map(|i| ids[i].clone()).collect();
        let cached_on = cached.map(|i| (&ids[i], StartNumber(1)));
        let context_wait = Span(context_wait);
        let request =
            Request { chat: ChatKey(chat), cached_on, avoid: &avoid, overnight, context_wait };
        let cap = snapshot.cap();
        let own: u32 = loads.iter().map(|load| load.0 + load.1).sum();
        let mean = (f64::from(own) + other_load as f64).max(0.0) + 1.0;
        let mean = mean / (loads.len() as f64 + f64::from(other_targets));
        prop_assert_eq!(cap, (factor * mean).ceil() as u32);
        let share = (overnight_share * f64::from(cap)).floor().max(1.0) as u32;
        let has_room = |candidate: &Candidate<'_>| {
            candidate.load < cap && (!overnight || candidate.overnight < share)
        };
        let allowed =
            || snapshot.candidates.iter().filter(|other| !avoid.contains(other.target));
        match snapshot.choose(&request) {
            Choice::Candidate(index, _) => {
                prop_assert!(has_room(&snapshot.candidates[index]));
                prop_assert!(!avoid.contains(snapshot.candidates[index].target));
            }
            Choice::WaitForContext => {
                let holder =
                    cached_on.and_then(|(id, _)| allowed().find(|other| other.target == id));
                prop_assert!(
                    holder.is_some_and(|holder| !has_room(holder)) && Span::ZERO < context_wait
                );
            }
            Choice::WaitForAny => prop_assert!(!allowed().any(has_room)),
            Choice::NoCandidate => prop_assert_eq!(allowed().count(), 0),
        }
    }
}

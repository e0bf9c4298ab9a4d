//! No target is placed on above the bound, and none under it is passed over
//! for one above.

use briarshift_routing::admission::{
    Bound, Candidate, Choice, Obstacle, Reason, Request, Snapshot,
};
use briarshift_routing::rank;
use briarshift_units::{ChatKey, Span, StartNumber, TargetId};
use proptest::prelude::*;

fn ids(count: usize) -> Vec<TargetId> {
    (0..count).map(|i| format!("e-{i}").parse().unwrap()).collect()
}

fn seats<'a>(ids: &'a [TargetId], loads: &[(u32, u32)]) -> Vec<Candidate<'a>> {
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

fn check(held_load: u32, patience: u64, expected: Choice) {
    let ids = ids(3);
    let bound = Bound::Fixed(4);
    let seats = seats(&ids, &[(held_load, 0), (4, 0), (0, 0)]);
    let board = Snapshot { candidates: seats, bound, other_load: 0, other_targets: 0 };
    let held_on = Some((&ids[0], StartNumber(1)));
    let patience = Span::from_millis(patience);
    let want =
        Request { chat: ChatKey(7), held_on, avoid: &[], overnight: false, context_wait: patience };
    assert_eq!(board.choose(&want), expected);
}

#[test]
fn context_first_then_wait_then_rank() {
    check(3, 0, Choice::Candidate(0, Reason::HoldsContext));
    check(4, 5, Choice::WaitForContext);
    check(4, 0, Choice::Candidate(2, Reason::LeastLoaded));
}

#[test]
fn a_restarted_target_holds_no_context() {
    let ids = ids(2);
    let seats = seats(&ids, &[(9, 0), (0, 0)]);
    let board =
        Snapshot { candidates: seats, bound: Bound::Fixed(9), other_load: 0, other_targets: 0 };
    let held_on = Some((&ids[0], StartNumber(0)));
    let patience = Span::from_secs(1);
    let want =
        Request { chat: ChatKey(7), held_on, avoid: &[], overnight: false, context_wait: patience };
    assert!(matches!(board.choose(&want), Choice::Candidate(1, _)));
}

#[test]
fn those_that_come_first_and_were_not_taken_are_named() {
    let ids = ids(4);
    let mut seats = seats(&ids, &[(4, 0), (4, 0), (0, 0), (0, 0)]);
    seats[3].accepts_all = false;
    let board =
        Snapshot { candidates: seats, bound: Bound::Fixed(4), other_load: 0, other_targets: 0 };
    let check = |chat: u64, held: Option<(usize, u64)>, expected: &[(usize, Obstacle)]| {
        let held_on = held.map(|(index, start)| (&ids[index], StartNumber(start)));
        let patience = Span::ZERO;
        let want = Request {
            chat: ChatKey(chat),
            held_on,
            avoid: &[],
            overnight: false,
            context_wait: patience,
        };
        let passed = board.skipped(&want, 2);
        let found: Vec<_> = passed.iter().map(|passed| (passed.target, passed.reason)).collect();
        let expected: Vec<_> = expected.iter().map(|&(index, why)| (&ids[index], why)).collect();
        assert_eq!(found, expected, "chat {chat}");
    };
    // The held target comes first, whatever its rank.
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
    fn the_bound_holds(
        loads in prop::collection::vec((0_u32..40, 0_u32..10), 1..12),
        factor in 1.0..2.0_f64,
        overnight_share in 0.0..1.0_f64,
        other_load in -20_i64..200,
        other_targets in 0_u32..10,
        chat: u64,
        held in prop::option::of(0_usize..12),
        avoid in prop::collection::vec(0_usize..12, 0..3),
        overnight: bool,
        patience in 0_u64..2,
    ) {
        let ids = ids(12);
        let bound = Bound::Mean { factor, overnight_share };
        let board = Snapshot { candidates: seats(&ids, &loads), bound, other_load, other_targets };
        let avoid: Vec<_> = avoid.into_iter().map(|i| ids[i].clone()).collect();
        let held_on = held.map(|i| (&ids[i], StartNumber(1)));
        let patience = Span(patience);
        let want = Request { chat: ChatKey(chat), held_on, avoid: &avoid, overnight, context_wait: patience };
        let cap = board.cap();
        let own: u32 = loads.iter().map(|load| load.0 + load.1).sum();
        let mean = (f64::from(own) + other_load as f64).max(0.0) + 1.0;
        let mean = mean / (loads.len() as f64 + f64::from(other_targets));
        prop_assert_eq!(cap, (factor * mean).ceil() as u32);
        let share = (overnight_share * f64::from(cap)).floor().max(1.0) as u32;
        let open = |seat: &Candidate<'_>| {
            seat.load < cap && (!overnight || seat.overnight < share)
        };
        let allowed = || board.candidates.iter().filter(|seat| !avoid.contains(seat.target));
        match board.choose(&want) {
            Choice::Candidate(index, _) => {
                prop_assert!(open(&board.candidates[index]));
                prop_assert!(!avoid.contains(board.candidates[index].target));
            }
            Choice::WaitForContext => {
                let held = held_on.and_then(|(id, _)| allowed().find(|seat| seat.target == id));
                prop_assert!(held.is_some_and(|seat| !open(seat)) && Span::ZERO < patience);
            }
            Choice::WaitForAny => prop_assert!(!allowed().any(open)),
            Choice::NoCandidate => prop_assert_eq!(allowed().count(), 0),
        }
    }
}

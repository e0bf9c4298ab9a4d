//! The queue is bounded, fair across accounts, and serves interactive requests
//! first.

use briarshift_routing::queue::Queue;
use briarshift_units::AccountId;
use proptest::prelude::*;

fn account(index: u8) -> AccountId {
    format!("a-{index}").parse().unwrap()
}

fn check(pushes: &[(u8, bool)], expected: &[usize]) {
    let mut queue = Queue::default();
    for (item, &(owner, overnight)) in pushes.iter().enumerate() {
        assert_eq!(queue.push(&account(owner), overnight, item, 100), None);
    }
    let positions = queue.positions();
    let served: Vec<_> =
        positions.into_iter().filter_map(|position| queue.dequeue(position)).collect();
    assert_eq!(served, expected);
}

#[test]
fn accounts_are_served_round_robin() {
    check(&[(1, false), (1, false), (1, false), (2, false)], &[0, 3, 1, 2]);
}

#[test]
fn interactive_requests_precede_overnight_ones() {
    check(&[(1, true), (2, true), (1, false)], &[2, 0, 1]);
}

proptest! {
    #[test]
    fn full_queue_evicts_from_the_account_with_most_items(
        pushes in prop::collection::vec((0_u8..5, any::<bool>()), 1..200),
        limit in 1_usize..20,
    ) {
        let mut queue = Queue::default();
        for (owner, overnight) in pushes {
            let count = |queue: &Queue<(u8, bool)>, owner, overnight| {
                queue.iter().filter(|(_, item)| **item == (owner, overnight)).count()
            };
            let evicted = queue.push(&account(owner), overnight, (owner, overnight), limit);
            prop_assert!(queue.len() <= limit);
            let Some((evicted_owner, was_overnight)) = evicted else { continue };
            // Before the eviction, no other account had more items of that priority.
            let had = count(&queue, evicted_owner, was_overnight) + 1;
            prop_assert!((0..5).all(|other| count(&queue, other, was_overnight) <= had));
            prop_assert!(was_overnight || queue.iter().all(|(_, item)| !item.1));
        }
    }
}

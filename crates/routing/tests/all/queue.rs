//! The queue is bounded, fair by account, and interactive work goes first.

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
    let slots = queue.positions();
    let served: Vec<_> = slots.into_iter().filter_map(|slot| queue.dequeue(slot)).collect();
    assert_eq!(served, expected);
}

#[test]
fn accounts_take_turns() {
    check(&[(1, false), (1, false), (1, false), (2, false)], &[0, 3, 1, 2]);
}

#[test]
fn interactive_passes_overnight() {
    check(&[(1, true), (2, true), (1, false)], &[2, 0, 1]);
}

proptest! {
    #[test]
    fn a_full_queue_sheds_who_has_most(
        pushes in prop::collection::vec((0_u8..5, any::<bool>()), 1..200),
        limit in 1_usize..20,
    ) {
        let mut queue = Queue::default();
        for (owner, overnight) in pushes {
            let mine = |queue: &Queue<(u8, bool)>, who, when| {
                queue.iter().filter(|(_, item)| **item == (who, when)).count()
            };
            let shed = queue.push(&account(owner), overnight, (owner, overnight), limit);
            prop_assert!(queue.len() <= limit);
            let Some((who, when)) = shed else { continue };
            // With the shed one, no other account of that priority had more.
            let had = mine(&queue, who, when) + 1;
            prop_assert!((0..5).all(|other| mine(&queue, other, when) <= had));
            prop_assert!(when || queue.iter().all(|(_, item)| !item.1));
        }
    }
}

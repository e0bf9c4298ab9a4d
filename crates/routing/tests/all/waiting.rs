//! The order and the bounds of the queue of requests that wait for room.

use briarshift_routing::waiting::{Bound, Item, Queue, part_of_room};
use briarshift_units::{Moment, RequestId};
use proptest::prelude::*;

const BOUND: Bound = Bound { requests: 100, tokens: 1_000 };

fn item(number: u64, account: u8, priority: u8, excess: f64) -> Item {
    Item {
        request: RequestId(number),
        account: Some(format!("a-{account}").parse().unwrap()),
        priority,
        excess,
        returns: false,
        tokens: 0,
        since: Moment(0),
        until: Moment(100),
        deadline: Moment(1_000),
    }
}

fn check(items: Vec<Item>, at: u64, expected: &[u64]) {
    let mut queue = Queue::default();
    for item in items {
        assert_eq!(queue.push(item, &BOUND), []);
    }
    let order: Vec<_> = queue.in_order(Moment(at)).into_iter().map(|item| item.request.0).collect();
    assert_eq!(order, expected);
}

#[test]
fn priority_goes_before_shares_and_shares_before_turns() {
    let items = vec![
        item(1, 1, 2, 0.0),
        item(2, 2, 1, 5.0),
        item(3, 3, 1, 0.0),
        item(4, 3, 1, 0.0),
        item(5, 4, 1, 0.0),
        Item { returns: true, ..item(6, 3, 1, 0.0) },
    ];
    check(items, 0, &[6, 3, 5, 4, 2, 1]);
}

#[test]
fn among_equals_the_one_with_less_time_goes_first() {
    let soon = Item { deadline: Moment(500), ..item(2, 2, 0, 0.0) };
    check(vec![item(1, 1, 0, 0.0), soon], 0, &[2, 1]);
}

#[test]
fn what_has_waited_for_half_of_its_time_counts_as_urgent() {
    let late = Item { since: Moment(50), until: Moment(150), ..item(2, 2, 1, 0.0) };
    check(vec![item(1, 1, 3, 0.0), late.clone()], 40, &[2, 1]);
    check(vec![item(1, 1, 3, 0.0), late], 60, &[1, 2]);
}

#[test]
fn prompts_are_bounded_by_their_size() {
    let mut queue = Queue::default();
    let large = |number, excess| Item { tokens: 600, ..item(number, 1, 0, excess) };
    queue.push(large(1, 0.0), &BOUND);
    assert_eq!(queue.push(large(2, 1.0), &BOUND)[0].request, RequestId(2));
    queue.remove(RequestId(1));
    assert_eq!(queue.push(large(3, 0.0), &BOUND), []);
}

proptest! {
    #[test]
    fn a_full_queue_loses_the_newest_of_the_account_most_over(
        pushes in prop::collection::vec((0_u8..5, 0_u8..3, 0_u8..4), 1..100),
        requests in 1_usize..20,
    ) {
        let bound = Bound { requests, ..BOUND };
        let mut queue = Queue::default();
        for (number, (account, priority, excess)) in pushes.into_iter().enumerate() {
            let evicted = queue.push(item(number as u64, account, priority, excess.into()), &bound);
            prop_assert!(queue.len() <= requests);
            for gone in evicted {
                let left = queue.in_order(Moment(0));
                prop_assert!(left.iter().all(|it| it.excess <= gone.excess));
            }
        }
    }

    #[test]
    fn the_vms_together_take_little_more_than_the_room(
        free in 0.0..40.0_f64,
        draws in prop::collection::vec(any::<u64>(), 66),
    ) {
        let taken: u32 = draws.iter().map(|draw| part_of_room(free, 66, *draw)).sum();
        prop_assert!(f64::from(taken) <= free + 30.0);
    }
}

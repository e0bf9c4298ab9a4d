//! Ranking moves only the chats of the target that left.

use briarshift_routing::rank::{best, best_weighted, order};
use briarshift_units::ChatKey;
use proptest::prelude::*;

proptest! {
    #[test]
    fn only_chats_of_the_target_that_left_move(chat: u64, count in 2_usize..40, gone in 0_usize..40) {
        let names: Vec<_> = (0..count).map(|i| format!("e-{i}")).collect();
        let gone = &names[gone % count];
        let before = order(ChatKey(chat), names.iter().collect(), |name| name);
        let left = names.iter().filter(|name| *name != gone);
        let after = order(ChatKey(chat), left.clone().collect(), |name| name);
        let expected: Vec<_> = before.into_iter().filter(|name| *name != gone).collect();
        prop_assert_eq!(best(ChatKey(chat), left, |name| name), expected.first().copied());
        prop_assert_eq!(after, expected);
    }

    #[test]
    fn a_part_that_changes_moves_only_its_own_chats(
        chat: u64,
        mut weights in prop::collection::vec(0_u32..50, 1..40),
        part in 0_usize..40,
        weight in 0_u32..50,
    ) {
        let before = best_weighted(ChatKey(chat), weights.iter().copied());
        let part = part % weights.len();
        weights[part] = weight;
        let after = best_weighted(ChatKey(chat), weights.iter().copied());
        prop_assert!(before == after || before == Some(part) || after == Some(part));
        prop_assert!(after.is_none_or(|index| 0 < weights[index]));
    }
}

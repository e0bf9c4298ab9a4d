//! When a target leaves, only the chats that it ranked first for move.

use briarshift_routing::rank::{best, best_weighted, order};
use briarshift_units::ChatKey;
use proptest::prelude::*;

proptest! {
    #[test]
    fn only_chats_of_the_removed_target_move(
        chat: u64,
        count in 2_usize..40,
        removed in 0_usize..40,
    ) {
        let names: Vec<_> = (0..count).map(|i| format!("e-{i}")).collect();
        let removed = &names[removed % count];
        let before = order(ChatKey(chat), names.iter().collect(), |name| name);
        let remaining = names.iter().filter(|name| *name != removed);
        let after = order(ChatKey(chat), remaining.clone().collect(), |name| name);
        let expected: Vec<_> = before.into_iter().filter(|name| *name != removed).collect();
        prop_assert_eq!(best(ChatKey(chat), remaining, |name| name), expected.first().copied());
        prop_assert_eq!(after, expected);
    }

    #[test]
    fn weight_change_moves_chats_only_to_or_from_that_option(
        chat: u64,
        mut weights in prop::collection::vec(0_u32..50, 1..40),
        option in 0_usize..40,
        weight in 0_u32..50,
    ) {
        let before = best_weighted(ChatKey(chat), weights.iter().copied());
        let option = option % weights.len();
        weights[option] = weight;
        let after = best_weighted(ChatKey(chat), weights.iter().copied());
        prop_assert!(before == after || before == Some(option) || after == Some(option));
        prop_assert!(after.is_none_or(|index| 0 < weights[index]));
    }
}

//! Rendezvous ranking of targets for a chat.
//!
//! Each pair of chat and target has a hash; a chat's targets are ordered by
//! it. When a target leaves, only the chats that it ranked first for move.

use std::cmp::Reverse;

use briarshift_units::ChatKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of one named target for a chat; the highest comes first.
///
/// # Examples
///
/// ```
/// use briarshift_routing::rank::score;
/// use briarshift_units::ChatKey;
/// assert_eq!(score(ChatKey(1), "e-1"), score(ChatKey(1), "e-1"));
/// assert_ne!(score(ChatKey(1), "e-1"), score(ChatKey(2), "e-1"));
/// ```
pub fn score(chat: ChatKey, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), chat.0)
}

/// Orders named items for a chat, best first.
///
/// # Examples
///
/// ```
/// use briarshift_routing::rank::order;
/// use briarshift_units::ChatKey;
/// let all = order(ChatKey(9), vec!["a", "b", "c"], |name| name);
/// let without_first = order(ChatKey(9), all[1..].to_vec(), |name| name);
/// assert_eq!(all[1..], without_first);
/// ```
pub fn order<T>(chat: ChatKey, mut items: Vec<T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    items.sort_by_cached_key(|item| Reverse(score(chat, name(item))));
    items
}

/// The best of the named items for a chat, in one pass.
///
/// # Examples
///
/// ```
/// use briarshift_routing::rank::{best, order};
/// use briarshift_units::ChatKey;
/// let names = ["a", "b", "c"];
/// assert_eq!(best(ChatKey(9), names, |name| name), Some(order(ChatKey(9), names.to_vec(), |name| name)[0]));
/// ```
pub fn best<T>(
    chat: ChatKey,
    items: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Option<T> {
    // `min_by_key` keeps the first of equals, as the stable sort above does.
    items.into_iter().min_by_key(|item| Reverse(score(chat, name(item))))
}

/// The best of weighted parts for a chat: each part is best for a share of
/// chats in proportion to its weight, and a part that changes its weight moves
/// only chats to or from itself. `None` if all weights are 0.
///
/// # Examples
///
/// ```
/// use briarshift_routing::rank::best_weighted;
/// use briarshift_units::ChatKey;
/// assert_eq!(best_weighted(ChatKey(9), [0, 3, 0]), Some(1));
/// assert_eq!(best_weighted(ChatKey(9), [0, 0]), None);
/// ```
pub fn best_weighted(chat: ChatKey, weights: impl IntoIterator<Item = u32>) -> Option<usize> {
    let parts = weights.into_iter().enumerate().filter(|(_, weight)| 0 < *weight);
    let cost = |index: usize, weight: u32| {
        let hash = xxh3_64_with_seed(&(index as u64).to_le_bytes(), chat.0);
        // Uniform in (0, 1], from the upper 53 bits.
        let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -uniform.ln() / f64::from(weight)
    };
    let best = parts.min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)));
    best.map(|(index, _)| index)
}

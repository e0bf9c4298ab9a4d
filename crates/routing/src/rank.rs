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

//! An estimate of the prompt prefixes in each engine's cache.
//!
//! Most requests share one of a few dozen long prompt parts. An engine caches
//! the parts it has read and evicts the least recently used ones. Reading a
//! shared part again costs about as much as the request is worth, so a request
//! should go to an engine that has its parts cached. The gateway doesn't ask the
//! engines: it derives their cache contents from the prompts that any VM sent to
//! them. Reports of other VMs' prompts arrive with a delay.

use std::cmp::Reverse;
use std::collections::HashMap;

use briarshift_units::{Moment, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::selection::Part;

/// Time after its last use for which a part is assumed to stay cached. Twice the
/// time after which reading the part again is no longer counted as wasted work.
const TTL: Span = Span::from_secs(30);
/// Fraction of an engine's memory that is assumed to hold shared parts. Running
/// requests and parts that are not shared use the rest.
const SHARED_MEMORY_FRACTION: f64 = 0.6;

/// Time after a prompt was sent for which its request is assumed to run. Most answers are
/// complete by then; the parts that others still use are few beside the engine's memory.
const USE_TIME: Span = Span::from_secs(3);

/// Hash of a prompt part and all parts before it. A cached part can be reused
/// only if all parts before it are cached too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u32);

/// Returns, for each part of a prompt, the prefix that ends with it and the
/// length of the part in tokens.
///
/// # Examples
///
/// ```
/// use briarshift_routing::cache::prefixes;
/// use briarshift_routing::selection::Part;
/// let part = |id| Part { id, tokens: 10 };
/// let (one, two) = (prefixes(&[part(1), part(3)]), prefixes(&[part(2), part(3)]));
/// assert_ne!(one[1], two[1]);
/// ```
pub fn prefixes(parts: &[Part]) -> Vec<(Prefix, u32)> {
    let mut seed = 0;
    let prefix = |part: &Part| {
        seed = xxh3_64_with_seed(&part.id.to_le_bytes(), seed);
        (Prefix(seed as u32), part.tokens)
    };
    parts.iter().map(prefix).collect()
}

/// The estimated contents of one engine's cache.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    /// The length of each part in tokens and the time of its last use.
    parts: HashMap<Prefix, (u32, Moment)>,
    /// Sum of the lengths of `parts`.
    tokens: u64,
}

impl Cache {
    /// Records that a request with these shared parts was sent to the engine.
    /// Evicts the least recently used parts that no longer fit into its memory
    /// of `memory` tokens.
    pub fn record(&mut self, parts: &[(Prefix, u32)], memory: u64, now: Moment) {
        for &(prefix, tokens) in parts {
            if self.parts.insert(prefix, (tokens, now)).is_none() {
                self.tokens += u64::from(tokens);
            }
        }
        while (memory as f64 * SHARED_MEMORY_FRACTION) < self.tokens as f64 {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Returns the number of tokens in the leading parts that are cached.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::cache::{Cache, prefixes};
    /// use briarshift_routing::selection::Part;
    /// use briarshift_units::Moment;
    /// let parts = prefixes(&[Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 50 }]);
    /// let mut cache = Cache::default();
    /// cache.record(&parts[..1], 1_000, Moment(0));
    /// assert_eq!(cache.cached_tokens(&parts, Moment(1)), 100);
    /// cache.record(&parts, 1_000, Moment(2));
    /// assert_eq!(cache.cached_tokens(&parts, Moment(3)), 150);
    /// ```
    pub fn cached_tokens(&self, parts: &[(Prefix, u32)], now: Moment) -> u64 {
        let is_cached = |(prefix, _): &&(Prefix, u32)| {
            self.parts.get(prefix).is_some_and(|(_, used_at)| now.since(*used_at) < TTL)
        };
        parts.iter().take_while(is_cached).map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the tokens of the shared parts that the engine's requests, of which there are
    /// `requests`, are assumed to use if a prompt with these parts joins them: the parts
    /// that were used last, each once, for each request as many as this prompt has.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::cache::{Cache, prefixes};
    /// use briarshift_routing::selection::Part;
    /// use briarshift_units::{Moment, Span};
    /// let parts = prefixes(&[Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 50 }]);
    /// let mut cache = Cache::default();
    /// cache.record(&parts[..1], 1_000, Moment(0));
    /// let other = prefixes(&[Part { id: 3, tokens: 30 }]);
    /// assert_eq!(cache.tokens_in_use(&other, 1, Moment(1)), 130);
    /// assert_eq!(cache.tokens_in_use(&parts, 1, Moment(1)), 150);
    /// assert_eq!(cache.tokens_in_use(&other, 0, Moment(1)), 30);
    /// assert_eq!(cache.tokens_in_use(&[], 1, Moment(0) + Span::from_secs(9)), 0);
    /// ```
    pub fn tokens_in_use(&self, parts: &[(Prefix, u32)], requests: u32, now: Moment) -> u64 {
        let is_other = |prefix: &Prefix| parts.iter().all(|(part, _)| part != prefix);
        let used = self
            .parts
            .iter()
            .filter(|(prefix, (_, used_at))| now.since(*used_at) < USE_TIME && is_other(prefix));
        let mut used: Vec<_> =
            used.map(|(prefix, (tokens, used_at))| (Reverse(*used_at), *prefix, *tokens)).collect();
        let count = (requests as usize).saturating_mul(parts.len());
        if count < used.len() {
            used.select_nth_unstable(count);
            used.truncate(count);
        }
        let own: u64 = parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        own + used.iter().map(|(_, _, tokens)| u64::from(*tokens)).sum::<u64>()
    }

    /// Returns true if the prefix is recorded, even if its last use is longer
    /// ago than the cache is assumed to keep it.
    pub fn contains(&self, prefix: Prefix) -> bool {
        self.parts.contains_key(&prefix)
    }

    /// Returns the parts that are assumed to be cached, with their length in
    /// tokens and the time of their last use.
    pub fn parts(&self, now: Moment) -> Vec<(Prefix, u32, Moment)> {
        let parts =
            self.parts.iter().map(|(prefix, (tokens, used_at))| (*prefix, *tokens, *used_at));
        parts.filter(|(_, _, used_at)| now.since(*used_at) < TTL).collect()
    }

    /// Returns true if nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Removes the parts that are no longer assumed to be cached.
    pub fn prune(&mut self, now: Moment) {
        self.parts.retain(|_, (_, used_at)| now.since(*used_at) < TTL);
        self.tokens = self.parts.values().map(|(tokens, _)| u64::from(*tokens)).sum();
    }

    /// Removes the least recently used part. Returns false if there is none.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(prefix, (_, used_at))| (*used_at, **prefix));
        let Some((&prefix, &(tokens, _))) = oldest else { return false };
        self.parts.remove(&prefix);
        self.tokens -= u64::from(tokens);
        true
    }
}

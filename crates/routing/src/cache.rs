//! What an engine is believed to hold of prompts.
//!
//! Load pattern: a few dozen long prompt parts that most requests share. Each
//! engine keeps what it has read, the least recently used yield. Reading a
//! shared part once more costs as much as the request is worth, so a request
//! goes where its parts are, and this says where that is without asking: what
//! was sent there, by any VM, a while ago at most.

use std::collections::HashMap;

use briarshift_units::{Moment, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::selection::Part;

/// A part is believed to be held for this long after its last use. Twice the
/// time after which reading it again is no loss.
const KEPT: Span = Span::from_secs(30);
/// Share of an engine's memory that is believed to hold shared parts; running
/// requests and parts of their own take the rest.
const SHARED: f64 = 0.6;

/// Names a part with all that stands before it: a part is of use only where
/// these are held too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u32);

/// The prefixes of a prompt's parts, in order.
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
    let chain = |part: &Part| {
        seed = xxh3_64_with_seed(&part.id.to_le_bytes(), seed);
        (Prefix(seed as u32), part.tokens)
    };
    parts.iter().map(chain).collect()
}

/// One engine's parts.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    parts: HashMap<Prefix, (u32, Moment)>,
    tokens: u64,
}

impl Cache {
    /// A request with these shared parts was sent to the engine, whose memory
    /// holds `memory` tokens.
    pub fn record(&mut self, parts: &[(Prefix, u32)], memory: u64, now: Moment) {
        for &(chain, tokens) in parts {
            if self.parts.insert(chain, (tokens, now)).is_none() {
                self.tokens += u64::from(tokens);
            }
        }
        while (memory as f64 * SHARED) < self.tokens as f64 {
            if !self.drop_oldest() {
                break;
            }
        }
    }

    /// Tokens of the leading parts that the engine holds.
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
        let held = |(chain, _): &&(Prefix, u32)| {
            self.parts.get(chain).is_some_and(|(_, at)| now.since(*at) < KEPT)
        };
        parts.iter().take_while(held).map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Whether it holds a part, used lately or not.
    pub fn contains(&self, chain: Prefix) -> bool {
        self.parts.contains_key(&chain)
    }

    /// The parts that it is believed to hold, each with its last use.
    pub fn parts(&self, now: Moment) -> Vec<(Prefix, u32, Moment)> {
        let parts = self.parts.iter().map(|(chain, (tokens, used))| (*chain, *tokens, *used));
        parts.filter(|(_, _, used)| now.since(*used) < KEPT).collect()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Forgets parts that were not used for long.
    pub fn prune(&mut self, now: Moment) {
        self.parts.retain(|_, (_, at)| now.since(*at) < KEPT);
        self.tokens = self.parts.values().map(|(tokens, _)| u64::from(*tokens)).sum();
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(chain, (_, at))| (*at, **chain));
        let Some((&chain, &(tokens, _))) = oldest else { return false };
        self.parts.remove(&chain);
        self.tokens -= u64::from(tokens);
        true
    }
}

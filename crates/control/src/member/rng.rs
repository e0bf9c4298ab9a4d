//! Pseudo-random numbers derived from an event's entropy.

/// A SplitMix64 generator, seeded with one event's entropy.
#[derive(Debug)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(entropy: u64) -> Self {
        Self(entropy)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`, which must not be 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    /// Returns up to `count` of the items, in random order.
    pub(crate) fn sample<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let count = count.min(items.len());
        for index in 0..count {
            let other = index + self.below(items.len() - index);
            items.swap(index, other);
        }
        items.truncate(count);
        items
    }
}

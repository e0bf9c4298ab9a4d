//! Random choices from an event's entropy.

/// A sequence of random numbers drawn from one event's entropy (SplitMix64).
#[derive(Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(entropy: u64) -> Self {
        Self(entropy)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`, which is not 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    /// At most `count` of the items, in random order.
    pub(crate) fn pick<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let count = count.min(items.len());
        for index in 0..count {
            let other = index + self.below(items.len() - index);
            items.swap(index, other);
        }
        items.truncate(count);
        items
    }
}

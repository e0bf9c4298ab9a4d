//! What engines are believed to hold.

use briarshift_routing::cache::{Cache, prefixes};
use briarshift_routing::selection::Part;
use briarshift_units::{Moment, Span};
use proptest::prelude::prop;
use proptest::proptest;

fn parts(ids: &[u64]) -> Vec<(briarshift_routing::cache::Prefix, u32)> {
    prefixes(&ids.iter().map(|&id| Part { id, tokens: 100 }).collect::<Vec<_>>())
}

#[test]
fn a_part_counts_only_behind_the_same_beginning() {
    let mut cache = Cache::default();
    cache.record(&parts(&[1, 2]), 10_000, Moment(0));
    assert_eq!(cache.cached_tokens(&parts(&[1, 2, 3]), Moment(1)), 200);
    assert_eq!(cache.cached_tokens(&parts(&[3, 2]), Moment(1)), 0);
}

#[test]
fn the_least_recently_used_parts_yield() {
    let mut cache = Cache::default();
    for (at, id) in [(0, 1), (1, 2), (2, 1), (3, 3)] {
        cache.record(&parts(&[id]), 400, Moment(at));
    }
    // 0.6 of 400 tokens hold two parts of 100.
    assert_eq!([1, 2, 3].map(|id| cache.cached_tokens(&parts(&[id]), Moment(4))), [100, 0, 100]);
}

#[test]
fn unused_parts_are_forgotten() {
    let mut cache = Cache::default();
    cache.record(&parts(&[1]), 1_000, Moment(0));
    let later = Moment(0) + Span::from_secs(31);
    assert_eq!(cache.cached_tokens(&parts(&[1]), later), 0);
    cache.prune(later);
    assert!(cache.is_empty());
}

proptest! {
    #[test]
    fn no_more_than_the_memory_is_believed_to_be_held(
        reads in prop::collection::vec(prop::collection::vec(0..20_u64, 1..4), 0..60),
    ) {
        let mut cache = Cache::default();
        for (at, ids) in reads.iter().enumerate() {
            cache.record(&parts(ids), 1_000, Moment(at as u64));
        }
        let now = Moment(reads.len() as u64);
        let held: u64 = (0..20).map(|id| cache.cached_tokens(&parts(&[id]), now)).sum();
        assert!(held <= 600);
    }
}

//! Token buckets: no account exceeds its rate limit.

use briarshift_routing::bucket::{Bucket, Rate};
use briarshift_units::{Moment, Span};
use proptest::prelude::*;

proptest! {
    #[test]
    fn rate_limit_holds_over_any_time(
        per_second in 0.5..50.0_f64,
        burst in 1_u32..20,
        intervals in prop::collection::vec(0_u64..400_000, 1..200),
    ) {
        let rate = Rate { per_second, burst: f64::from(burst) };
        let mut at = Moment(0);
        let mut bucket = Bucket::new(rate, at);
        let mut admitted = 0;
        for interval in intervals {
            at = at + Span(interval);
            match bucket.take(rate, at) {
                Ok(()) => admitted += 1,
                // The next request is admitted after the returned time.
                Err(wait) => prop_assert_eq!(bucket.clone().take(rate, at + wait + Span(1)), Ok(())),
            }
            let limit = rate.burst + per_second * at.since(Moment(0)).as_secs_f64() + 1e-6;
            prop_assert!(f64::from(admitted) <= limit);
        }
    }
}

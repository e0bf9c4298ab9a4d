//! A bucket never lets more pass than its rate allows.

use briarshift_routing::bucket::{Bucket, Rate};
use briarshift_units::{Moment, Span};
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_rate_holds_over_any_span(
        per_second in 0.5..50.0_f64,
        burst in 1_u32..20,
        gaps in prop::collection::vec(0_u64..400_000, 1..200),
    ) {
        let rate = Rate { per_second, burst: f64::from(burst) };
        let mut at = Moment(0);
        let mut bucket = Bucket::new(rate, at);
        let mut passed = 0;
        for gap in gaps {
            at = at + Span(gap);
            match bucket.take(rate, at) {
                Ok(()) => passed += 1,
                // After the time named, the next one passes.
                Err(wait) => prop_assert_eq!(bucket.clone().take(rate, at + wait + Span(1)), Ok(())),
            }
            let most = rate.burst + per_second * at.since(Moment(0)).as_secs_f64() + 1e-6;
            prop_assert!(f64::from(passed) <= most);
        }
    }
}

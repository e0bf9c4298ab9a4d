//! Targets that name a limit get requests at its pace.

use briarshift_routing::pace::{Known, Pace};
use briarshift_units::{Moment, RequestRate, Span};
use proptest::prelude::prop;
use proptest::proptest;

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

/// Sends whenever it is permitted, and returns the times in milliseconds.
fn sends(pace: &mut Pace, known: Known, vms: usize, millis: u64) -> Vec<u64> {
    let mut sends = Vec::new();
    for now in 0..millis {
        if pace.permitted_at(known, at(now)) <= at(now) {
            pace.record_send(at(now));
            pace.take_share(vms, at(now));
            sends.push(now);
        }
    }
    sends
}

#[test]
fn shares_add_up_to_the_limit() {
    let all = (0..6_u64).map(|vm| {
        let pace = &mut Pace::new(RequestRate(3_000), 6, at(0), vm * 333_333);
        sends(pace, Known::Own, 6, 20_000).len()
    });
    assert_eq!(all.sum::<usize>(), 60);
}

#[test]
fn what_a_vm_sent_by_the_count_of_all_is_no_debt_to_its_share() {
    let mut pace = Pace::new(RequestRate(3_000), 6, at(0), 0);
    let last = *sends(&mut pace, Known::All, 6, 8_000).last().unwrap();
    assert!(pace.permitted_at(Known::Own, at(8_000)) <= at(last + 2_000));
}

#[test]
fn a_target_without_any_rate_is_still_tried() {
    let mut pace = Pace::new(RequestRate(0), 1, at(0), 0);
    assert_eq!(sends(&mut pace, Known::All, 1, 30_000).len(), 3);
}

proptest! {
    /// Whatever peers send, this VM adds nothing beyond what the limit allows in 4 s.
    #[test]
    fn no_window_exceeds_the_limit_by_own_sends(
        limit in 250..20_000_u64,
        steps in prop::collection::vec((1..400_u64, 0..4_u8), 1..200),
    ) {
        let mut pace = Pace::new(RequestRate(limit), 4, at(0), 0);
        let (mut now, mut all) = (0, Vec::new());
        for (gap, kind) in steps {
            now += gap;
            let within = all.iter().filter(|sent| now - **sent < 4_000).count();
            if kind == 0 {
                pace.record_send(at(now));
                all.push(now);
            } else if pace.permitted_at(Known::All, at(now)) <= at(now) {
                assert!((within as u64) < (limit * 4 / 1_000).max(1));
                pace.record_send(at(now));
                all.push(now);
            }
        }
    }
}

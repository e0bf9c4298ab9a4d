//! The model of a plain service.

use briarshift_model::desk::{Accepted, Desk, Spec};
use briarshift_units::Span;

#[test]
fn slots_then_queue_then_no_room() {
    let mut desk = Desk::new(Spec { slots: 1, queue: 1, work: Span::from_millis(10) });
    let accepted = [1, 2, 3].map(|job| desk.accept(job));
    assert_eq!(accepted, [Accepted::Runs, Accepted::Waits, Accepted::Full]);
    assert_eq!(desk.finish(1), Some(2));
    assert_eq!(desk.finish(2), None);
    assert_eq!(desk.load(), (0, 0));
}

//! The simulated desk runner.

use briarshift_model::desk::{Accepted, Runner, Spec};
use briarshift_units::Span;

#[test]
fn fills_slots_then_queue_then_refuses() {
    let mut runner = Runner::new(Spec { slots: 1, queue: 1, service_time: Span::from_millis(10) });
    let accepted = [1, 2, 3].map(|job| runner.accept(job));
    assert_eq!(accepted, [Accepted::Running, Accepted::Queued, Accepted::Full]);
    assert_eq!(runner.finish(1), Some(2));
    assert_eq!(runner.finish(2), None);
    assert_eq!(runner.load(), (0, 0));
}

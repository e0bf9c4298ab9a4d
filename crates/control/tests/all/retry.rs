//! Retries stay within the pool's budget.

use briarshift_control::request::Outcome;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

use crate::world::{Document, Faults, Response, World, chat};

const ENGINES: usize = 6;

fn engine(n: usize) -> briarshift_units::TargetId {
    format!("chat-{n}").parse().unwrap()
}

proptest! {
    #[test]
    fn with_half_the_engines_refusing_sends_stay_within_the_budget(
        seed in any::<u64>(),
        vms in 1..4_usize,
        arrivals in 50..300_usize,
    ) {
        let mut world = World::new(vms, 0, ENGINES, seed, Faults::default());
        world.refusing_targets = (0..ENGINES / 2).map(engine).collect();
        for n in 0..arrivals {
            world.send(n % vms, chat(n as u64, 0, &format!("body {n}")));
            world.run(25);
        }
        world.run(10_000);
        // Each VM starts with a budget of one retry.
        let most = arrivals as f64 * 1.1 + vms as f64;
        prop_assert!(world.sends as f64 <= most, "{} sends, {} arrivals", world.sends, arrivals);
        prop_assert_eq!(world.responses.len(), arrivals);
        for response in world.responses.values() {
            let Response::Refused(refusal) = response else { continue };
            prop_assert_eq!(refusal.outcome, Outcome::NotRun);
            prop_assert!(refusal.retry_after.is_some());
        }
    }
}

/// Returns the number of sends in each of 12 seconds, with all engines refusing
/// from second 3 to 8.
fn curve(retry_share: f64) -> Vec<usize> {
    const ARRIVALS_A_SECOND: u64 = 30;
    let document = Document { retry_share, ..Document::default() };
    let mut world = World::with_document(1, 0, ENGINES, 1, document);
    let mut curve = Vec::new();
    for second in 0..12 {
        let out = (3..8).contains(&second);
        world.refusing_targets = (0..ENGINES).filter(|_| out).map(engine).collect();
        let before = world.sends;
        for n in 0..ARRIVALS_A_SECOND {
            let request = second * ARRIVALS_A_SECOND + n;
            world.send(0, chat(request, 0, &format!("body {request}")));
            world.run(1_000 / ARRIVALS_A_SECOND);
        }
        curve.push(world.sends - before);
    }
    curve
}

/// Retries stay within the budget during an outage. To print the curves, run
/// `cargo test -p briarshift-control retry -- --nocapture`.
#[test]
fn outage_causes_no_retry_storm() {
    let bounded = curve(0.1);
    println!("sends a second at 30 arrivals, engines refusing from 3 to 8 s");
    let loose = curve(1.0);
    println!("  a retry an arrival: {loose:?}");
    println!("  budget of a tenth: {bounded:?}");
    assert!(loose[3..8].iter().any(|sends| 50 < *sends), "{loose:?}");
    // The budget has accumulated ten retries before the outage and gains three
    // per second.
    assert!(bounded.iter().all(|sends| *sends <= 43), "{bounded:?}");
    assert!(bounded[4..].iter().all(|sends| *sends <= 34), "{bounded:?}");
}

//! Tests of the byte budget over simulated time.

use briarshift_peer::{Budget, Class, Decision};
use briarshift_units::{BytesPerSecond, Moment, Span};
use proptest::prelude::*;

const RATE: u64 = 1_000;

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::Reservation), Just(Class::Document), Just(Class::Gossip)]
}

proptest! {
    #[test]
    fn mean_rate_stays_within_the_budget(
        sends in prop::collection::vec((0u64..200_000, class(), 1usize..3_000), 1..200),
    ) {
        let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
        let (mut now, mut sent, mut documents) = (Moment(0), 0u64, 0u64);
        for (pause, class, bytes) in sends {
            now = now + Span(pause);
            if budget.try_take(now, class, bytes, Span::ZERO) == Decision::Send {
                sent += bytes as u64;
                documents += if class == Class::Document { bytes as u64 } else { 0 };
            }
        }
        let earned = RATE * now.0 / 1_000_000 + 1;
        // Above the refilled tokens the budget allows the full buckets at the start, their
        // overdraft, and the largest debt of documents; each may be exceeded by one frame.
        prop_assert!(sent <= earned + 2 * RATE + 3_000 + documents.min(60 * RATE + 3_000));
    }

    #[test]
    fn every_wait_ends_with_a_send(drain in prop::collection::vec((class(), 1usize..3_000), 0..50), class in class()) {
        let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
        for (class, bytes) in drain {
            budget.try_take(Moment(0), class, bytes, Span::ZERO);
        }
        let mut now = Moment(0);
        for _ in 0..200 {
            match budget.try_take(now, class, 100, now.since(Moment(0))) {
                Decision::Send => return Ok(()),
                Decision::Wait(span) => now = now + span,
            }
        }
        prop_assert!(false, "still waiting at {now}");
    }
}

#[test]
fn gossip_leaves_tokens_for_reservations() {
    let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
    while budget.try_take(Moment(0), Class::Gossip, 100, Span::ZERO) == Decision::Send {}
    assert_eq!(budget.try_take(Moment(0), Class::Reservation, 500, Span::ZERO), Decision::Send);
}

#[test]
fn document_delays_neither_reservations_nor_gossip() {
    let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
    assert_eq!(budget.try_take(Moment(0), Class::Document, 1_000_000, Span::ZERO), Decision::Send);
    assert_eq!(budget.try_take(Moment(0), Class::Gossip, 100, Span::ZERO), Decision::Send);
    assert_eq!(budget.try_take(Moment(0), Class::Reservation, 100, Span::ZERO), Decision::Send);
    assert!(matches!(
        budget.try_take(Moment(0), Class::Document, 1, Span::ZERO),
        Decision::Wait(_)
    ));
}

#[test]
fn reservations_leave_gossip_its_share() {
    let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
    while budget.try_take(Moment(0), Class::Reservation, 100, Span::ZERO) == Decision::Send {}
    assert_eq!(budget.try_take(Moment(0), Class::Gossip, 200, Span::ZERO), Decision::Send);
}

#[test]
fn handshake_does_not_delay_reservations() {
    let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
    budget.charge(Moment(0), 20_000);
    assert_eq!(budget.try_take(Moment(0), Class::Reservation, 100, Span::ZERO), Decision::Send);
}

#[test]
fn reservations_wait_five_milliseconds_at_most() {
    const LIMIT: Span = Span::from_millis(5);
    let mut budget = Budget::new(BytesPerSecond(RATE), Moment(0));
    let wait = loop {
        if let Decision::Wait(wait) =
            budget.try_take(Moment(0), Class::Reservation, 100, Span::ZERO)
        {
            break wait;
        }
    };
    assert!(wait <= LIMIT, "{wait}");
    assert_eq!(budget.excess(), 0);
    assert_eq!(budget.try_take(Moment(0) + LIMIT, Class::Reservation, 100, LIMIT), Decision::Send);
    assert_eq!(budget.excess(), 100);
}

/// Tries to send 100 bytes of gossip every 20 ms for `secs` seconds, which is ten times gossip's
/// own share of a rate of 2,000 bytes per second. After each attempt it takes `reservation_bytes`
/// for reservation messages. Returns the bytes of gossip sent.
fn send_gossip(budget: &mut Budget, from: Moment, secs: u64, reservation_bytes: usize) -> u64 {
    let mut sent = 0;
    for step in 0..secs * 50 {
        let now = from + Span::from_millis(20 * step);
        sent += if budget.try_take(now, Class::Gossip, 100, Span::ZERO) == Decision::Send {
            100
        } else {
            0
        };
        if 0 < reservation_bytes {
            budget.try_take(now, Class::Reservation, reservation_bytes, Span::ZERO);
        }
    }
    sent
}

#[test]
fn gossip_uses_idle_tokens_of_reservations() {
    let mut budget = Budget::new(BytesPerSecond(2_000), Moment(0));
    let sent = send_gossip(&mut budget, Moment(0), 60, 0);
    assert!(2_000 * 59 <= sent, "{sent} bytes in 60 s");
}

#[test]
fn busy_reservations_limit_gossip_to_its_share() {
    let mut budget = Budget::new(BytesPerSecond(2_000), Moment(0));
    let sent = send_gossip(&mut budget, Moment(0), 60, 40);
    assert!(sent <= 500 * 60 + 1_000, "{sent} bytes in 60 s");
}

#[test]
fn gossip_leaves_the_reserved_tokens_of_reservations() {
    let mut budget = Budget::new(BytesPerSecond(2_000), Moment(0));
    send_gossip(&mut budget, Moment(0), 60, 0);
    let now = Moment(60_000_000);
    let mut reserved = 0;
    while budget.try_take(now, Class::Reservation, 100, Span::ZERO) == Decision::Send {
        reserved += 100;
    }
    // Three quarters of the reservation bucket, and the overdraft of one second's bytes.
    assert!(1_125 + 2_000 <= reserved, "{reserved} bytes of reservation messages at once");
}

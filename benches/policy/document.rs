//! The environment document of the bench.

use briarshift_settings::{Account, Document, Engine, Kind, Model, Pool, Priority, Rate};
use briarshift_units::AccountId;

use crate::oracle::PLACE_WAIT;
use crate::scenario::Scenario;

/// The bound's factor.
pub const FACTOR: f64 = 1.25;
/// Accounts with interactive chats, a few of them large.
pub const ACCOUNTS: usize = 10;
/// The account that surges.
pub const SURGING: usize = 1;
/// The account with overnight work.
pub const NIGHT: usize = ACCOUNTS;
/// An account's limit, as a multiple of its usual pace.
const LIMIT: f64 = 2.0;

/// An account's id.
pub fn account(index: usize) -> AccountId {
    format!("account-{index}").parse().expect("digits make an id")
}

/// An account's share of the chats, unscaled.
pub fn weight(index: usize) -> f64 {
    1.0 / (index + 1) as f64
}

/// A document for a scenario.
pub fn document(scenario: &Scenario) -> Document {
    let owner = || "rollenhaus".parse().expect("an id");
    let pool = || "chat".parse().expect("an id");
    let cycle = (scenario.pause + scenario.answer).as_secs_f64();
    let pace = (scenario.chats * scenario.engines) as f64 / cycle;
    let weights: f64 = (0..ACCOUNTS).map(weight).sum();
    let accounts = (0..=NIGHT).map(|index| {
        let usual = pace * weight(index) / weights;
        let night = index == NIGHT;
        let per_second = if night { pace } else { usual * LIMIT };
        Account {
            id: account(index),
            owner: owner(),
            key_sha256: format!("{index:064x}").into(),
            rate: Rate { per_second, burst: (per_second * 2.0).ceil() as u32 + 10 },
            priority: if night { Priority::Overnight } else { Priority::Interactive },
        }
    });
    let kind = Kind::Engine(Engine {
        load_factor: FACTOR,
        place_wait_ms: PLACE_WAIT.as_millis(),
        overnight_share: 0.5,
    });
    Document {
        owners: vec![owner()],
        accounts: accounts.collect(),
        pools: vec![Pool {
            id: pool(),
            owner: owner(),
            kind,
            queue_wait_ms: 10_000,
            queue_length: 2_000,
            retry_share: 0.1,
            orders: None,
        }],
        models: vec![Model { id: "chat".parse().expect("an id"), pool: pool() }],
        ..Document::default()
    }
}

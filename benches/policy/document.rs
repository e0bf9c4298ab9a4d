//! The environment document that the policies run with.

use briarshift_settings::{Account, Document, Engine, Kind, Model, Pool, Priority, Rate};
use briarshift_units::AccountId;

use crate::oracle::CONTEXT_WAIT;
use crate::scenario::Scenario;

/// Bound on an engine's load, as a multiple of the mean load.
pub const LOAD_FACTOR: f64 = 1.25;
/// Number of accounts with interactive chats. A few of them have most of the chats.
pub const INTERACTIVE_ACCOUNTS: usize = 10;
/// Index of the account whose rate rises in a surge.
pub const SURGING_ACCOUNT: usize = 1;
/// Index of the account with overnight requests.
pub const OVERNIGHT_ACCOUNT: usize = INTERACTIVE_ACCOUNTS;
/// Rate limit of an account, as a multiple of its usual rate.
const RATE_LIMIT_FACTOR: f64 = 2.0;

/// Returns the id of the account with this index.
pub fn account_id(index: usize) -> AccountId {
    format!("account-{index}").parse().expect("digits make an id")
}

/// Returns an account's share of the chats, relative to the shares of the others.
pub fn account_weight(index: usize) -> f64 {
    1.0 / (index + 1) as f64
}

/// Builds the document for a scenario.
pub fn build(scenario: &Scenario) -> Document {
    let owner = || "rollenhaus".parse().expect("an id");
    let pool = || "chat".parse().expect("an id");
    let mean_cycle = (scenario.mean_pause + scenario.mean_answer).as_secs_f64();
    let total_rate = (scenario.chats_per_engine * scenario.engines) as f64 / mean_cycle;
    let weights: f64 = (0..INTERACTIVE_ACCOUNTS).map(account_weight).sum();
    let accounts = (0..=OVERNIGHT_ACCOUNT).map(|index| {
        let usual_rate = total_rate * account_weight(index) / weights;
        let overnight = index == OVERNIGHT_ACCOUNT;
        let per_second = if overnight { total_rate } else { usual_rate * RATE_LIMIT_FACTOR };
        Account {
            id: account_id(index),
            owner: owner(),
            key_sha256: format!("{index:064x}").into(),
            rate: Rate { per_second, burst: (per_second * 2.0).ceil() as u32 + 10 },
            priority: if overnight { Priority::Overnight } else { Priority::Interactive },
        }
    });
    let kind = Kind::Engine(Engine {
        load_factor: LOAD_FACTOR,
        place_wait_ms: CONTEXT_WAIT.as_millis(),
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

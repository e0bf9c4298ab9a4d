//! Leases and orders to engines.
//!
//! One VM at a time orders the engines of a pool: the one that holds the key
//! `orders/{pool}` in the platform's store by a lease. Any of the first few
//! VMs by rendezvous rank may take it, so that no VM is set aside and a pool
//! costs the platform the same few calls whatever the size of the fleet.
//!
//! - [`lock`] takes, keeps and gives up the lease. It stops by its own
//!   monotonic clock well before the lease can lapse, and is asked again for
//!   each order, so that a VM that was paused sends nothing when it wakes.
//! - [`plan`] decides which models should be where: a pure function of what
//!   the engines hold and of the demand, with hysteresis.
//! - [`demand`] counts requests by model, older ones less.
//! - [`state`](State) ties them together: it reads the engines' reports back
//!   before the first order, keeps the bound on loads at once, and repeats an
//!   order while the report differs from it.
//!
//! The lease's number goes with each order as its fencing number. Engines that
//! check it refuse an older holder. For those that ignore it an order states
//! the whole wanted state, so that an order that arrives late is put right by
//! the next one: see docs/ORDERS.md for what can happen in between.

pub mod demand;
pub mod lock;
pub mod plan;

mod state;

pub use state::{Policy, State, View, key};

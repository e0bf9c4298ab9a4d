//! Simulates a fleet of gateways under load, in virtual time.
//!
//! The gateways are the real reducers, with all their decisions. Everything
//! around them is simulated: engines that batch requests, read prompts in chunks
//! and cache their parts ([`engine`]), desk runners with a queue ([`desk`]),
//! callers that retry when they are told to, the platform's store and the network
//! ([`fleet`]). A [`scenario`] defines the load and the faults; the [`results`]
//! list what happened to the requests. A run depends only on its scenario and its
//! seed.
//!
//! # Examples
//!
//! ```
//! use briarshift_model::{fleet, scenario};
//! let mut scenario = scenario::steady();
//! scenario.duration = briarshift_units::Span::from_secs(2);
//! let results = fleet::run(&scenario, 1);
//! assert!(0 < results.request_count());
//! ```

pub mod desk;
pub mod engine;
pub mod fleet;
pub mod results;
pub mod scenario;

mod scheduler;
mod store;
mod target;

//! A fleet of gateways under load, in virtual time.
//!
//! The gateways are the real reducers, with all their decisions. What stands
//! around them is modelled: engines that batch, read prompts in chunks and cache
//! their parts ([`engine`]), plain services with a queue ([`desk`]), callers that
//! come back when they are told to, the platform's store and the network
//! ([`fleet`]). A [`scenario`] says what load there is and what goes wrong; a
//! [`results`] what became of the requests. A seed fixes a run.
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

mod clock;
mod store;
mod target;

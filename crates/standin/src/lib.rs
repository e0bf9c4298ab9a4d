//! Small stand-ins for what the router talks to: the platform's service, model
//! engines and desk runners.
//!
//! They speak the published protocols on the loopback interface, keep their own
//! logs of what they ran, and have switches for faults. Tests and the demo
//! judge the router by what the stand-ins observed, never by the router's own
//! counts. Each one starts in process ([`platform::Server::start`],
//! [`engine::Server::start`], [`runner::Server::start`]) or as a subcommand of
//! `briarshift-standin`.
//!
//! The store itself is plain data without input or output
//! ([`store::MemoryStore`]), so that property tests of the reducer use the same
//! semantics with virtual time.

mod serve;

pub mod engine;
pub mod fault;
pub mod platform;
pub mod run;
pub mod runner;
pub mod store;

pub use fault::Fault;

//! Test doubles for the services that the router uses: the platform's service, model engines and
//! desk runners.
//!
//! They implement the published protocols on the loopback interface, record what they ran, and can
//! inject faults. Tests and the demo check the router against these records and never against the
//! router's own counters. Each stand-in can be started in the same process
//! ([`platform::Server::start`], [`engine::Server::start`], [`runner::Server::start`]) or as a
//! subcommand of `briarshift-standin`.
//!
//! The store ([`store::MemoryStore`]) does no input or output, so that property tests of the reducer
//! can use the same semantics with virtual time.

mod serve;

pub mod engine;
pub mod fault;
pub mod platform;
pub mod run;
pub mod runner;
pub mod store;

pub use fault::Fault;

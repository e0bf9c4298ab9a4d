//! The process of an entry VM: control thread, traffic workers and listeners.
//!
//! One thread runs the control reducer as an actor and executes the reducer's
//! effects. The other threads, the workers, serve requests. A worker that has
//! read a request reports its arrival to the control thread, waits for a
//! decision, executes it and reports the result. Workers share no state and
//! make no decisions, so all decisions are made in one sequence of events,
//! which can be replayed.

mod response;
mod caller;
mod clock;
mod control;
mod daemon;
mod driver;
mod exporter;
mod metric;
mod operator;
mod relay;
mod pending;
mod worker;

pub mod gateway;

pub use daemon::{Daemon, Options};
pub use response::{CHAT_TOKEN_HEADER, OUTCOME_HEADER};

//! The entry VM's process: control thread, traffic workers, listeners.
//!
//! One thread runs the control reducer as an actor and carries out its
//! effects; the others carry traffic. A worker that has read a request tells
//! the control thread of its arrival, is told what to do, does it, and tells
//! how it ended. Workers share no state and decide nothing, so every decision
//! has one place in the order of events and can be replayed.

mod answer;
mod caller;
mod clock;
mod control;
mod daemon;
mod driver;
mod exporter;
mod metric;
mod operator;
mod relay;
mod waiting;
mod worker;

pub mod gateway;

pub use answer::{CHAT_TOKEN_HEADER, OUTCOME_HEADER};
pub use daemon::{Daemon, Options};

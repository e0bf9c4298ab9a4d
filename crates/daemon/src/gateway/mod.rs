//! The process of a gateway VM: control thread, traffic thread and listeners.
//!
//! One thread runs the gateway reducer as an actor and executes the reducer's
//! effects; another serves requests. The worker on the traffic thread reports
//! each request that it has read to the control thread, waits for a decision,
//! executes it and reports the result. It makes no decisions of its own, except
//! that it enforces the deadlines that come with a decision.

mod response;
mod caller;
mod clock;
mod connections;
mod control;
mod daemon;
mod link;
mod listener;
mod metric;
mod operator;
mod relay;
mod shared;
mod task;

pub use daemon::{Gateway, Options};

//! Pure routing decisions.
//!
//! Nothing here keeps state between calls that the caller does not hand in,
//! reads a clock or draws random numbers. The control reducer owns the state
//! and calls these functions; the benchmarks and property tests call the same.

pub mod admission;
pub mod bound;
pub mod bucket;
pub mod cache;
pub mod fence;
pub mod health;
pub mod popularity;
pub mod queue;
pub mod rank;
pub mod retry;
pub mod retry_window;
pub mod selection;
pub mod token;

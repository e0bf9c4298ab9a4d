//! Routing decisions as pure functions and plain data structures.
//!
//! This crate reads no clock, draws no random numbers and has no global state:
//! callers pass the time, random bits and all state. The reducers of the control
//! and gateway crates own that state. The benchmarks and property tests call the
//! same functions.

pub mod admission;
pub mod blame;
pub mod bound;
pub mod bucket;
pub mod cache;
pub mod freshness;
pub mod health;
pub mod hedge;
pub mod pace;
pub mod pause;
pub mod popularity;
pub mod queue;
pub mod rank;
pub mod readmission;
pub mod retry;
pub mod retry_window;
pub mod room;
pub mod selection;
pub mod slow_start;
pub mod speed;
pub mod spread;
pub mod token;

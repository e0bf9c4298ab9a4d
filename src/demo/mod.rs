//! A whole fleet on loopback: stand-ins, entry VMs, callers and a tally.
//!
//! `briarshift demo` runs all of it in one process. The integration tests use
//! the same plan and callers around entry VMs that are processes of their own.

pub mod caller;
pub mod provision;
pub mod local_fleet;
pub mod results;
pub mod traffic;

//! A complete fleet on loopback: stand-ins for platform and targets, entry VMs and
//! callers, with the results of a run.
//!
//! `briarshift demo` runs all of it in one process. The integration tests use the
//! same configuration and callers with entry VMs in separate processes.

pub mod caller;
pub mod provision;
pub mod local_fleet;
pub mod results;
pub mod traffic;

//! Integration tests of entry VMs and gateways as processes on loopback, with stand-ins for the
//! platform and the targets.

mod config;
mod failure;
mod fleet;
mod gateway;
mod order;
mod path;
mod refusal;
mod resume;
mod shutdown;
mod soak;
mod usage;

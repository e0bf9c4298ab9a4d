//! Tests of the transport between entry VMs.

mod budget;
mod fixture;
mod transport;
mod queue;
mod refusal;

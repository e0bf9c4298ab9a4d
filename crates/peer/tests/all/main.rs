//! Tests of the transport between entry VMs.

mod budget;
mod fixture;
mod link;
mod queue;
mod refusal;

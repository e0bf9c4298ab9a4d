//! Tests of the simulated targets, and simulations of fleets under heavy load.

mod desk;
mod engine;
mod hedge;
mod replay;
mod uneven;

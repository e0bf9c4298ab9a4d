//! The command line of briarshift, thin over the crates.

pub mod commands;
pub mod demo;

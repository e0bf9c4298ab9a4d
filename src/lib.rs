//! The command line of briarshift. The crates below it do the work.

pub mod commands;
pub mod demo;

//! The reducer of routed services, in virtual time.

mod delegate;
mod drain;
mod kinds;
mod load;
mod poison;
mod prompt;
mod random;
mod start;
mod target;
mod world;

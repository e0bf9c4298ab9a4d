//! Tests of the gateway reducer in virtual time.

mod changes;
mod delegate;
mod drain;
mod fleet;
mod leaving;
mod limit;
mod load;
mod pause;
mod poison;
mod prompt;
mod random;
mod reader;
mod relay;
mod retry;
mod start;
mod target;
mod waiting;
mod world;

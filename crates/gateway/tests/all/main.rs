//! Tests of the gateway reducer in virtual time.

mod changes;
mod cold;
mod configuration;
mod delegate;
mod drain;
mod era;
mod evacuation;
mod explain;
mod fleet;
mod hedge;
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
mod room;
mod start;
mod target;
mod waiting;
mod world;

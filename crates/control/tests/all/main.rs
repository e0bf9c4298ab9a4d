//! Tests of the control reducer's concerns.

mod booking;
mod order;
mod poison;
mod request;
mod retry;
mod usage;
mod world;

//! Tests of the control reducer and its concerns.

mod booking;
mod order;
mod place;
mod poison;
mod request;
mod retry;
mod usage;
mod world;

//! Tests of the control reducer.

mod booking;
mod poison;
mod request;
mod retry;
mod world;

//! Tests of the control reducer.

mod booking;
mod poison;
mod world;

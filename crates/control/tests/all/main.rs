//! Tests of the control reducer's concerns.

mod order;
mod usage;

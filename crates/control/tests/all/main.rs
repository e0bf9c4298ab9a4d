//! Tests of the control reducer's concerns.

mod document;
mod order;
mod usage;

//! Tests of the control reducer.

mod member;
mod member_fleet;
mod target;

//! Tests of the control reducer and its concerns.

mod booking;
mod document;
mod member;
mod member_fleet;
mod order;
mod reservation;
mod poison;
mod request;
mod retry;
mod target;
mod usage;
mod world;

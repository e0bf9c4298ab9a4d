//! Tests of the control reducer and its components.

mod booking;
mod document;
mod member;
mod member_fleet;
mod order;
mod poison;
mod request;
mod reservation;
mod retry;
mod target;
mod usage;
mod world;

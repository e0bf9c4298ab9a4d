//! Tests of the routing decisions.

mod admission;
mod blame;
mod bucket;
mod cache;
mod hedge;
mod pace;
mod queue;
mod rank;
mod retry_window;
mod room;
mod selection;
mod slow_start;
mod speed;
mod spread;
mod token;

//! Tests of the pure routing decisions.

mod board;
mod bucket;
mod queue;
mod rank;
mod token;

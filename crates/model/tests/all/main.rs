//! Replays of load at its worst.

mod desk;
mod engine;
mod replay;

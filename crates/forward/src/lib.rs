//! Forwards requests to targets.
//!
//! What a caller sent reaches the target unchanged but for the fields that
//! this fleet sets, and what the target answered reaches the caller unchanged
//! or not at all. For that a sender must know three things that a general
//! client hides: whether a request was written before its connection ended,
//! whether an answer came whole or was cut off, and which connection was used.
//! The client here owns its connections, over hyper's connection-level HTTP/1
//! client (awc takes a body that was cut off for a whole one).
//!
//! [`HeaderCodec`] is the border to a platform's header names: an adapter reads and
//! writes them, and decides nothing.

mod client;
mod connection;
mod header;
mod lane;

pub mod event;

pub use client::{Client, Options};
pub use connection::{Body, Failure, Request, Response};
pub use header::{HeaderCodec, HeaderError, RequestHeaders, ResponseHeaders, TargetHeaders};
pub use lane::Freshness;

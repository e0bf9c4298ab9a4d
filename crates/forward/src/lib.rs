//! Forwarding of requests to targets.
//!
//! A request reaches the target as the caller sent it, except for the headers
//! that the fleet sets, and a response reaches the caller unchanged or not at
//! all. For this, the sender must know three things that general-purpose
//! clients hide: whether a request was written before its connection ended,
//! whether a response is complete or was cut off, and which connection was
//! used. The [`Client`] here therefore manages its own connections and uses
//! hyper's connection-level HTTP/1 client. (awc reports a body that was cut off
//! as complete.)
//!
//! The [`HeaderCodec`] trait hides the header names of a platform: an adapter
//! implements it and only reads and writes headers.

mod client;
mod connection;
mod header;
mod memory;
mod pool;
mod stream;

pub mod event;

pub use client::{Client, Options};
pub use connection::{Body, Failure, Request, Response};
pub use header::{
    HeaderCodec, HeaderError, Load, RequestHeaders, ResponseHeaders, TargetHeaders, TokenCount,
};
pub use memory::{Buffer, Memory};
pub use pool::Freshness;

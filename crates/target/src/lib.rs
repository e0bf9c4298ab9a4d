//! Clients of model engines and desk runners.
//!
//! The control reducer works with plain data ([`LoadReport`], [`Order`],
//! [`Call`]). The [`TargetClient`] trait does the I/O; [`http`] implements it, and
//! fakes do in tests. The targets publish this protocol:
//!
//! | request | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs a chat; returns JSON, or server-sent events that end with `data: [DONE]`; echoes `X-Request-Id` |
//! | `GET /v1/streams/{id}?after=N` | resumes a stream after event `N` |
//! | `DELETE /v1/streams/{id}` | cancels a stream |
//! | `GET /load` | returns a [`LoadReport`] |
//! | `GET /cache/events?after=N` | returns the [`CacheEvent`]s with a sequence number above `N` |
//! | `POST /orders` | takes an [`Order`] |
//! | any other path | is served by a desk runner; echoes `X-Request-Id` |

mod call;
mod order;
mod report;

pub mod http;
pub mod stream;

pub use call::{Attempt, Body, Call, Failure, Method, Response};
pub use order::{Order, Outcome};
pub use report::{CacheEvent, CacheEventKind, LoadReport};

use std::net::SocketAddr;

use futures::future::LocalBoxFuture;

/// A client of targets, which are identified by address.
pub trait TargetClient {
    /// Sends a call and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if no response head arrived:
    /// [`Failure::NotSent`] only if no byte can have reached the target.
    fn send(
        &self,
        address: SocketAddr,
        call: Call,
    ) -> LocalBoxFuture<'_, Result<Response, Failure>>;

    /// Cancels an attempt, which frees its slot at the target.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the target did not answer.
    fn cancel(&self, address: SocketAddr, id: Attempt) -> LocalBoxFuture<'_, Result<(), Failure>>;

    /// Reads the target's load.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if no valid report arrived.
    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<LoadReport, Failure>>;

    /// Reads the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if no valid response arrived.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Vec<CacheEvent>, Failure>>;

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if no valid response arrived. The engine may have
    /// carried out the order nevertheless.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> LocalBoxFuture<'_, Result<Outcome, Failure>>;
}

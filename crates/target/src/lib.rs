//! Clients of model engines and desk runners.
//!
//! Plain data ([`LoadReport`], [`Order`], [`Call`]) crosses into the control
//! reducer; the [`TargetClient`] trait is the border behind which [`http`] or a fake
//! stands. The protocol, as published by the targets:
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs a chat; JSON, or server-sent events that end in `data: [DONE]`; echoes `X-Request-Id` |
//! | `GET /v1/streams/{id}?after=N` | resumes a stream after event `N` |
//! | `DELETE /v1/streams/{id}` | cancels a stream |
//! | `GET /load` | a [`LoadReport`] |
//! | `GET /cache/events?after=N` | cache [`CacheEvent`]s with a sequence number above `N` |
//! | `POST /orders` | an [`Order`] |
//! | any other path | a desk runner's own call; echoes `X-Request-Id` |

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

/// Talks to targets by address.
pub trait TargetClient {
    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] only if no byte could have reached the target.
    fn send(
        &self,
        address: SocketAddr,
        call: Call,
    ) -> LocalBoxFuture<'_, Result<Response, Failure>>;

    /// Cancels an attempt, so that its place is freed.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the target did not confirm.
    fn cancel(&self, address: SocketAddr, id: Attempt) -> LocalBoxFuture<'_, Result<(), Failure>>;

    /// Reads the target's load.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no report came.
    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<LoadReport, Failure>>;

    /// Reads cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no answer came.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Vec<CacheEvent>, Failure>>;

    /// Gives an engine its wanted state.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no answer came: the order may have been carried out.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> LocalBoxFuture<'_, Result<Outcome, Failure>>;
}

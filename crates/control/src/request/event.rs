//! What workers tell the reducer of a request, and what it decides.

use std::net::SocketAddr;

use briarshift_settings::Call;
use briarshift_target::{Attempt, Failure};
use briarshift_units::{ChatKey, Digest, Moment, RequestId, TargetId};
use smol_str::SmolStr;

use super::{Refusal, Tokens};
use crate::booking;

/// Something about a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// It arrived whole.
    Arrived(Arrival),
    /// An attempt ended.
    Ended {
        /// The attempt.
        id: Attempt,
        /// How.
        end: End,
    },
    /// Its caller is gone.
    CallerGone(RequestId),
}

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Drawn by the worker at random.
    pub request: RequestId,
    /// SHA-256 of the bearer key, if one was sent.
    pub credential: Option<Digest>,
    /// [`super::digest`] of the call and its body.
    pub digest: Digest,
    /// What is wanted.
    pub work: Work,
}

/// What a request wants.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A chat completion.
    Chat {
        /// The model's name.
        model: SmolStr,
        /// The `Briarshift-Chat` token, if one was sent.
        token: Option<SmolStr>,
        /// The chat by header or first messages, used without a valid token.
        chat: ChatKey,
    },
    /// A call to a desk.
    Desk {
        /// The pool's name.
        pool: SmolStr,
        /// Method and first path segment.
        call: Call,
        /// The `Idempotency-Key`, if one was sent.
        key: Option<SmolStr>,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The whole answer was read from the target; for a booking it is kept
    /// for resends.
    Complete {
        /// Tokens used, for a chat.
        tokens: Tokens,
        /// The answer, for a booking.
        response: Option<booking::Response>,
    },
    /// The target refused it unrun (HTTP 429 or 503 with `Retry-After`).
    Refused,
    /// Its stream broke off, and may be resumed.
    Interrupted {
        /// Why.
        failure: Failure,
        /// Number of the last whole event read, 0 if there was none.
        last_event_id: u64,
        /// Whether any of the answer has reached the caller.
        relayed: bool,
    },
    /// It failed.
    Failed {
        /// Why.
        failure: Failure,
        /// Whether any of the answer has reached the caller.
        relayed: bool,
    },
}

/// What a worker does next with its request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Send),
    /// Resume its broken stream where it runs, and go on relaying. A resume
    /// that fails ends the attempt with [`End::Interrupted`] or [`End::Failed`].
    Resume(Resume),
    /// Answer with the outcome of an earlier run.
    Replay(booking::Response),
    /// Refuse it, or break off an answer that has begun.
    Refuse(Refusal),
}

/// One attempt to make.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The attempt.
    pub id: Attempt,
    /// The target.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The chat, for a chat.
    pub chat: Option<ChatKey>,
    /// The token that the answer carries, for a chat.
    pub token: Option<SmolStr>,
    /// Overnight work.
    pub overnight: bool,
    /// The answer must be read whole before it is passed on: a booking.
    pub buffered: bool,
    /// It must not be sent after this moment, but ended with
    /// [`Failure::NotSent`]: the claim it relies on is too old.
    pub send_by: Option<Moment>,
}

/// A broken stream to resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// The attempt whose stream it is.
    pub id: Attempt,
    /// Where its engine listens.
    pub address: SocketAddr,
    /// The last event that arrived.
    pub after: u64,
}

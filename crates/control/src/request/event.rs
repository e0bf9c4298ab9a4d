//! Events that workers report about a request, and decisions of the reducer.

use std::net::SocketAddr;

use briarshift_settings::Call;
use briarshift_target::{Attempt, Failure};
use briarshift_units::{ChatKey, Digest, Moment, RequestId, TargetId};
use smol_str::SmolStr;

use super::{Refusal, Tokens};
use crate::booking;

/// An event of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The request has arrived completely.
    Arrived(Arrival),
    /// An attempt ended.
    Ended {
        /// The attempt.
        id: Attempt,
        /// How it ended.
        end: End,
    },
    /// The caller has disconnected.
    CallerLeft(RequestId),
}

/// A request that has arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request's id, which the worker draws at random.
    pub request: RequestId,
    /// SHA-256 of the bearer key, if one was sent.
    pub credential: Option<Digest>,
    /// [`super::digest`] of the call and its body.
    pub digest: Digest,
    /// What the request asks for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A chat completion.
    Chat {
        /// The model's name.
        model: SmolStr,
        /// The `Briarshift-Chat` token, if one was sent.
        token: Option<SmolStr>,
        /// The chat as derived from a header or from the first messages. Used if
        /// there is no valid token.
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
    /// The complete answer was read from the target.
    Complete {
        /// Tokens used, for a chat.
        tokens: Tokens,
        /// The answer to a booking, which is stored for resends. `None` for
        /// other requests.
        response: Option<booking::Response>,
    },
    /// The target refused the request without running it (HTTP 429 or 503 with
    /// `Retry-After`).
    Refused,
    /// The stream was interrupted and may be resumed.
    Interrupted {
        /// Why it was interrupted.
        failure: Failure,
        /// Number of the last complete event read, 0 if there was none.
        last_event_id: u64,
        /// Whether any of the answer has reached the caller.
        relayed: bool,
    },
    /// The attempt failed.
    Failed {
        /// Why it failed.
        failure: Failure,
        /// Whether any of the answer has reached the caller.
        relayed: bool,
    },
}

/// What a worker does next with its request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send an attempt to a target.
    Send(Send),
    /// Resume the interrupted stream on its engine and continue to relay it. A
    /// resume that fails ends the attempt with [`End::Interrupted`] or
    /// [`End::Failed`].
    Resume(Resume),
    /// Answer with the stored response of an earlier run.
    Replay(booking::Response),
    /// Refuse the request, or abort an answer that has begun.
    Refuse(Refusal),
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The attempt.
    pub id: Attempt,
    /// The target.
    pub target: TargetId,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The chat, for a chat.
    pub chat: Option<ChatKey>,
    /// The token that the answer carries, for a chat.
    pub token: Option<SmolStr>,
    /// Whether this is overnight work.
    pub overnight: bool,
    /// Whether the answer must be read completely before it is relayed, as for a
    /// booking.
    pub buffered: bool,
    /// Time after which the attempt must not be sent but ended with
    /// [`Failure::NotSent`], because the booking's claim is too old by then.
    pub send_by: Option<Moment>,
}

/// An interrupted stream to resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// The attempt that the stream belongs to.
    pub id: Attempt,
    /// The address that its engine listens on.
    pub address: SocketAddr,
    /// Number of the last event that arrived.
    pub after: u64,
}

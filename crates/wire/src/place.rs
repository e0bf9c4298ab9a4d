//! Places on targets.
//!
//! One VM admits for each pool slice and counts its places exactly. Others
//! ask it for a place, and release the place when the request has ended.

use briarshift_units::{AccountId, ChatKey, PoolId, RequestId, Start, TargetId};
use serde::{Deserialize, Serialize};

/// Asks for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The request that needs the place.
    pub request: RequestId,
    /// The pool to be served from.
    pub pool: PoolId,
    /// Who pays.
    pub account: AccountId,
    /// The chat, for ranking.
    pub chat: ChatKey,
    /// Where the chat's context is held, if known.
    pub held_on: Option<(TargetId, Start)>,
    /// Overnight work: yields to interactive chats.
    pub overnight: bool,
    /// Targets this request may not run on (it failed there).
    pub avoid: Vec<TargetId>,
}

/// Why no place was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// Queue full or wait too long.
    Full,
    /// No live target in the pool.
    Empty,
    /// The receiver does not admit for this pool.
    NotAdmitting,
}

/// A place held on a target by the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request that runs there.
    pub request: RequestId,
    /// Where it runs.
    pub target: TargetId,
}

/// What VMs say about places.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Wants a place.
    Ask(Ask),
    /// Gives a place.
    Grant {
        /// The request.
        request: RequestId,
        /// Where it may run.
        target: TargetId,
    },
    /// Gives none.
    Deny {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Denial,
    },
    /// The request has ended, or its caller went away before the grant.
    Release {
        /// The request.
        request: RequestId,
    },
    /// All places the sender holds in a pool, for a new admitting VM.
    Hold {
        /// The pool.
        pool: PoolId,
        /// The places.
        places: Vec<Held>,
    },
}

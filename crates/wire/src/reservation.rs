//! Places on targets.
//!
//! One VM admits for each pool slice and counts its places exactly. Others
//! ask it for a place, and release the place when the request has ended.

use std::net::SocketAddr;

use briarshift_units::{AccountId, ChatKey, PoolId, RequestId, StartNumber, TargetId, VmId};
use serde::{Deserialize, Serialize};

/// Asks for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// The request that needs the place.
    pub request: RequestId,
    /// The pool to be served from.
    pub pool: PoolId,
    /// Who pays.
    pub account: AccountId,
    /// The chat, for ranking.
    pub chat: ChatKey,
    /// Where the chat's context is held, if known.
    pub cached_on: Option<(TargetId, StartNumber)>,
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
    /// No VM could be found that admits for this pool.
    NotAdmitting,
    /// The account is over its limit.
    Limit {
        /// When to try again, in milliseconds.
        retry_after_ms: u32,
    },
}

/// A place held on a target by the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request that runs there.
    pub request: RequestId,
    /// Where it runs.
    pub target: TargetId,
    /// Whether it is overnight work.
    pub overnight: bool,
}

/// A VM, and where it listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// Its peer listener.
    pub address: SocketAddr,
}

/// A part of a pool that one VM admits for: `parts + index`, so that the
/// number tells into how many parts (a power of two) the pool is cut. A whole
/// pool is slice 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slice(pub u32);

/// What VMs say about places.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Wants a place.
    Reserve {
        /// What for.
        requirements: Requirements,
        /// Of which part of the pool.
        slice: Slice,
        /// Time the request has waited already, in milliseconds.
        waited_ms: u32,
        /// The target that holds the context takes work, as the sender
        /// believes.
        context_target_available: bool,
        /// The VM that should have answered and did not.
        unresponsive: Option<VmId>,
        /// Requests of the sender that have ended, carried along.
        released: Vec<RequestId>,
    },
    /// No place yet: the request waits in the sender's queue.
    Queued {
        /// The request.
        request: RequestId,
    },
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
    /// The sender does not admit; another VM does.
    Redirect {
        /// The request.
        request: RequestId,
        /// Who admits, as the sender believes.
        to: Peer,
    },
    /// Requests that have ended, or whose caller went away before the grant.
    Release {
        /// The requests.
        requests: Vec<RequestId>,
    },
    /// The sender is about to admit for a slice: answer with [`Self::Reservations`].
    QueryReservations {
        /// Where the sender listens; the receiver may not know it.
        address: SocketAddr,
        /// The pool.
        pool: PoolId,
        /// The slice.
        slice: Slice,
    },
    /// All places the sender holds in a slice. Sent also before the first
    /// ask to a VM.
    Reservations {
        /// Where the sender listens; the receiver may not know it.
        address: SocketAddr,
        /// The pool.
        pool: PoolId,
        /// The slice.
        slice: Slice,
        /// The places.
        reservations: Vec<Reservation>,
        /// Who admits, as the sender believes, if it is not the receiver.
        admitting_peer: Option<Peer>,
    },
}

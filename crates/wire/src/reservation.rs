//! Reservations on targets.
//!
//! A reservation is the right to run one request on one target. For each slice
//! of a pool, one VM does admission: it grants the reservations and counts them
//! exactly. The other VMs request reservations from it and release them when
//! the requests have ended.

use std::net::SocketAddr;

use briarshift_units::{AccountId, ChatKey, PoolId, RequestId, StartNumber, TargetId, VmId};
use serde::{Deserialize, Serialize};

/// What a request needs from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// The request.
    pub request: RequestId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The client account that it is charged to.
    pub account: AccountId,
    /// Key of its chat, by which targets are ranked.
    pub chat: ChatKey,
    /// The target that holds the chat's context in its cache, with the start
    /// number of that target's process, if known.
    pub cached_on: Option<(TargetId, StartNumber)>,
    /// True for overnight work, which yields to interactive chats.
    pub overnight: bool,
    /// Targets that it may not run on, because it failed there.
    pub avoid: Vec<TargetId>,
}

/// The reason why a reservation was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The queue is full, or the request has waited too long.
    Full,
    /// The pool has no live target.
    Empty,
    /// No VM does admission for this pool.
    NotAdmitting,
    /// The account has exceeded its rate limit.
    Limit {
        /// Time to wait before the next attempt, in milliseconds.
        retry_after_ms: u32,
    },
}

/// A reservation that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request that it is for.
    pub request: RequestId,
    /// The target that may run the request.
    pub target: TargetId,
    /// True for overnight work.
    pub overnight: bool,
}

/// A VM and the address of its peer listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// A slice of a pool, for which one VM does admission.
///
/// The value is `parts + index`. Since `parts`, the number of slices of the
/// pool, is a power of two, the value determines both. Slice 1 is an undivided
/// pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slice(pub u32);

/// A message about reservations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a reservation.
    Reserve {
        /// What the request needs.
        requirements: Requirements,
        /// The slice of the pool that is to serve the request.
        slice: Slice,
        /// Time for which the request has waited already, in milliseconds.
        waited_ms: u32,
        /// True if the sender believes that the target that holds the chat's
        /// context accepts requests.
        context_target_available: bool,
        /// A VM that the sender asked before and that did not answer.
        unresponsive: Option<VmId>,
        /// Requests whose reservations the sender releases with this message.
        released: Vec<RequestId>,
    },
    /// Reports that the request waits in the sender's queue.
    Queued {
        /// The request.
        request: RequestId,
    },
    /// Grants a reservation.
    Grant {
        /// The request.
        request: RequestId,
        /// The target that may run it.
        target: TargetId,
    },
    /// Denies a reservation.
    Deny {
        /// The request.
        request: RequestId,
        /// The reason.
        reason: Denial,
    },
    /// Redirects the request to another VM, because the sender doesn't do
    /// admission for the slice.
    Redirect {
        /// The request.
        request: RequestId,
        /// The VM that does admission, as the sender believes.
        to: Peer,
    },
    /// Releases the reservations of requests that have ended, or whose callers
    /// left before the grant.
    Release {
        /// The requests.
        requests: Vec<RequestId>,
    },
    /// Announces that the sender takes over admission for a slice. The
    /// receiver answers with [`Self::Reservations`].
    QueryReservations {
        /// Address of the sender's peer listener, which the receiver may not
        /// know.
        address: SocketAddr,
        /// The pool.
        pool: PoolId,
        /// The slice of the pool.
        slice: Slice,
    },
    /// Lists all reservations that the sender holds in a slice. Also sent
    /// before the first [`Self::Reserve`] to a VM.
    Reservations {
        /// Address of the sender's peer listener, which the receiver may not
        /// know.
        address: SocketAddr,
        /// The pool.
        pool: PoolId,
        /// The slice of the pool.
        slice: Slice,
        /// The reservations.
        reservations: Vec<Reservation>,
        /// The VM that does admission, as the sender believes, if it is not
        /// the receiver.
        admitting_peer: Option<Peer>,
    },
}

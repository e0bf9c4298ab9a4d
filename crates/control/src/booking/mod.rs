//! Bookings run at most once.
//!
//! Before the first byte of a booking leaves for a runner, its claim is
//! created in the platform's store, on condition that the key is absent. A
//! resend finds the claim: with the outcome, which is replayed, or without,
//! which is answered as unknown after a short wait. The claim names the
//! request that made it, so that a lost answer to the write is told apart from
//! a rival's claim, and writing the same claim again is harmless.
//!
//! A write whose answer is lost may take effect later. The booking is then
//! refused and never sent by this VM, which makes "not run" true whatever
//! becomes of the write; the stray claim it may leave is looked for and
//! deleted by its version.
//!
//! A claim without an outcome is never deleted by age: its VM may be paused
//! between the claim and the send. An outcome is written under a lease of the
//! retention time that nobody renews, so the store deletes it without a call.

mod lease;
mod open;
mod row;
mod state;

use briarshift_units::{AccountId, BookingKey, Digest, PoolId, RequestId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use state::State;

/// A booking to be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// The request that wants to run it.
    pub request: RequestId,
    /// Whose booking it is.
    pub account: AccountId,
    /// The desk.
    pub pool: PoolId,
    /// The caller's key.
    pub key: BookingKey,
    /// SHA-256 of the call and its body.
    pub body: Digest,
    /// How long its outcome is kept.
    pub retention: Span,
}

/// Which call for which request a store answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// The request.
    pub request: RequestId,
    /// Number of the call, so that a late answer is not taken for the one
    /// awaited.
    pub call: u32,
}

/// A booking's answer as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type, if given.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Vec<u8>,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Ours: the booking may be sent.
    Claimed,
    /// Claimed before, perhaps still running: another answer follows, but not
    /// [`Self::Claimed`].
    Waiting,
    /// It ran before.
    Settled(Response),
    /// It ran before; its answer was too long to be kept.
    Ran,
    /// It was claimed before; whether it ran is not known.
    Unsettled,
    /// The key belongs to another body.
    Reused,
    /// The store did not answer; nothing was sent.
    Unavailable,
    /// To a look without a claim: no claim was found.
    Absent,
}

impl Answer {
    fn name(&self) -> &'static str {
        match self {
            Self::Claimed => "claimed",
            Self::Waiting => "waiting",
            Self::Settled(_) => "settled",
            Self::Ran => "ran",
            Self::Unsettled => "unsettled",
            Self::Reused => "reused",
            Self::Unavailable => "unavailable",
            Self::Absent => "absent",
        }
    }
}

/// Tells a request what became of its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// What became of it.
    pub claim: Answer,
}

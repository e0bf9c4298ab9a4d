//! Bookings, which run at most once.
//!
//! Before the first byte of a booking is sent to a runner, its claim is created
//! in the platform's store on condition that the key is absent. A resend, which
//! is a later request with the same key, finds the claim. If the claim has a
//! response, the response is replayed, else the resend is answered as unknown
//! after a short wait. The claim names the request that created it. If the reply
//! to the write is lost, this distinguishes the request's own claim from that of
//! another request, and it makes writing the same claim again harmless.
//!
//! A write whose reply is lost may take effect later. The booking is then
//! refused and this VM never sends it, so that "not run" is true whether or not
//! the write takes effect. The orphaned claim that the write may leave behind is
//! found and deleted by its version.
//!
//! A claim without a response is never deleted because of its age, because its
//! VM may be paused between the claim and the send. A response is written
//! under a lease that is never renewed, so that the store deletes it after the
//! retention time without another call.

mod claim;
mod lease;
mod row;
mod state;

use briarshift_units::{AccountId, BookingKey, Digest, PoolId, RequestId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use state::State;

/// A booking to be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// The request that asks for the booking.
    pub request: RequestId,
    /// The client account that the booking belongs to.
    pub account: AccountId,
    /// The pool of the desk.
    pub pool: PoolId,
    /// The caller's idempotency key.
    pub key: BookingKey,
    /// SHA-256 of the call and its body.
    pub digest: Digest,
    /// How long the response is kept.
    pub retention: Span,
}

/// Identifies the store call that a reply belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The request.
    pub request: RequestId,
    /// Number of the call, which distinguishes a late reply from the awaited
    /// one.
    pub call: u32,
}

/// The answer to a booking as it is stored for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type, if given.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Vec<u8>,
}

/// The status of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// This request holds the claim, so the booking may be sent.
    Claimed,
    /// Another request holds the claim, and its booking may still be running.
    /// Another status follows, but not [`Self::Claimed`].
    Pending,
    /// The booking ran before, with this response.
    Completed(Response),
    /// The booking ran before, but its response was too long to be stored.
    ResponseLost,
    /// Another request holds the claim, and it is unknown whether the booking
    /// ran.
    Unknown,
    /// The key was used for another call or body.
    KeyReused,
    /// The store did not reply, and the booking was not sent.
    Unavailable,
    /// A lookup found no claim.
    Unclaimed,
}

impl Status {
    /// Returns the status as it is written to the log.
    fn name(&self) -> &'static str {
        match self {
            Self::Claimed => "claimed",
            Self::Pending => "waiting",
            Self::Completed(_) => "settled",
            Self::ResponseLost => "ran",
            Self::Unknown => "unsettled",
            Self::KeyReused => "reused",
            Self::Unavailable => "unavailable",
            Self::Unclaimed => "absent",
        }
    }
}

/// The decision about a request's claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// The status of its claim.
    pub status: Status,
}

//! Refusals and their error codes as callers see them.

use std::fmt;

use briarshift_units::Span;
use smol_str::SmolStr;

/// Whether a refused request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// This request did not run and will not run. Earlier requests with the same
    /// `Idempotency-Key` may have run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its answer is lost.
    Ran,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        })
    }
}

/// Why a request is refused. Each message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// No document is in force yet.
    #[error("this VM has no configuration yet: try again in a few seconds")]
    NotReady,
    /// The VM is shutting down.
    #[error("this VM is shutting down: send the request again, another VM will receive it")]
    Draining,
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown: send 'Authorization: Bearer KEY'")]
    Unauthenticated,
    /// No pool serves the model.
    #[error("the model {0:?} is not served: use a model that GET /v1/models lists")]
    UnknownModel(SmolStr),
    /// The desk does not exist.
    #[error("the desk {0:?} does not exist: correct the second segment of the path")]
    UnknownDesk(SmolStr),
    /// A booking was sent without an idempotency key.
    #[error(
        "this call runs at most once and needs a key: send an 'Idempotency-Key' of your choice"
    )]
    KeyMissing,
    /// The idempotency key is no valid identifier.
    #[error("the Idempotency-Key is not valid ({0}): send another key")]
    KeyInvalid(SmolStr),
    /// The idempotency key was used before for another body.
    #[error("the Idempotency-Key was used for another body: use a new key for a new booking")]
    KeyReused,
    /// The account is over its rate limit, for this long.
    #[error("the account is over its request limit: wait for the time in Retry-After")]
    Limit(Span),
    /// No target had capacity in time.
    #[error("no target had capacity in time: wait for the time in Retry-After")]
    Full,
    /// The pool has no target that takes work.
    #[error("the pool has no live target: send the request again later")]
    NoTarget,
    /// The request crashes targets.
    #[error("this request crashed the targets that ran it: change it before sending it again")]
    Poison,
    /// A target went down while it ran the request, and no trial was granted in
    /// time.
    #[error(
        "this request needs a trial after a target went down: wait for the time in Retry-After"
    )]
    Suspect,
    /// The booking could not be claimed in the platform's store.
    #[error(
        "the platform's store is unreachable, so bookings can't run: send the request again later"
    )]
    ClaimFailed,
    /// An earlier request for this booking may have run.
    #[error(
        "an earlier request for this booking may have run with unknown outcome: check at the desk"
    )]
    OutcomeUnknown,
    /// The booking ran, but its answer was not stored.
    #[error("this booking ran, but its answer was too long to be stored: check at the desk")]
    ResponseLost,
    /// The target failed.
    #[error("the target failed ({0}): send the request again if it may be repeated")]
    Target(SmolStr),
}

impl Reason {
    /// Returns a stable code for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownModel(_) => "unknown_model",
            Self::UnknownDesk(_) => "unknown_desk",
            Self::KeyMissing => "idempotency_key_missing",
            Self::KeyInvalid(_) => "idempotency_key_invalid",
            Self::KeyReused => "idempotency_key_reused",
            Self::Limit(_) => "account_limit",
            Self::Full => "no_place",
            Self::NoTarget => "no_target",
            Self::Poison => "poison",
            Self::Suspect => "suspect",
            Self::ResponseLost => "booking_answer_lost",
            Self::ClaimFailed => "platform_unavailable",
            Self::OutcomeUnknown => "booking_unsettled",
            Self::Target(_) => "target_failed",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::UnknownModel(_) | Self::UnknownDesk(_) => 404,
            Self::KeyMissing | Self::KeyInvalid(_) => 400,
            Self::KeyReused | Self::Poison => 422,
            Self::OutcomeUnknown | Self::ResponseLost => 409,
            Self::Limit(_) | Self::Full => 429,
            Self::Target(_) => 502,
            Self::NotReady
            | Self::Draining
            | Self::NoTarget
            | Self::Suspect
            | Self::ClaimFailed => 503,
        }
    }
}

/// The refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// How long the caller should wait before it sends the request again.
    pub retry_after: Option<Span>,
}

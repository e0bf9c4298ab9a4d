//! Refusals, as callers see them.

use std::fmt;

use briarshift_units::Span;
use smol_str::SmolStr;

/// Whether a refused request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// This send was not run and will not be. It says nothing of earlier sends
    /// with the same `Idempotency-Key`.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran; its answer is lost.
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

/// Why a request is refused. The message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// No document is in force yet.
    #[error("this VM has no configuration yet: try again in a few seconds")]
    NotReady,
    /// The VM is shutting down.
    #[error("this VM is shutting down: send the request again, it will reach another")]
    Draining,
    /// No or unknown bearer key.
    #[error("the bearer key is missing or unknown: send 'Authorization: Bearer KEY'")]
    Unauthenticated,
    /// The model is not served.
    #[error("the model {0:?} is not served: GET /v1/models lists those that are")]
    UnknownModel(SmolStr),
    /// The desk does not exist.
    #[error("the desk {0:?} does not exist: check the path's second part")]
    UnknownDesk(SmolStr),
    /// A booking without a key.
    #[error(
        "this call runs at most once and needs a key: send an 'Idempotency-Key' of your choice"
    )]
    KeyMissing,
    /// A key that can't be an identifier.
    #[error("the Idempotency-Key is not usable ({0})")]
    KeyInvalid(SmolStr),
    /// A key used before for another body.
    #[error("the Idempotency-Key was used for another body: use a new key for a new booking")]
    KeyReused,
    /// The account is over its limit, for this long.
    #[error("the account is over its request limit: wait as long as Retry-After says")]
    Limit(Span),
    /// No place in time.
    #[error("no target had a place in time: wait as long as Retry-After says")]
    Full,
    /// No target.
    #[error("the pool has no live target: try again later")]
    NoTarget,
    /// The request crashes targets.
    #[error("this request crashed the targets that ran it: change it before sending it again")]
    Poison,
    /// A target died under the request, and no trial was granted in time.
    #[error(
        "a target died while it ran this request, it waits for a trial: wait as long as Retry-After says"
    )]
    Suspect,
    /// The claim could not be made.
    #[error("the platform's service is out of reach, so no booking can be made: try again later")]
    NoClaim,
    /// An earlier send may have run.
    #[error(
        "an earlier send of this booking may have run, its outcome is not known: check at the desk"
    )]
    Unsettled,
    /// The booking ran, its answer was not kept.
    #[error("this booking ran, its answer was too long to be kept: look at the desk")]
    AnswerLost,
    /// The target failed.
    #[error("the target failed ({0}): send the request again if it may be repeated")]
    Target(SmolStr),
}

impl Reason {
    /// A stable name for programs.
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
            Self::AnswerLost => "booking_answer_lost",
            Self::NoClaim => "platform_unavailable",
            Self::Unsettled => "booking_unsettled",
            Self::Target(_) => "target_failed",
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::UnknownModel(_) | Self::UnknownDesk(_) => 404,
            Self::KeyMissing | Self::KeyInvalid(_) => 400,
            Self::KeyReused | Self::Poison => 422,
            Self::Unsettled | Self::AnswerLost => 409,
            Self::Limit(_) | Self::Full => 429,
            Self::Target(_) => 502,
            Self::NotReady | Self::Draining | Self::NoTarget | Self::Suspect | Self::NoClaim => 503,
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// When to try again.
    pub retry_after: Option<Span>,
}

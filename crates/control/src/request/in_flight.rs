//! The state of one request in flight.

use briarshift_target::Attempt;
use briarshift_units::{
    AccountId, BookingKey, ChatKey, Digest, Fingerprint, Moment, OwnerId, PoolId, RequestId, Span,
    StartNumber, TargetId,
};
use briarshift_wire::poison::Trial;
use briarshift_wire::reservation::Requirements;
use smol_str::SmolStr;

use super::{Reason, Tokens};
use crate::{booking, usage};

/// The class of a request, which determines how it may be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Class {
    /// A chat, which may be repeated, resumed and cancelled.
    Chat { chat: ChatKey, cached_on: Option<(TargetId, StartNumber)>, model: SmolStr },
    /// A desk call that may be repeated.
    Repeatable,
    /// A desk call that runs at most once.
    Booking { key: BookingKey, retention: Span },
}

/// Whether a request needs a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TrialState {
    /// The request is not suspect, as far as this VM knows.
    NotNeeded,
    /// The request waits for its trial.
    Waiting,
    /// The request may run on this target, or runs there.
    Granted(TargetId),
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) account: AccountId,
    pub(super) owner: OwnerId,
    pub(super) pool: PoolId,
    pub(super) class: Class,
    pub(super) fingerprint: Fingerprint,
    pub(super) digest: Digest,
    pub(super) overnight: bool,
    /// How long an attempt may last before its worker is considered lost.
    pub(super) max_duration: Span,
    pub(super) arrived_at: Moment,
    pub(super) reserved_at: Option<Moment>,
    /// Number of the last attempt.
    pub(super) attempt: u32,
    /// The target that the request has a reservation on.
    pub(super) target: Option<TargetId>,
    /// When the current attempt was sent.
    pub(super) sent_at: Option<Moment>,
    pub(super) avoid: Vec<TargetId>,
    pub(super) trial_state: TrialState,
    /// When the claim was requested, while the request holds or awaits one.
    pub(super) claimed_at: Option<Moment>,
    /// Why the request is refused if the lookup of its booking key finds no
    /// claim, or if its retry is not granted.
    pub(super) denial_reason: Option<Reason>,
    pub(super) may_have_run: bool,
    /// Number of times that the attempt's stream was resumed.
    pub(super) resumes: u32,
    /// Whether the caller has disconnected while its booking runs to its end.
    pub(super) caller_left: bool,
}

impl Request {
    pub(super) fn is_booking(&self) -> bool {
        matches!(self.class, Class::Booking { .. })
    }

    pub(super) fn attempt(&self) -> Attempt {
        Attempt { request: self.id, number: self.attempt }
    }

    /// Returns the booking to claim, or `None` if the request is no booking.
    pub(super) fn booking(&self) -> Option<booking::Booking> {
        let Class::Booking { key, retention } = &self.class else { return None };
        Some(booking::Booking {
            request: self.id,
            account: self.account.clone(),
            pool: self.pool.clone(),
            key: key.clone(),
            digest: self.digest,
            retention: *retention,
        })
    }

    /// Returns the requirements of the reservation it needs. Equal desk calls
    /// rank targets equally, so that copies of a request that crashes its
    /// targets are sent to the same one.
    pub(super) fn requirements(&self) -> Requirements {
        let (chat, cached_on) = match &self.class {
            Class::Chat { chat, cached_on, .. } => (*chat, cached_on.clone()),
            _ => (ChatKey(self.fingerprint.0), None),
        };
        Requirements {
            request: self.id,
            pool: self.pool.clone(),
            account: self.account.clone(),
            chat,
            cached_on,
            overnight: self.overnight,
            avoid: self.avoid.clone(),
        }
    }

    /// Returns the usage to record when the request is answered or refused. Must
    /// be called before the request releases its reservation.
    pub(super) fn sample(&self, queued: Span, tokens: Tokens) -> usage::Sample {
        let (model, cached_on) = match &self.class {
            Class::Chat { model, cached_on, .. } => (Some(model.clone()), cached_on.as_ref()),
            _ => (None, None),
        };
        let returning = match cached_on {
            None => usage::Return::NotReturning,
            Some((target, _)) if self.target.as_ref() == Some(target) => usage::Return::SameEngine,
            Some(_) => usage::Return::OtherEngine,
        };
        usage::Sample {
            owner: self.owner.clone(),
            account: self.account.clone(),
            pool: self.pool.clone(),
            model,
            tokens,
            queued,
            booked: false,
            refused: false,
            returning,
        }
    }

    pub(super) fn trial(&self, running: Option<TargetId>) -> Trial {
        let (pool, fingerprint) = (self.pool.clone(), self.fingerprint);
        Trial { request: self.id, fingerprint, pool, running }
    }
}

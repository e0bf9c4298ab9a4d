//! One request in flight.

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

/// What may be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Flavour {
    /// A chat: may be repeated, resumed and cancelled.
    Chat { chat: ChatKey, held_on: Option<(TargetId, StartNumber)>, model: SmolStr },
    /// A desk call that may be repeated.
    Repeatable,
    /// A desk call that runs at most once.
    Booking { key: BookingKey, retention: Span },
}

/// How a request stands with regard to trials.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// It is not suspect, as far as this VM knows.
    Clean,
    /// It waits for its trial.
    Waiting,
    /// It may run on this target, or does.
    Tried(TargetId),
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) account: AccountId,
    pub(super) owner: OwnerId,
    pub(super) pool: PoolId,
    pub(super) flavour: Flavour,
    pub(super) fingerprint: Fingerprint,
    pub(super) body: Digest,
    pub(super) overnight: bool,
    /// How long an attempt may last before its worker counts as gone.
    pub(super) limit: Span,
    pub(super) arrived: Moment,
    pub(super) placed: Option<Moment>,
    /// Number of the last attempt.
    pub(super) attempt: u32,
    /// Its place.
    pub(super) target: Option<TargetId>,
    /// When the attempt under way was sent.
    pub(super) sent: Option<Moment>,
    pub(super) avoid: Vec<TargetId>,
    pub(super) suspicion: Suspicion,
    /// When its claim was asked for, while it holds one.
    pub(super) claimed: Option<Moment>,
    /// What it is refused with, if the look at its key finds nothing, or its
    /// retry is not granted.
    pub(super) denied: Option<Reason>,
    pub(super) may_have_run: bool,
    /// Times the attempt's stream was resumed.
    pub(super) resumes: u32,
    /// The caller is gone; the booking is seen through.
    pub(super) detached: bool,
}

impl Request {
    pub(super) fn is_booking(&self) -> bool {
        matches!(self.flavour, Flavour::Booking { .. })
    }

    pub(super) fn attempt(&self) -> Attempt {
        Attempt { request: self.id, number: self.attempt }
    }

    /// The booking to claim, for a booking.
    pub(super) fn booking(&self) -> Option<booking::Booking> {
        let Flavour::Booking { key, retention } = &self.flavour else { return None };
        Some(booking::Booking {
            request: self.id,
            account: self.account.clone(),
            pool: self.pool.clone(),
            key: key.clone(),
            body: self.body,
            retention: *retention,
        })
    }

    /// The place it needs. Equal desk calls rank targets equally, so that
    /// copies of a request that crashes its target meet the same one.
    pub(super) fn ask(&self) -> Requirements {
        let (chat, held_on) = match &self.flavour {
            Flavour::Chat { chat, held_on, .. } => (*chat, held_on.clone()),
            _ => (ChatKey(self.fingerprint.0), None),
        };
        Requirements {
            request: self.id,
            pool: self.pool.clone(),
            account: self.account.clone(),
            chat,
            cached_on: held_on,
            overnight: self.overnight,
            avoid: self.avoid.clone(),
        }
    }

    /// What it used, as it is answered or refused. To be asked before it gives
    /// its place back.
    pub(super) fn sample(&self, queued: Span, tokens: Tokens) -> usage::Sample {
        let (model, held_on) = match &self.flavour {
            Flavour::Chat { model, held_on, .. } => (Some(model.clone()), held_on.as_ref()),
            _ => (None, None),
        };
        let returning = match held_on {
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

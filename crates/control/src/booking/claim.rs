//! The state machine of one claim, driven by the store's replies.

use briarshift_store::{Entry, Error, Reply, Version};
use briarshift_units::{Moment, Span};

use super::row::{Ownership, classify};
use super::{Booking, Response, Status};

/// Number of calls without a usable reply after which claiming fails.
const MAX_CLAIM_ATTEMPTS: u32 = 2;
/// Maximum number of attempts to find or delete an unused claim, which takes
/// about two minutes.
const MAX_DELETE_ATTEMPTS: u32 = 10;
/// Shortest delay before a call is made. It doubles with each attempt that was
/// made in the phase.
const MIN_RETRY_DELAY: Span = Span::from_millis(250);
/// Longest delay between two attempts.
const MAX_RETRY_DELAY: Span = Span::from_secs(30);

/// The phase of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim is being written.
    Write,
    /// The key is being read after a conflict.
    ReadConflict,
    /// The response to another request's booking is awaited. Its claim has this
    /// version.
    AwaitResponse(Version),
    /// The key is being read without claiming it.
    LookUp,
    /// The claim is held, and the booking runs or is about to.
    Held(Version),
    /// The response is being written or waits for a lease.
    StoreResponse(Version, Response),
    /// The key is being read after a conflict when the response was written.
    VerifyResponse(Version, Response),
    /// The claim is being deleted because its booking was not sent.
    Delete(Version),
    /// The key is being read to find a claim whose write may take effect late.
    FindOrphan,
}

/// What to do after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Make the call of the phase at once.
    Call,
    /// Make the call of the phase after a delay.
    Retry,
    /// Do nothing until the request ends.
    Hold,
    /// Remove the claim from the state.
    Remove,
}

/// The action that follows a reply, and the status to report to the request, if
/// any.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Transition {
    pub(super) status: Option<Status>,
    pub(super) action: Action,
}

impl From<Action> for Transition {
    fn from(action: Action) -> Self {
        Self { status: None, action }
    }
}

/// A claim in flight on this VM.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) booking: Booking,
    pub(super) phase: Phase,
    /// Number of the last call.
    pub(super) call: u32,
    /// Whether the reply to that call is awaited.
    pub(super) awaited: bool,
    /// When the awaited reply times out, or when the next call is due.
    pub(super) due: Moment,
    attempts: u32,
    /// Whether a write of the claim got no reply and may take effect late.
    write_uncertain: bool,
}

impl Claim {
    pub(super) fn new(booking: Booking, phase: Phase) -> Self {
        let due = Moment::default();
        Self { booking, phase, call: 0, awaited: false, due, attempts: 0, write_uncertain: false }
    }

    /// Enters a phase and resets the number of attempts.
    pub(super) fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.attempts = 0;
    }

    /// Returns the delay before the next attempt.
    pub(super) fn retry_delay(&self) -> Span {
        let doubled = MIN_RETRY_DELAY.0.saturating_mul(1 << self.attempts.min(20));
        Span(doubled).min(MAX_RETRY_DELAY)
    }

    /// Handles the reply to the call of the phase.
    pub(super) fn handle_reply(&mut self, result: Result<Reply, Error>) -> Transition {
        self.attempts += 1;
        match self.phase.clone() {
            Phase::Write => self.claim_written(&result),
            Phase::ReadConflict => self.conflict_read(result),
            Phase::AwaitResponse(_) => match result {
                Ok(Reply::Value(Some(entry))) => self.finish(self.status_of(&entry)),
                _ => self.finish(Status::Unknown),
            },
            Phase::LookUp => match result {
                Ok(Reply::Value(Some(entry))) => self.finish(self.status_of(&entry)),
                _ => self.finish(Status::Unclaimed),
            },
            Phase::Held(_) => Action::Hold.into(),
            Phase::StoreResponse(version, response) => {
                self.response_stored(version, response, &result)
            }
            Phase::VerifyResponse(version, response) => {
                self.response_verified(version, response, result)
            }
            Phase::Delete(_) => self.claim_deleted(&result),
            Phase::FindOrphan => self.orphan_read(result),
        }
    }

    fn claim_written(&mut self, result: &Result<Reply, Error>) -> Transition {
        match result {
            Ok(Reply::Written(version)) => self.claimed(*version),
            Err(Error::Conflict(_)) => {
                self.phase = Phase::ReadConflict;
                Action::Call.into()
            }
            // Writing the same claim again is harmless, because the claim names
            // this request whichever write takes effect.
            Err(Error::Unknown(_)) => {
                self.write_uncertain = true;
                self.retry()
            }
            _ => self.finish(Status::Unavailable),
        }
    }

    fn conflict_read(&mut self, result: Result<Reply, Error>) -> Transition {
        match result {
            Ok(Reply::Value(Some(entry))) => match classify(&self.booking, &entry) {
                Ownership::Ours => self.claimed(entry.version),
                Ownership::Other(Status::Unknown) => {
                    self.enter(Phase::AwaitResponse(entry.version));
                    Transition { status: Some(Status::Pending), action: Action::Call }
                }
                Ownership::Other(status) => self.finish(status),
                Ownership::OursCompleted => self.finish(Status::Unknown),
            },
            // The conflicting claim was not used and has been deleted.
            Ok(Reply::Value(None)) => {
                self.phase = Phase::Write;
                self.retry()
            }
            _ => self.retry(),
        }
    }

    fn response_stored(
        &mut self,
        version: Version,
        response: Response,
        result: &Result<Reply, Error>,
    ) -> Transition {
        match result {
            Ok(Reply::Written(_)) => Action::Remove.into(),
            // The next call writes the response if a lease was granted, or
            // requests a new lease if the last one has ended.
            Ok(Reply::Leased(_)) | Err(Error::LeaseEnded) => Action::Call.into(),
            Err(Error::Conflict(_)) => {
                self.phase = Phase::VerifyResponse(version, response);
                Action::Call.into()
            }
            _ => Action::Retry.into(),
        }
    }

    fn response_verified(
        &mut self,
        version: Version,
        response: Response,
        result: Result<Reply, Error>,
    ) -> Transition {
        match result {
            Ok(Reply::Value(Some(entry))) => match classify(&self.booking, &entry) {
                Ownership::Ours => {
                    self.phase = Phase::StoreResponse(entry.version, response);
                    Action::Call.into()
                }
                Ownership::OursCompleted | Ownership::Other(_) => Action::Remove.into(),
            },
            Ok(_) => Action::Remove.into(),
            Err(_) => {
                self.phase = Phase::StoreResponse(version, response);
                Action::Retry.into()
            }
        }
    }

    fn claim_deleted(&mut self, result: &Result<Reply, Error>) -> Transition {
        match result {
            Ok(_) | Err(Error::Conflict(_)) if self.write_uncertain => {
                self.enter(Phase::FindOrphan);
                Action::Retry.into()
            }
            Ok(_) | Err(Error::Conflict(_)) => Action::Remove.into(),
            Err(_) => self.retry_delete(),
        }
    }

    fn orphan_read(&mut self, result: Result<Reply, Error>) -> Transition {
        if let Ok(Reply::Value(Some(entry))) = result
            && classify(&self.booking, &entry) == Ownership::Ours
        {
            self.enter(Phase::Delete(entry.version));
            return Action::Call.into();
        }
        self.retry_delete()
    }

    fn claimed(&mut self, version: Version) -> Transition {
        self.enter(Phase::Held(version));
        Transition { status: Some(Status::Claimed), action: Action::Hold }
    }

    fn status_of(&self, entry: &Entry) -> Status {
        match classify(&self.booking, entry) {
            Ownership::Other(status) => status,
            Ownership::Ours | Ownership::OursCompleted => Status::Unknown,
        }
    }

    fn retry(&mut self) -> Transition {
        if MAX_CLAIM_ATTEMPTS <= self.attempts {
            return self.finish(Status::Unavailable);
        }
        Action::Call.into()
    }

    fn retry_delete(&self) -> Transition {
        let action =
            if MAX_DELETE_ATTEMPTS <= self.attempts { Action::Remove } else { Action::Retry };
        action.into()
    }

    /// Reports a status with which this VM doesn't send the booking. If a write
    /// of the claim got no reply, the claim it may leave is searched for.
    fn finish(&mut self, status: Status) -> Transition {
        let mut action = Action::Remove;
        if self.write_uncertain {
            self.enter(Phase::FindOrphan);
            action = Action::Retry;
        }
        Transition { status: Some(status), action }
    }
}

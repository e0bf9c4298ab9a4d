//! One claim's way through the store, as a state machine over its answers.

use briarshift_store::{Entry, Error, Reply, Version};
use briarshift_units::{Moment, Span};

use super::row::{Owner, judge};
use super::{Answer, Booking, Response};

/// Calls made for a claim that are not answered, before it is given up.
const MAX_TRIES: u32 = 2;
/// Tries at finding or deleting a claim that was not used: about two minutes.
const MAX_DROPS: u32 = 10;
/// Pause before a failed call is made again; doubles each time.
const FIRST_PAUSE: Span = Span::from_millis(250);
/// Longest pause between two tries.
const LAST_PAUSE: Span = Span::from_secs(30);

/// What a claim is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim is being written.
    Write,
    /// The key is being read after a conflict.
    Read,
    /// Another's outcome is awaited, its claim having this version.
    Wait(Version),
    /// The key is being read, no claim is wanted.
    Look,
    /// Claimed; runs, or is about to.
    Held(Version),
    /// The outcome is being written, or waits for a lease.
    Settle(Version, Response),
    /// The key is being read after a conflict with the outcome.
    Verify(Version, Response),
    /// The claim is being deleted: it was not used.
    Drop(Version),
    /// A write that may yet take effect is being looked for.
    Stray,
}

/// What follows an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Then {
    /// The phase's call is made at once.
    Call,
    /// The phase's call is made after a pause.
    Pause,
    /// Nothing, until the request ends.
    Hold,
    /// The claim is done with.
    Forget,
}

/// A claim's next step, and what its request is told.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Next {
    pub(super) answer: Option<Answer>,
    pub(super) then: Then,
}

impl From<Then> for Next {
    fn from(then: Then) -> Self {
        Self { answer: None, then }
    }
}

/// A claim in flight on this VM.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) booking: Booking,
    pub(super) phase: Phase,
    /// Number of the newest call.
    pub(super) call: u32,
    /// Whether that call's answer is awaited.
    pub(super) awaited: bool,
    /// When the answer is overdue, or the next try is due.
    pub(super) due: Moment,
    tries: u32,
    /// A write of the claim was not answered and may take effect yet.
    uncertain: bool,
}

impl Open {
    pub(super) fn new(booking: Booking, phase: Phase) -> Self {
        let due = Moment::default();
        Self { booking, phase, call: 0, awaited: false, due, tries: 0, uncertain: false }
    }

    /// Goes on in another phase.
    pub(super) fn turn(&mut self, phase: Phase) {
        self.phase = phase;
        self.tries = 0;
    }

    /// The pause before the next try.
    pub(super) fn pause(&self) -> Span {
        let doubled = FIRST_PAUSE.0.saturating_mul(1 << self.tries.min(20));
        Span(doubled).min(LAST_PAUSE)
    }

    /// Takes the answer to the phase's call.
    pub(super) fn step(&mut self, result: Result<Reply, Error>) -> Next {
        self.tries += 1;
        match self.phase.clone() {
            Phase::Write => self.written(&result),
            Phase::Read => self.read(result),
            Phase::Wait(_) => match result {
                Ok(Reply::Value(Some(entry))) => self.end(self.other(&entry)),
                _ => self.end(Answer::Unsettled),
            },
            Phase::Look => match result {
                Ok(Reply::Value(Some(entry))) => self.end(self.other(&entry)),
                _ => self.end(Answer::Absent),
            },
            Phase::Held(_) => Then::Hold.into(),
            Phase::Settle(version, response) => self.settled(version, response, &result),
            Phase::Verify(version, response) => self.verified(version, response, result),
            Phase::Drop(_) => self.dropped(&result),
            Phase::Stray => self.sought(result),
        }
    }

    fn written(&mut self, result: &Result<Reply, Error>) -> Next {
        match result {
            Ok(Reply::Written(version)) => self.claimed(*version),
            Err(Error::Conflict(_)) => {
                self.phase = Phase::Read;
                Then::Call.into()
            }
            // Writing the same claim again is harmless: whichever write takes
            // effect, the claim is this request's.
            Err(Error::Unknown(_)) => {
                self.uncertain = true;
                self.again()
            }
            _ => self.end(Answer::Unavailable),
        }
    }

    fn read(&mut self, result: Result<Reply, Error>) -> Next {
        match result {
            Ok(Reply::Value(Some(entry))) => match judge(&self.booking, &entry) {
                Owner::Ours => self.claimed(entry.version),
                Owner::Other(Answer::Unsettled) => {
                    self.turn(Phase::Wait(entry.version));
                    Next { answer: Some(Answer::Waiting), then: Then::Call }
                }
                Owner::Other(answer) => self.end(answer),
                Owner::OursSettled => self.end(Answer::Unsettled),
            },
            // The claim in the way was dropped, unused.
            Ok(Reply::Value(None)) => {
                self.phase = Phase::Write;
                self.again()
            }
            _ => self.again(),
        }
    }

    fn settled(
        &mut self,
        version: Version,
        response: Response,
        result: &Result<Reply, Error>,
    ) -> Next {
        match result {
            Ok(Reply::Written(_)) => Then::Forget.into(),
            // The lease is granted, or gone: write, or ask for a new one.
            Ok(Reply::Leased(_)) | Err(Error::LeaseEnded) => Then::Call.into(),
            Err(Error::Conflict(_)) => {
                self.phase = Phase::Verify(version, response);
                Then::Call.into()
            }
            _ => Then::Pause.into(),
        }
    }

    fn verified(
        &mut self,
        version: Version,
        response: Response,
        result: Result<Reply, Error>,
    ) -> Next {
        match result {
            Ok(Reply::Value(Some(entry))) => match judge(&self.booking, &entry) {
                Owner::Ours => {
                    self.phase = Phase::Settle(entry.version, response);
                    Then::Call.into()
                }
                Owner::OursSettled | Owner::Other(_) => Then::Forget.into(),
            },
            Ok(_) => Then::Forget.into(),
            Err(_) => {
                self.phase = Phase::Settle(version, response);
                Then::Pause.into()
            }
        }
    }

    fn dropped(&mut self, result: &Result<Reply, Error>) -> Next {
        match result {
            Ok(_) | Err(Error::Conflict(_)) if self.uncertain => {
                self.turn(Phase::Stray);
                Then::Pause.into()
            }
            Ok(_) | Err(Error::Conflict(_)) => Then::Forget.into(),
            Err(_) => self.later(),
        }
    }

    fn sought(&mut self, result: Result<Reply, Error>) -> Next {
        if let Ok(Reply::Value(Some(entry))) = result
            && judge(&self.booking, &entry) == Owner::Ours
        {
            self.turn(Phase::Drop(entry.version));
            return Then::Call.into();
        }
        self.later()
    }

    fn claimed(&mut self, version: Version) -> Next {
        self.turn(Phase::Held(version));
        Next { answer: Some(Answer::Claimed), then: Then::Hold }
    }

    fn other(&self, entry: &Entry) -> Answer {
        match judge(&self.booking, entry) {
            Owner::Other(answer) => answer,
            Owner::Ours | Owner::OursSettled => Answer::Unsettled,
        }
    }

    fn again(&mut self) -> Next {
        if MAX_TRIES <= self.tries {
            return self.end(Answer::Unavailable);
        }
        Then::Call.into()
    }

    fn later(&self) -> Next {
        let then = if MAX_DROPS <= self.tries { Then::Forget } else { Then::Pause };
        then.into()
    }

    /// Tells the request that this VM does not send the booking. A write that
    /// was not answered is looked for still.
    fn end(&mut self, answer: Answer) -> Next {
        let mut then = Then::Forget;
        if self.uncertain {
            self.turn(Phase::Stray);
            then = Then::Pause;
        }
        Next { answer: Some(answer), then }
    }
}

//! A lease on a key of the platform's store, as a state machine.
//!
//! The lease's end is reckoned from the moment an operation was asked for, by
//! the VM's own monotonic clock: the store cannot have granted it earlier, so
//! the VM's end is never later than the store's. [`SAFETY_MARGIN`] is taken off, for
//! clocks that run at different rates and for an order on its way. One
//! operation is under way at a time.

use briarshift_store::{Entry, Error, Expect, Key, LeaseId, Operation, Reply};
use briarshift_units::{FencingToken, Moment, Span};
use smol_str::SmolStr;

/// Time a lease lives after each renewal.
pub const TTL: Span = Span::from_secs(15);
/// Time before the lease's end at which the holder stops. Longer than an
/// order's timeout, so that an order's end is known before the next holder.
pub const SAFETY_MARGIN: Span = Span::from_secs(5);
/// Time between two renewals.
const RENEW_INTERVAL: Span = Span::from_secs(4);
/// Pause after a failed operation.
const RETRY_PAUSE: Span = Span::from_secs(1);
/// Time between two looks at a key that another VM holds.
const LOOK_INTERVAL: Span = Span::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Holds nothing.
    Idle,
    /// The key was absent.
    Free,
    /// Has a lease, and the key is still to be written.
    Granted(LeaseId),
    /// The write's answer was lost.
    Unsure(LeaseId),
    /// Holds the key.
    Held(LeaseId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Look,
    Grant,
    Write,
    Check,
    Renew,
    Revoke,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    step: Step,
    asked_at: Moment,
}

/// What an answer changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters outside.
    None,
    /// The key is held now.
    Acquired,
    /// The key is no longer held.
    Lost(SmolStr),
}

/// The lock on one key.
#[derive(Debug)]
pub struct Lock {
    key: Key,
    holder: SmolStr,
    phase: Phase,
    pending: Option<Pending>,
    /// From here on the lease may have lapsed.
    until: Moment,
    /// No operation before this.
    next_at: Moment,
}

impl Lock {
    /// A lock that is not held. `holder` names this VM and its start.
    pub fn new(key: Key, holder: SmolStr) -> Self {
        let (until, next_at) = (Moment::default(), Moment::default());
        Self { key, holder, phase: Phase::Idle, pending: None, until, next_at }
    }

    /// The fencing number, if the lock is held at this moment. To be asked
    /// for each order.
    pub fn fencing(&self, now: Moment) -> Option<FencingToken> {
        match self.phase {
            Phase::Held(lease) if now < self.until => Some(FencingToken(lease.0)),
            _ => None,
        }
    }

    /// Gives the lock up at once if its time is over.
    pub fn expire(&mut self, now: Moment) -> Change {
        let held = matches!(self.phase, Phase::Held(_));
        if self.phase == Phase::Idle || self.phase == Phase::Free || now < self.until {
            return Change::None;
        }
        self.rest(now + RETRY_PAUSE);
        if held { Change::Lost("lease_time_over".into()) } else { Change::None }
    }

    /// Gives the lock up: another holder is known to have come since.
    pub fn abandon(&mut self, now: Moment) {
        self.rest(now + LOOK_INTERVAL);
    }

    /// The next operation, if one is due. `wanted` says whether this VM should
    /// hold the lock.
    pub fn next_operation(&mut self, now: Moment, wanted: bool) -> Option<Operation> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        let key = self.key.clone();
        let (step, operation) = match self.phase {
            Phase::Idle | Phase::Free if !wanted => return None,
            Phase::Idle => (Step::Look, Operation::Get { key }),
            Phase::Free => (Step::Grant, Operation::Grant { ttl: TTL }),
            Phase::Granted(lease) => {
                let value = self.value(lease);
                let (expect, lease) = (Expect::Absent, Some(lease));
                (Step::Write, Operation::Put { key, value, expect, lease })
            }
            Phase::Unsure(_) => (Step::Check, Operation::Get { key }),
            Phase::Held(lease) if wanted => (Step::Renew, Operation::Renew { lease }),
            Phase::Held(lease) => {
                self.rest(now);
                (Step::Revoke, Operation::Revoke { lease })
            }
        };
        self.pending = Some(Pending { step, asked_at: now });
        Some(operation)
    }

    /// Takes an operation's answer.
    pub fn handle_reply(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Some(Pending { step, asked_at }) = self.pending.take() else { return Change::None };
        match step {
            Step::Look => self.looked(now, result),
            Step::Grant => self.granted(now, asked_at, result),
            Step::Write => self.written(now, result),
            Step::Check => self.checked(now, result),
            Step::Renew => self.renewed(now, asked_at, result),
            Step::Revoke => Change::None,
        }
    }

    /// The key's value while this VM holds it under a lease.
    fn value(&self, lease: LeaseId) -> String {
        format!("{} {}", self.holder, lease.0)
    }

    fn rest(&mut self, next_at: Moment) {
        self.phase = Phase::Idle;
        self.next_at = next_at;
    }

    fn looked(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        match result {
            Ok(Reply::Value(None)) => self.phase = Phase::Free,
            Ok(_) => self.rest(now + LOOK_INTERVAL),
            Err(_) => self.rest(now + RETRY_PAUSE),
        }
        Change::None
    }

    fn granted(&mut self, now: Moment, asked_at: Moment, result: &Result<Reply, Error>) -> Change {
        match result {
            Ok(Reply::Leased(lease)) => {
                self.until = asked_at + (TTL - SAFETY_MARGIN);
                self.phase = Phase::Granted(lease.id);
            }
            _ => self.rest(now + RETRY_PAUSE),
        }
        Change::None
    }

    fn written(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Phase::Granted(lease) = self.phase else { return Change::None };
        match result {
            Ok(_) => return self.take(now, lease),
            Err(Error::Unknown(_)) => self.phase = Phase::Unsure(lease),
            Err(Error::Conflict(_)) => self.rest(now + LOOK_INTERVAL),
            Err(_) => self.rest(now + RETRY_PAUSE),
        }
        Change::None
    }

    fn checked(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Phase::Unsure(lease) = self.phase else { return Change::None };
        let mine = |entry: &Entry| entry.value == self.value(lease);
        match result {
            Ok(Reply::Value(Some(entry))) if mine(entry) => return self.take(now, lease),
            Ok(_) => self.rest(now + RETRY_PAUSE),
            Err(_) => self.next_at = now + RETRY_PAUSE,
        }
        Change::None
    }

    fn take(&mut self, now: Moment, lease: LeaseId) -> Change {
        if self.until <= now {
            self.rest(now + RETRY_PAUSE);
            return Change::None;
        }
        self.phase = Phase::Held(lease);
        self.next_at = now + RENEW_INTERVAL;
        Change::Acquired
    }

    fn renewed(&mut self, now: Moment, asked_at: Moment, result: &Result<Reply, Error>) -> Change {
        let Phase::Held(lease) = self.phase else { return Change::None };
        match result {
            Ok(Reply::Leased(renewed)) if renewed.id == lease => {
                self.until = self.until.max(asked_at + (TTL - SAFETY_MARGIN));
                self.next_at = asked_at + RENEW_INTERVAL;
                Change::None
            }
            Err(Error::LeaseEnded) => {
                self.rest(now + RETRY_PAUSE);
                Change::Lost("lease_ended".into())
            }
            _ => {
                self.next_at = now + RETRY_PAUSE;
                Change::None
            }
        }
    }
}

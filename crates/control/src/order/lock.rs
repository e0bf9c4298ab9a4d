//! A lock on a key of the platform's store, held by a lease, as a state
//! machine.
//!
//! The VM computes the lease's end on its own monotonic clock, from the time at
//! which it sent the operation. The store cannot have granted the lease
//! earlier, so the VM's end is never later than the store's. [`SAFETY_MARGIN`]
//! is subtracted, for clocks that run at different rates and for orders that
//! are in transit. At most one operation is outstanding.

use briarshift_store::{Entry, Error, Expect, Key, LeaseId, Operation, Reply};
use briarshift_units::{FencingToken, Moment, Span};
use smol_str::SmolStr;

/// Lifetime of the lease after it is granted or renewed.
pub const TTL: Span = Span::from_secs(15);
/// Time before the lease's end at which the holder stops sending orders. Longer
/// than an order's timeout, so that each order has ended before another VM can
/// acquire the lock.
pub const SAFETY_MARGIN: Span = Span::from_secs(5);
/// Time between two renewals.
const RENEW_INTERVAL: Span = Span::from_secs(4);
/// Delay before the next operation after one failed.
const RETRY_DELAY: Span = Span::from_secs(1);
/// Time between two reads of a key that another VM holds.
const READ_INTERVAL: Span = Span::from_secs(10);

/// What this VM holds: the lease, and the key under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The VM holds nothing; the key is still to be read.
    Idle,
    /// The key was absent when it was read.
    Free,
    /// The VM has a lease; the key is still to be written under it.
    Granted(LeaseId),
    /// The write of the key has an unknown outcome; the key is to be read.
    WriteUnknown(LeaseId),
    /// The VM holds the key.
    Held(LeaseId),
}

/// The purpose of the outstanding operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Grant,
    Write,
    Check,
    Renew,
    Revoke,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    step: Step,
    sent_at: Moment,
}

/// The effect of a reply, or of the time that passed, on the lock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// No change: the lock is still held, or still not held.
    None,
    /// This VM holds the lock from now on.
    Acquired,
    /// This VM no longer holds the lock. Contains the reason for the log.
    Lost(SmolStr),
}

/// A lock on one key of the store.
#[derive(Debug)]
pub struct Lock {
    key: Key,
    holder: SmolStr,
    phase: Phase,
    pending: Option<Pending>,
    /// The time from which the lease may have expired.
    expires_at: Moment,
    /// The earliest time of the next operation.
    next_at: Moment,
}

impl Lock {
    /// Creates a lock that is not held. `holder` identifies this VM and its
    /// start.
    pub fn new(key: Key, holder: SmolStr) -> Self {
        let (expires_at, next_at) = (Moment::default(), Moment::default());
        Self { key, holder, phase: Phase::Idle, pending: None, expires_at, next_at }
    }

    /// Returns the fencing token if the lock is held at `now`. Callers must
    /// check it for each order.
    pub fn fencing_token(&self, now: Moment) -> Option<FencingToken> {
        match self.phase {
            Phase::Held(lease) if now < self.expires_at => Some(FencingToken(lease.0)),
            _ => None,
        }
    }

    /// Gives the lock up if its lease may have expired by `now`.
    pub fn expire(&mut self, now: Moment) -> Change {
        let held = matches!(self.phase, Phase::Held(_));
        if self.phase == Phase::Idle || self.phase == Phase::Free || now < self.expires_at {
            return Change::None;
        }
        self.become_idle(now + RETRY_DELAY);
        if held { Change::Lost("lease_time_over".into()) } else { Change::None }
    }

    /// Gives the lock up because another VM is known to have acquired it since.
    pub fn abandon(&mut self, now: Moment) {
        self.become_idle(now + READ_INTERVAL);
    }

    /// Returns the next store operation, if one is due. `wanted` says whether
    /// this VM should hold the lock.
    pub fn next_operation(&mut self, now: Moment, wanted: bool) -> Option<Operation> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        let key = self.key.clone();
        let (step, operation) = match self.phase {
            Phase::Idle | Phase::Free if !wanted => return None,
            Phase::Idle => (Step::Read, Operation::Get { key }),
            Phase::Free => (Step::Grant, Operation::Grant { ttl: TTL }),
            Phase::Granted(lease) => {
                let value = self.value(lease);
                let (expect, lease) = (Expect::Absent, Some(lease));
                (Step::Write, Operation::Put { key, value, expect, lease })
            }
            Phase::WriteUnknown(_) => (Step::Check, Operation::Get { key }),
            Phase::Held(lease) if wanted => (Step::Renew, Operation::Renew { lease }),
            Phase::Held(lease) => {
                self.become_idle(now);
                (Step::Revoke, Operation::Revoke { lease })
            }
        };
        self.pending = Some(Pending { step, sent_at: now });
        Some(operation)
    }

    /// Applies the reply to the outstanding operation.
    pub fn handle_reply(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Some(Pending { step, sent_at }) = self.pending.take() else { return Change::None };
        match step {
            Step::Read => self.handle_read(now, result),
            Step::Grant => self.handle_grant(now, sent_at, result),
            Step::Write => self.handle_write(now, result),
            Step::Check => self.handle_check(now, result),
            Step::Renew => self.handle_renewal(now, sent_at, result),
            Step::Revoke => Change::None,
        }
    }

    /// Returns the value of the key while this VM holds it under `lease`.
    fn value(&self, lease: LeaseId) -> String {
        format!("{} {}", self.holder, lease.0)
    }

    fn become_idle(&mut self, next_at: Moment) {
        self.phase = Phase::Idle;
        self.next_at = next_at;
    }

    fn handle_read(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        match result {
            Ok(Reply::Value(None)) => self.phase = Phase::Free,
            Ok(_) => self.become_idle(now + READ_INTERVAL),
            Err(_) => self.become_idle(now + RETRY_DELAY),
        }
        Change::None
    }

    fn handle_grant(
        &mut self,
        now: Moment,
        sent_at: Moment,
        result: &Result<Reply, Error>,
    ) -> Change {
        match result {
            Ok(Reply::Leased(lease)) => {
                self.expires_at = sent_at + (TTL - SAFETY_MARGIN);
                self.phase = Phase::Granted(lease.id);
            }
            _ => self.become_idle(now + RETRY_DELAY),
        }
        Change::None
    }

    fn handle_write(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Phase::Granted(lease) = self.phase else { return Change::None };
        match result {
            Ok(_) => return self.acquire(now, lease),
            Err(Error::Unknown(_)) => self.phase = Phase::WriteUnknown(lease),
            Err(Error::Conflict(_)) => self.become_idle(now + READ_INTERVAL),
            Err(_) => self.become_idle(now + RETRY_DELAY),
        }
        Change::None
    }

    fn handle_check(&mut self, now: Moment, result: &Result<Reply, Error>) -> Change {
        let Phase::WriteUnknown(lease) = self.phase else { return Change::None };
        let is_own = |entry: &Entry| entry.value == self.value(lease);
        match result {
            Ok(Reply::Value(Some(entry))) if is_own(entry) => return self.acquire(now, lease),
            Ok(_) => self.become_idle(now + RETRY_DELAY),
            Err(_) => self.next_at = now + RETRY_DELAY,
        }
        Change::None
    }

    fn acquire(&mut self, now: Moment, lease: LeaseId) -> Change {
        if self.expires_at <= now {
            self.become_idle(now + RETRY_DELAY);
            return Change::None;
        }
        self.phase = Phase::Held(lease);
        self.next_at = now + RENEW_INTERVAL;
        Change::Acquired
    }

    fn handle_renewal(
        &mut self,
        now: Moment,
        sent_at: Moment,
        result: &Result<Reply, Error>,
    ) -> Change {
        let Phase::Held(lease) = self.phase else { return Change::None };
        match result {
            Ok(Reply::Leased(renewed)) if renewed.id == lease => {
                self.expires_at = self.expires_at.max(sent_at + (TTL - SAFETY_MARGIN));
                self.next_at = sent_at + RENEW_INTERVAL;
                Change::None
            }
            Err(Error::LeaseEnded) => {
                self.become_idle(now + RETRY_DELAY);
                Change::Lost("lease_ended".into())
            }
            _ => {
                self.next_at = now + RETRY_DELAY;
                Change::None
            }
        }
    }
}

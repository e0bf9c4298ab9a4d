//! Requests that crash the targets that run them.
//!
//! When a target goes down, a crash is recorded for the fingerprint (account,
//! call and body) of each request that ran on it, and all peers are informed.
//! One of these requests may have caused the crash, and only running them again
//! can tell which one. A fingerprint with one crash is therefore run as a trial:
//! one copy at a time, and never together with another suspect request on one
//! target, so that a second crash identifies its cause. A trial that succeeds
//! clears the fingerprint. A second crashed target makes the fingerprint
//! refused. Crashes expire, so that no request is refused permanently.
//!
//! One VM, the coordinator, grants the trials of a pool. It is chosen by
//! rendezvous hashing over the live members. It waits for a short time after the
//! first crash so that VMs that already run a copy can report it. If instead
//! each VM delayed suspect requests on its own for a random time, two VMs would
//! run two copies at once in every third case, and innocent requests would wait
//! as long. Members that disagree about which members are live, for example
//! during a network partition, may grant two trials at once. Each side then
//! loses at most one more target.

mod coordinator;
mod state;

use briarshift_units::{RequestId, Span, TargetId};

pub use state::State;

use crate::{member, target};

/// How long crashes count, and how long a refusal lasts.
pub const CRASH_RETENTION: Span = Span::from_secs(600);
/// Number of crashed targets at which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;

/// Whether requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crash is recorded.
    Clean,
    /// One target crashed: requests may run only as a trial.
    Suspect,
    /// Two targets crashed: requests are refused.
    Refused,
}

/// Why a trial is not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The fingerprint is refused.
    Refused,
    /// No trial was granted in time.
    TimedOut,
}

/// The decision about a requested trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// The target that the request may run on, or why no trial was granted.
    pub target: Result<TargetId, Denial>,
}

/// The state of other components that trials depend on.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The targets of the fleet.
    pub targets: &'a target::State,
    /// The entry VMs of the fleet.
    pub members: &'a member::State,
}

/// One event being applied to [`State`].
pub type Step<'a> = crate::Step<'a, View<'a>>;

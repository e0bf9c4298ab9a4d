//! Requests that crash the targets that run them.
//!
//! When a target dies, each request that ran on it gets a strike on its
//! fingerprint (account, call and body), and all peers are told. One of them
//! may be to blame, the others are innocent, and only running them again can
//! tell. So a fingerprint with one strike runs as a trial: one copy at a time,
//! and never two suspects on one target, so that a second death names its
//! cause. A trial that ends well clears the fingerprint; a second target dead
//! makes it refused. Strikes lapse, so that nobody is blamed for good.
//!
//! Trials of a pool are granted by one VM, chosen by rendezvous among the
//! live members. It waits a moment after the first strike, so that VMs which
//! already run a copy can report it. (Weighed: every VM holding back suspects
//! on its own for a random time; two VMs then run two copies at once in every
//! third case, and innocents wait as long.) Members who disagree about who is
//! live, in a partition for example, may grant two trials at once; each side
//! then loses at most one target more.

mod arbiter;
mod state;

use briarshift_units::{RequestId, Span, TargetId};

pub use state::State;

use crate::{member, target};

/// How long strikes count, and how long a refusal lasts.
pub const WINDOW: Span = Span::from_secs(600);
/// Targets that may die under a fingerprint before it is refused.
pub const MAX_STRIKES: usize = 2;

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing against it.
    Clean,
    /// A target died under it: it runs as a trial only.
    Suspect,
    /// Two targets died under it: it is refused.
    Refused,
}

/// Why a trial is not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request is refused by now.
    Refused,
    /// No trial was granted in time.
    Late,
}

/// What became of a wanted trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// Where it may run, or why nowhere.
    pub target: Result<TargetId, Denial>,
}

/// What trials look at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Targets.
    pub targets: &'a target::State,
    /// Entry VMs.
    pub members: &'a member::State,
}

/// One event being applied here.
pub type Scope<'a> = crate::Scope<'a, View<'a>>;

//! What one concern tells another.

use briarshift_target::Attempt;
use briarshift_units::{Fingerprint, RequestId, TargetId};
use briarshift_wire::poison::Trial;
use briarshift_wire::reservation::Requirements;

use crate::{booking, member, place, poison, usage};

/// Sent by one concern, carried to another by [`crate::State`] before the
/// next event.
#[derive(Debug, Clone, PartialEq)]
pub enum Signal {
    /// A request needs a place.
    Ask(Requirements),
    /// A request got its place, or none.
    Placed(place::Verdict),
    /// A request gives its place back, or no longer waits for one.
    Release(RequestId),
    /// A booking needs its claim before it is sent.
    Claim(booking::Booking),
    /// A booking is refused before it was claimed: was it claimed before?
    Look(booking::Booking),
    /// What became of the claim.
    Claimed(booking::Verdict),
    /// A claimed booking was answered.
    Settle(RequestId, booking::Outcome),
    /// A claimed booking was certainly not sent: drop its claim.
    Unclaim(RequestId),
    /// A target could not be reached, or broke off.
    Suspect(TargetId),
    /// A target broke off while it ran a request.
    Strike(Fingerprint, TargetId),
    /// A request ended well.
    Clear(Fingerprint),
    /// A fingerprint has a new strike, from this VM or a peer.
    Struck(Fingerprint),
    /// A suspect request wants to run, or runs.
    Try(Trial),
    /// Whether and where a suspect request may run.
    Tried(poison::Verdict),
    /// A suspect request has ended, or wants to run no longer.
    Over(RequestId),
    /// The caller of a running attempt is gone.
    Cancel(TargetId, Attempt),
    /// Something to be counted.
    Use(usage::Sample),
    /// A message of gossip is due.
    Round(member::Round),
    /// Something should reach the peers before the next round.
    News,
}

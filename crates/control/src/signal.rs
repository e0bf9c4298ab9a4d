//! What one concern tells another.

use briarshift_target::Attempt;
use briarshift_units::{Fingerprint, RequestId, TargetId};
use briarshift_wire::poison::Trial;
use briarshift_wire::reservation::Requirements;

use crate::{booking, member, poison, reservation, usage};

/// Sent by one concern, carried to another by [`crate::State`] before the
/// next event.
#[derive(Debug, Clone, PartialEq)]
pub enum Signal {
    /// A request needs a place.
    Reserve(Requirements),
    /// A request got its place, or none.
    ReservationDecided(reservation::Decision),
    /// A request gives its place back, or no longer waits for one.
    Release(RequestId),
    /// A booking needs its claim before it is sent.
    Claim(booking::Booking),
    /// A booking is refused before it was claimed: was it claimed before?
    LookUpClaim(booking::Booking),
    /// What became of the claim.
    ClaimDecided(booking::Decision),
    /// A claimed booking was answered.
    StoreResponse(RequestId, booking::Response),
    /// A claimed booking was certainly not sent: drop its claim.
    DropClaim(RequestId),
    /// A target could not be reached, or broke off.
    SuspectTarget(TargetId),
    /// A target broke off while it ran a request.
    RecordCrash(Fingerprint, TargetId),
    /// A request ended well.
    ClearCrashes(Fingerprint),
    /// A fingerprint has a new strike, from this VM or a peer.
    CrashRecorded(Fingerprint),
    /// A suspect request wants to run, or runs.
    StartTrial(Trial),
    /// Whether and where a suspect request may run.
    TrialDecided(poison::Decision),
    /// A suspect request has ended, or wants to run no longer.
    EndTrial(RequestId),
    /// The caller of a running attempt is gone.
    CancelAttempt(TargetId, Attempt),
    /// Something to be counted.
    CountUsage(usage::Sample),
    /// A message of gossip is due.
    SendGossip(member::Envelope),
    /// Something should reach the peers before the next round.
    GossipSoon,
}

//! Signals between components.

use briarshift_target::Attempt;
use briarshift_units::{Fingerprint, RequestId, TargetId};
use briarshift_wire::poison::Trial;
use briarshift_wire::reservation::Requirements;

use crate::{booking, member, poison, reservation, usage};

/// A signal from one component to another. [`crate::State`] delivers it before
/// the next event.
#[derive(Debug, Clone, PartialEq)]
pub enum Signal {
    /// A request needs a reservation.
    Reserve(Requirements),
    /// A request got its reservation or was denied one.
    ReservationDecided(reservation::Decision),
    /// A request releases its reservation or no longer waits for one.
    Release(RequestId),
    /// A booking must be claimed before it is sent.
    Claim(booking::Booking),
    /// A booking is about to be refused without a claim, and must be looked up in
    /// case an earlier request claimed it.
    LookUpClaim(booking::Booking),
    /// The status of a booking's claim is known.
    ClaimDecided(booking::Decision),
    /// A claimed booking was answered, and its response must be stored.
    StoreResponse(RequestId, booking::Response),
    /// A claimed booking was certainly not sent, and its claim must be deleted.
    DropClaim(RequestId),
    /// A target could not be reached or closed a connection early.
    SuspectTarget(TargetId),
    /// A target went down while it ran a request.
    RecordCrash(Fingerprint, TargetId),
    /// A request succeeded, and the crashes of its fingerprint must be cleared.
    ClearCrashes(Fingerprint),
    /// This VM or a peer recorded a crash for a fingerprint.
    CrashRecorded(Fingerprint),
    /// A suspect request needs a trial or runs already.
    RequestTrial(Trial),
    /// A suspect request got its trial or was denied one.
    TrialDecided(poison::Decision),
    /// A suspect request has ended or no longer waits for its trial.
    EndTrial(RequestId),
    /// A running attempt must be cancelled.
    CancelAttempt(TargetId, Attempt),
    /// The usage of a request must be recorded.
    CountUsage(usage::Sample),
    /// A gossip message is due.
    SendGossip(member::Envelope),
    /// A change must reach the peers before the next regular gossip message.
    GossipSoon,
}

//! The message type that entry VMs exchange in frames.

use serde::{Deserialize, Serialize};

use crate::{document, gossip, poison, reservation};

/// A message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership, target loads and the head of the document in force.
    Gossip(gossip::Message),
    /// Reservations on targets.
    Reservation(reservation::Message),
    /// Transfer of the environment document.
    Document(document::Message),
    /// Tracking of requests that crash the targets that run them.
    Poison(poison::Message),
}

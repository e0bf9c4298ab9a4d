//! The one message type that peers exchange.

use serde::{Deserialize, Serialize};

use crate::{document, gossip, poison, reservation};

/// What one entry VM says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership, target load and document heads.
    Gossip(gossip::Message),
    /// Places on targets, asked of and given by their admitting VM.
    Reservation(reservation::Message),
    /// The environment document itself.
    Document(document::Message),
    /// A request that crashes its targets.
    Poison(poison::Message),
}

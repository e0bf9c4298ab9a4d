//! The kind of message that a frame carries, and its traffic class.

use std::fmt;

use briarshift_wire::Message;

/// Kind of a message, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Membership, load and the current document revisions.
    Gossip,
    /// Reservations on targets. Metrics and logs name this kind `place`.
    Reservation,
    /// Environment documents.
    Document,
    /// Reports of requests that crash their targets.
    Poison,
}

impl Kind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Gossip, Self::Reservation, Self::Document, Self::Poison];

    /// Returns the kind of a message.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_peer::Kind;
    /// use briarshift_wire::{Message, gossip};
    /// assert_eq!(Kind::of(&Message::Gossip(gossip::Message::default())), Kind::Gossip);
    /// ```
    pub fn of(message: &Message) -> Self {
        match message {
            Message::Gossip(_) => Self::Gossip,
            Message::Reservation(_) => Self::Reservation,
            Message::Document(_) => Self::Document,
            Message::Poison(_) => Self::Poison,
        }
    }

    /// Returns the traffic class in which messages of this kind are sent.
    pub fn class(self) -> Class {
        match self {
            Self::Gossip => Class::Gossip,
            Self::Reservation | Self::Poison => Class::Reservation,
            Self::Document => Class::Document,
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gossip => "gossip",
            Self::Reservation => "place",
            Self::Document => "document",
            Self::Poison => "poison",
        })
    }
}

/// Traffic class of a frame. The variants are in order of priority, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Messages that a caller waits for.
    Reservation,
    /// Changes of configuration.
    Document,
    /// Messages that the next gossip interval repeats.
    Gossip,
}

impl Class {
    /// All classes, the highest priority first.
    pub const ALL: [Self; 3] = [Self::Reservation, Self::Document, Self::Gossip];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

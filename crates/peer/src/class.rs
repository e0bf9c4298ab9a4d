//! What kind of message a frame carries, and how soon it must leave.

use std::fmt;

use briarshift_wire::Message;

/// Kind of a message, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Membership, load and document heads.
    Gossip,
    /// Places on targets.
    Reservation,
    /// Environment documents.
    Document,
    /// Requests that crash their targets.
    Poison,
}

impl Kind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Gossip, Self::Reservation, Self::Document, Self::Poison];

    /// The kind of a message.
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

    /// How soon it must leave.
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

/// How soon a frame must leave; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A caller waits for it.
    Reservation,
    /// A change of configuration.
    Document,
    /// The next round repeats it.
    Gossip,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Reservation, Self::Document, Self::Gossip];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

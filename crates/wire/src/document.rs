//! Spreading the environment document among VMs.
//!
//! Gossip names the document in force by its [`Head`]; who runs an older one
//! asks a peer that named a newer one. The answer depends on what costs
//! least: the steps from the asker's revision, each a list of edits, or the
//! whole document, in pieces if it is long. Pieces are asked for one by one,
//! by digest, so that a pull goes on from another peer where it stopped.

use briarshift_units::{Digest, Revision};
use serde::{Deserialize, Serialize};

/// Names a document without carrying it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision in the platform's store.
    pub revision: Revision,
    /// Digest of the document's bytes.
    pub digest: Digest,
}

/// A part of a new document, made from an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Bytes that stand in the older document too.
    Copy {
        /// Where they start there.
        offset: u32,
        /// How many.
        length: u32,
    },
    /// New bytes.
    Insert(Vec<u8>),
}

/// How one revision came from the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The older revision.
    pub from: Revision,
    /// What the edits make.
    pub to: Head,
    /// The edits, in the order of the new document.
    pub edits: Vec<Edit>,
}

/// Pulling a document from a peer whose head is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for what is newer than the asker's document.
    Request {
        /// The revision in force at the asker.
        revision: Revision,
    },
    /// Answers [`Message::Request`] with a whole short document.
    Full {
        /// What the bytes are.
        head: Head,
        /// The document as it stands in the store.
        bytes: Vec<u8>,
    },
    /// Answers [`Message::Request`] with the steps since the asker's revision.
    Deltas(Vec<Delta>),
    /// Asks for a piece of a long document.
    RequestPiece {
        /// Digest of the whole.
        digest: Digest,
        /// Where the piece starts.
        offset: u32,
    },
    /// A piece of a long document.
    Piece {
        /// What the whole is.
        head: Head,
        /// Length of the whole, in bytes.
        size: u32,
        /// Where the piece starts.
        offset: u32,
        /// The piece.
        bytes: Vec<u8>,
    },
    /// The sender's own watch on the store fails: the receiver should hold
    /// one for a while.
    Failover {
        /// The receiver's place in the order of delegates, from 1.
        rank: u8,
    },
}

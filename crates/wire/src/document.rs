//! Replication of the environment document between VMs.
//!
//! Gossip carries the [`Head`] of the document in force at the sender. A VM
//! with an older document requests the newer one from that peer. The peer
//! sends whichever is smaller: the deltas since the requester's revision, or
//! the full document, split into pieces if it is long. Pieces are requested
//! one by one, by digest and offset, so that a transfer that was interrupted
//! resumes from another peer at the same offset.

use briarshift_units::{Digest, Revision};
use serde::{Deserialize, Serialize};

/// Identifies one revision of a document by its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the document in the platform's store.
    pub revision: Revision,
    /// Digest of the document's bytes.
    pub digest: Digest,
}

/// One edit of a [`Delta`]; the results of all edits, in order, are the newer
/// document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Copies a range of the older document.
    Copy {
        /// Start of the range, in bytes.
        offset: u32,
        /// Length of the range, in bytes.
        length: u32,
    },
    /// Inserts bytes that are not taken from the older document.
    Insert(Vec<u8>),
}

/// The difference between two revisions of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the edits apply to.
    pub from: Revision,
    /// Head of the document that the edits produce.
    pub to: Head,
    /// Edits, in the order of the newer document.
    pub edits: Vec<Edit>,
}

/// A message of a transfer from a peer that has a newer document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the changes since a revision.
    Request {
        /// Revision in force at the requester.
        revision: Revision,
    },
    /// Answers [`Message::Request`] with a full document, if it is short.
    Full {
        /// Head of the document.
        head: Head,
        /// The document, byte for byte as in the store.
        bytes: Vec<u8>,
    },
    /// Answers [`Message::Request`] with the deltas since the requester's
    /// revision, the oldest first.
    Deltas(Vec<Delta>),
    /// Requests one piece of a long document.
    RequestPiece {
        /// Digest of the full document.
        digest: Digest,
        /// Start of the piece, in bytes.
        offset: u32,
    },
    /// One piece of a long document. Answers [`Message::RequestPiece`], or
    /// [`Message::Request`] with the first piece.
    Piece {
        /// Head of the full document.
        head: Head,
        /// Length of the full document, in bytes.
        size: u32,
        /// Start of the piece, in bytes.
        offset: u32,
        /// Bytes of the piece.
        bytes: Vec<u8>,
    },
    /// The sender's watch of the store fails. The receiver should watch the
    /// store for the data centre for a while.
    Failover {
        /// Rank of the receiver in the order in which the data centre's VMs
        /// become delegates (the VMs that watch the store for the others). The
        /// current delegate has rank 0.
        rank: u8,
    },
}

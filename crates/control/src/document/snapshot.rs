//! The document in force, with its bytes and the deltas between revisions
//! that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use briarshift_settings::Document;
use briarshift_units::{Digest, Revision};
use briarshift_wire::document::{Delta, Head, Message};

use super::edit;

/// Maximum number of deltas that are kept for peers with an older revision.
const MAX_DELTAS: usize = 32;
/// Maximum length of all deltas that are kept, in bytes. Also bounds the deltas
/// in one message.
const MAX_DELTA_BYTES: usize = 32 << 10;
/// Maximum number of document bytes in one message.
const MAX_PIECE: usize = 16 << 10;

/// A document in force: its head, bytes and parsed content.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub head: Head,
    pub bytes: Arc<[u8]>,
    pub document: Document,
    deltas: VecDeque<Delta>,
}

impl Snapshot {
    pub(super) fn new(head: Head, bytes: Arc<[u8]>, document: Document) -> Self {
        Self { head, bytes, document, deltas: VecDeque::new() }
    }

    /// Keeps the deltas from `older` to this document, for peers with an older
    /// revision. Computes one delta if `deltas` is `None`.
    pub(super) fn add_deltas(&mut self, older: Self, deltas: Option<Vec<Delta>>) {
        let deltas = deltas.unwrap_or_else(|| vec![self.delta_from(&older)]);
        self.deltas = older.deltas;
        self.deltas.extend(deltas);
        while MAX_DELTAS < self.deltas.len() || MAX_DELTA_BYTES < self.delta_bytes() {
            self.deltas.pop_front();
        }
    }

    fn delta_from(&self, older: &Self) -> Delta {
        let edits = edit::diff(&older.bytes, &self.bytes);
        Delta { from: older.head.revision, to: self.head, edits }
    }

    fn delta_bytes(&self) -> usize {
        self.deltas.iter().map(|delta| edit::encoded_len(&delta.edits)).sum()
    }

    /// Returns the message that updates a peer from `revision` to this
    /// document: the deltas if they are kept and shorter, else the document or
    /// its first piece.
    pub(super) fn answer(&self, revision: Revision) -> Message {
        let deltas: Vec<_> =
            self.deltas.iter().skip_while(|delta| delta.from != revision).cloned().collect();
        let encoded_len: usize = deltas.iter().map(|delta| edit::encoded_len(&delta.edits)).sum();
        if !deltas.is_empty() && encoded_len < self.bytes.len() {
            return Message::Deltas(deltas);
        }
        if self.bytes.len() <= MAX_PIECE {
            return Message::Full { head: self.head, bytes: self.bytes.to_vec() };
        }
        self.piece(self.head.digest, 0)
    }

    /// Returns the piece of the document at `offset`, or the first piece if
    /// `digest` is that of another document.
    pub(super) fn piece(&self, digest: Digest, offset: u32) -> Message {
        let requested = if digest == self.head.digest { offset as usize } else { 0 };
        let start = requested.min(self.bytes.len());
        let end = self.bytes.len().min(start + MAX_PIECE);
        Message::Piece {
            head: self.head,
            size: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            offset: u32::try_from(start).unwrap_or(u32::MAX),
            bytes: self.bytes[start..end].to_vec(),
        }
    }
}

//! The document in force, with its bytes and the steps (deltas between two
//! revisions) that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use briarshift_settings::Document;
use briarshift_units::{Digest, Revision};
use briarshift_wire::document::{Head, Message, Step};

use super::edit;

/// Maximum number of steps that are kept for peers with an older revision.
const MAX_STEPS: usize = 32;
/// Maximum length of all steps that are kept, in bytes. Also bounds the steps
/// in one message.
const MAX_STEP_BYTES: usize = 32 << 10;
/// Maximum number of document bytes in one message.
const MAX_PIECE: usize = 16 << 10;

/// A document in force: its head, bytes and parsed content.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub head: Head,
    pub bytes: Arc<[u8]>,
    pub document: Document,
    steps: VecDeque<Step>,
}

impl Snapshot {
    pub(super) fn new(head: Head, bytes: Arc<[u8]>, document: Document) -> Self {
        Self { head, bytes, document, steps: VecDeque::new() }
    }

    /// Keeps the steps from `older` to this document, for peers with an older
    /// revision. Computes the step if `steps` is `None`.
    pub(super) fn add_steps(&mut self, older: Self, steps: Option<Vec<Step>>) {
        let steps = steps.unwrap_or_else(|| vec![self.step_from(&older)]);
        self.steps = older.steps;
        self.steps.extend(steps);
        while MAX_STEPS < self.steps.len() || MAX_STEP_BYTES < self.step_bytes() {
            self.steps.pop_front();
        }
    }

    fn step_from(&self, older: &Self) -> Step {
        let edits = edit::diff(&older.bytes, &self.bytes);
        Step { from: older.head.revision, to: self.head, edits }
    }

    fn step_bytes(&self) -> usize {
        self.steps.iter().map(|step| edit::encoded_length(&step.edits)).sum()
    }

    /// Returns the message that updates a peer from `revision` to this
    /// document: the steps if they are kept and shorter, else the document or
    /// its first piece.
    pub(super) fn answer(&self, revision: Revision) -> Message {
        let steps: Vec<_> =
            self.steps.iter().skip_while(|step| step.from != revision).cloned().collect();
        let encoded_length: usize =
            steps.iter().map(|step| edit::encoded_length(&step.edits)).sum();
        if !steps.is_empty() && encoded_length < self.bytes.len() {
            return Message::Steps(steps);
        }
        if self.bytes.len() <= MAX_PIECE {
            return Message::Have { head: self.head, bytes: self.bytes.to_vec() };
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

//! The document in force, with its bytes and the steps that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use briarshift_settings::Document;
use briarshift_units::{Digest, Revision};
use briarshift_wire::document::{Delta, Head, Message};

use super::edit;

/// Steps kept for peers that are behind.
const MAX_STEPS: usize = 32;
/// Bytes of all steps kept, and of the steps in one message.
const MAX_STEP_BYTES: usize = 32 << 10;
/// Bytes of a document in one message.
const MAX_PIECE: usize = 16 << 10;

/// A document with its bytes.
#[derive(Debug)]
pub(super) struct Held {
    pub head: Head,
    pub bytes: Arc<[u8]>,
    pub document: Document,
    steps: VecDeque<Delta>,
}

impl Held {
    pub(super) fn new(head: Head, bytes: Arc<[u8]>, document: Document) -> Self {
        Self { head, bytes, document, steps: VecDeque::new() }
    }

    /// Keeps how this document came from `older`, for peers that are behind.
    pub(super) fn follow(&mut self, older: Self, steps: Option<Vec<Delta>>) {
        let steps = steps.unwrap_or_else(|| vec![self.step_from(&older)]);
        self.steps = older.steps;
        self.steps.extend(steps);
        while MAX_STEPS < self.steps.len() || MAX_STEP_BYTES < self.step_bytes() {
            self.steps.pop_front();
        }
    }

    fn step_from(&self, older: &Self) -> Delta {
        let edits = edit::diff(&older.bytes, &self.bytes);
        Delta { from: older.head.revision, to: self.head, edits }
    }

    fn step_bytes(&self) -> usize {
        self.steps.iter().map(|step| edit::cost(&step.edits)).sum()
    }

    /// What a peer at `revision` needs to get here.
    pub(super) fn answer(&self, revision: Revision) -> Message {
        let steps: Vec<_> =
            self.steps.iter().skip_while(|step| step.from != revision).cloned().collect();
        let cost: usize = steps.iter().map(|step| edit::cost(&step.edits)).sum();
        if !steps.is_empty() && cost < self.bytes.len() {
            return Message::Deltas(steps);
        }
        if self.bytes.len() <= MAX_PIECE {
            return Message::Full { head: self.head, bytes: self.bytes.to_vec() };
        }
        self.piece(self.head.digest, 0)
    }

    /// A piece of the document; its first one if another was asked for.
    pub(super) fn piece(&self, digest: Digest, offset: u32) -> Message {
        let wanted = if digest == self.head.digest { offset as usize } else { 0 };
        let start = wanted.min(self.bytes.len());
        let end = self.bytes.len().min(start + MAX_PIECE);
        Message::Piece {
            head: self.head,
            size: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            offset: u32::try_from(start).unwrap_or(u32::MAX),
            bytes: self.bytes[start..end].to_vec(),
        }
    }
}

//! Frames that wait to leave for one peer.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};
use briarshift_wire::Frame;

use crate::{Class, Kind};

/// Longest frame made by joining, in bytes: it fits into a datagram on every
/// path that QUIC allows.
const MAX_BATCH_BYTES: usize = 1_000;

/// A frame in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedFrame {
    /// What it carries.
    pub kind: Kind,
    /// The frame.
    pub frame: Frame,
    /// When it was queued.
    pub queued_at: Moment,
}

/// Frames that may leave as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Batch {
    /// How many.
    pub frames: usize,
    /// Their length in bytes.
    pub bytes: usize,
    /// When the first was queued.
    pub queued_at: Moment,
}

/// Frames for one peer: first in, first out within each class.
///
/// # Examples
///
/// ```
/// use briarshift_peer::Queue;
/// let queue = Queue::new(4);
/// assert!(queue.is_empty());
/// ```
#[derive(Debug)]
pub struct Queue {
    classes: [VecDeque<QueuedFrame>; Class::ALL.len()],
    max_frames: usize,
}

impl Queue {
    /// An empty queue that holds at most `max_frames` frames of each class.
    pub fn new(max_frames: usize) -> Self {
        Self { classes: Default::default(), max_frames: max_frames.max(1) }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// Adds a frame; returns the oldest of its class if there was no room.
    pub fn push(&mut self, queued: QueuedFrame) -> Option<QueuedFrame> {
        let class = &mut self.classes[queued.kind.class().index()];
        let dropped = if class.len() < self.max_frames { None } else { class.pop_front() };
        class.push_back(queued);
        dropped
    }

    /// The next frame of a class.
    pub fn front(&self, class: Class) -> Option<&QueuedFrame> {
        self.classes[class.index()].front()
    }

    /// How many frames of a class may leave as one, and their length in bytes:
    /// those that wait behind the first, are of its kind and fit beside it.
    pub fn next_batch(&self, class: Class) -> Option<Batch> {
        let first = self.front(class)?;
        let mut batch = Batch { frames: 0, bytes: 0, queued_at: first.queued_at };
        let kind = first.kind;
        for queued in self.classes[class.index()].iter().take_while(|next| next.kind == kind) {
            let bytes = batch.bytes + queued.frame.as_bytes().len();
            if 0 < batch.frames && MAX_BATCH_BYTES < bytes {
                break;
            }
            batch = Batch { frames: batch.frames + 1, bytes, ..batch };
        }
        Some(batch)
    }

    /// Takes the frames of a batch, joined into one.
    pub fn pop_batch(&mut self, class: Class, batch: Batch) -> Option<QueuedFrame> {
        let mut first = self.pop(class)?;
        for _ in 1..batch.frames {
            let next = self.pop(class)?;
            first.frame.append(&next.frame);
        }
        Some(first)
    }

    /// Takes the next frame of a class.
    pub fn pop(&mut self, class: Class) -> Option<QueuedFrame> {
        self.classes[class.index()].pop_front()
    }

    /// Drops frames that waited longer than their class allows and returns how
    /// many.
    pub fn drop_expired(&mut self, now: Moment) -> u64 {
        let mut expired = 0;
        for class in Class::ALL {
            let limit = max_queue_time(class);
            while self.front(class).is_some_and(|queued| limit < now.since(queued.queued_at)) {
                self.pop(class);
                expired += 1;
            }
        }
        expired
    }
}

/// How long a frame is worth sending: a caller gives up, and a later round of
/// gossip says more than an old one.
fn max_queue_time(class: Class) -> Span {
    match class {
        Class::Reservation => Span::from_secs(2),
        Class::Document => Span::from_secs(60),
        Class::Gossip => Span::from_secs(1),
    }
}

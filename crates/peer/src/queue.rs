//! The send queue for one peer.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};
use briarshift_wire::Frame;

use crate::{Class, Kind};

/// Longest joined frame, in bytes. It fits into a datagram on every path that supports QUIC.
const MAX_BATCH_BYTES: usize = 1_000;

/// A frame in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedFrame {
    /// Kind of the message in the frame.
    pub kind: Kind,
    /// The frame.
    pub frame: Frame,
    /// Time at which the frame was queued.
    pub queued_at: Moment,
}

/// The frames at the front of a queue that can be joined and sent as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Batch {
    /// Number of frames.
    pub frames: usize,
    /// Their total length in bytes.
    pub bytes: usize,
    /// Time at which the first frame was queued.
    pub queued_at: Moment,
}

/// Frames queued for one peer, in first-in, first-out order within each class.
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
    /// Returns an empty queue that holds at most `max_frames` frames of each class.
    pub fn new(max_frames: usize) -> Self {
        Self { classes: Default::default(), max_frames: max_frames.max(1) }
    }

    /// Returns true if no frame is queued.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// Adds a frame. If its class is full, removes and returns the oldest frame of the class.
    pub fn push(&mut self, queued: QueuedFrame) -> Option<QueuedFrame> {
        let class = &mut self.classes[queued.kind.class().index()];
        let dropped = if class.len() < self.max_frames { None } else { class.pop_front() };
        class.push_back(queued);
        dropped
    }

    /// Returns the next frame of a class without removing it.
    pub fn front(&self, class: Class) -> Option<&QueuedFrame> {
        self.classes[class.index()].front()
    }

    /// Returns the next frames of a class that can be joined: the first frame and those directly
    /// behind it that have the same kind and fit into one datagram together.
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

    /// Removes the frames of a batch and returns them joined into one.
    pub fn pop_batch(&mut self, class: Class, batch: Batch) -> Option<QueuedFrame> {
        let mut first = self.pop(class)?;
        for _ in 1..batch.frames {
            let next = self.pop(class)?;
            first.frame.append(&next.frame);
        }
        Some(first)
    }

    /// Removes and returns the next frame of a class.
    pub fn pop(&mut self, class: Class) -> Option<QueuedFrame> {
        self.classes[class.index()].pop_front()
    }

    /// Drops frames that have waited longer than their class allows, and returns their number.
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

/// Returns the longest time that a frame of a class may be queued. After it, the caller has given
/// up, or newer gossip has replaced the frame's content.
fn max_queue_time(class: Class) -> Span {
    match class {
        Class::Reservation => Span::from_secs(2),
        Class::Document => Span::from_secs(60),
        Class::Gossip => Span::from_secs(1),
    }
}

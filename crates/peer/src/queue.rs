//! Frames that wait to leave for one peer.

use std::collections::VecDeque;

use briarshift_units::{Moment, Span};
use briarshift_wire::Frame;

use crate::{Class, Kind};

/// A frame in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued {
    /// What it carries.
    pub kind: Kind,
    /// The frame.
    pub frame: Frame,
    /// When it was queued.
    pub at: Moment,
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
    classes: [VecDeque<Queued>; Class::ALL.len()],
    limit: usize,
}

impl Queue {
    /// An empty queue that holds at most `limit` frames of each class.
    pub fn new(limit: usize) -> Self {
        Self { classes: Default::default(), limit: limit.max(1) }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// Adds a frame; returns the oldest of its class if there was no room.
    pub fn push(&mut self, queued: Queued) -> Option<Queued> {
        let class = &mut self.classes[queued.kind.class().index()];
        let dropped = if class.len() < self.limit { None } else { class.pop_front() };
        class.push_back(queued);
        dropped
    }

    /// The next frame of a class.
    pub fn front(&self, class: Class) -> Option<&Queued> {
        self.classes[class.index()].front()
    }

    /// Takes the next frame of a class.
    pub fn pop(&mut self, class: Class) -> Option<Queued> {
        self.classes[class.index()].pop_front()
    }

    /// Drops frames that waited longer than their class allows and returns how
    /// many.
    pub fn expire(&mut self, now: Moment) -> u64 {
        let mut expired = 0;
        for class in Class::ALL {
            let limit = patience(class);
            while self.front(class).is_some_and(|queued| limit < now.since(queued.at)) {
                self.pop(class);
                expired += 1;
            }
        }
        expired
    }
}

/// How long a frame is worth sending: a caller gives up, and a later round of
/// gossip says more than an old one.
fn patience(class: Class) -> Span {
    match class {
        Class::Place => Span::from_secs(2),
        Class::Document => Span::from_secs(60),
        Class::Gossip => Span::from_secs(1),
    }
}

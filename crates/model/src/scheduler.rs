//! The virtual clock and the queue of scheduled events.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use briarshift_units::{Moment, Span};

/// A queue of events in the order of their times. Events with the same time stay
/// in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct Scheduler<T> {
    now: Moment,
    /// Number of events scheduled so far.
    scheduled: u64,
    queue: BinaryHeap<Reverse<Scheduled<T>>>,
}

#[derive(Debug)]
struct Scheduled<T> {
    at: Moment,
    sequence: u64,
    event: T,
}

impl<T> Scheduler<T> {
    pub(crate) fn new() -> Self {
        Self { now: Moment::default(), scheduled: 0, queue: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule(&mut self, delay: Span, event: T) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Removes the next event and advances the clock to its time.
    pub(crate) fn next(&mut self) -> Option<T> {
        let Reverse(scheduled) = self.queue.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Scheduled<T> {}

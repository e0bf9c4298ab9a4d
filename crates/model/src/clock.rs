//! What happens when.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use briarshift_units::{Moment, Span};

/// Events in the order of their time, and of their making where that is equal.
#[derive(Debug)]
pub(crate) struct Clock<T> {
    now: Moment,
    made: u64,
    queue: BinaryHeap<Reverse<Due<T>>>,
}

#[derive(Debug)]
struct Due<T> {
    at: Moment,
    number: u64,
    what: T,
}

impl<T> Clock<T> {
    pub(crate) fn new() -> Self {
        Self { now: Moment::default(), made: 0, queue: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// Makes something happen after a while.
    pub(crate) fn after(&mut self, wait: Span, what: T) {
        self.made += 1;
        self.queue.push(Reverse(Due { at: self.now + wait, number: self.made, what }));
    }

    /// The next event, to whose time the clock moves.
    pub(crate) fn next(&mut self) -> Option<T> {
        let Reverse(due) = self.queue.pop()?;
        self.now = due.at;
        Some(due.what)
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Due<T> {}

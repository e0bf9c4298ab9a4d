//! A bound for all answers that are held at the same time.
//!
//! Targets in trouble may send bytes without end, many of them at once. Each answer has
//! a limit of its own, and all of them share a budget: beyond it, an answer that holds
//! more than an equal share of the budget is broken off. Short answers beside it hold
//! less than that and are read to their end.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Bytes of answers that a VM holds, unless each of them is shorter than its share.
const BUDGET: usize = 48 << 20;

/// The answers that are being read.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    bytes: Cell<usize>,
    answers: Cell<usize>,
}

impl Memory {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// An answer as far as it has been read.
pub(crate) struct Answer {
    memory: Rc<Memory>,
    read: BytesMut,
}

impl Answer {
    pub(crate) fn new(memory: &Rc<Memory>) -> Self {
        memory.answers.set(memory.answers.get() + 1);
        Self { memory: Rc::clone(memory), read: BytesMut::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.read.len()
    }

    /// Appends bytes. Returns false if the answer holds more than its share of a budget
    /// that is used up.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        let used = self.memory.bytes.get() + bytes.len();
        let share = BUDGET / self.memory.answers.get().max(1);
        if BUDGET < used && share < self.read.len() + bytes.len() {
            return false;
        }
        self.memory.bytes.set(used);
        self.read.extend_from_slice(bytes);
        true
    }

    /// Returns the whole answer.
    pub(crate) fn finish(mut self) -> Bytes {
        let read = std::mem::take(&mut self.read);
        self.memory.bytes.set(self.memory.bytes.get().saturating_sub(read.len()));
        read.freeze()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.memory.bytes.set(self.memory.bytes.get().saturating_sub(self.read.len()));
        self.memory.answers.set(self.memory.answers.get().saturating_sub(1));
    }
}

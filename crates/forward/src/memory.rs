//! A budget for the bodies that a VM holds.
//!
//! Callers send bodies up to the operators' limit, many of them at once, and targets in
//! trouble send bytes without end. Each body has a limit of its own, and all of them share a
//! budget, from their first byte until nobody needs them: a request's body may be sent
//! again, and an answer waits for a caller that reads slowly. Beyond the budget, a body that
//! holds more than an equal share of it is given up. Short bodies beside it hold less than
//! that and are kept.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use briarshift_units::Size;
use bytes::Bytes;

/// The budget of a VM whose memory is not known.
const DEFAULT_BUDGET: Size = Size(48 << 20);
/// Bytes by which a buffer grows at least.
const MIN_GROWTH: usize = 16 << 10;
/// Fraction of its length by which a buffer grows, if its final length is not known.
const GROWTH_DIVISOR: usize = 4;

/// The budget, which clones share.
///
/// # Examples
///
/// ```
/// use briarshift_forward::Memory;
/// use briarshift_units::Size;
/// let memory = Memory::new(Size(1 << 20));
/// let mut buffer = memory.buffer(None);
/// assert!(buffer.push(b"order"));
/// let body = buffer.finish();
/// assert_eq!(body, "order");
/// assert!(Size(5) <= memory.held());
/// drop(body);
/// assert_eq!(memory.held(), Size(0));
/// ```
#[derive(Debug, Clone)]
pub struct Memory(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    budget: usize,
    bytes: AtomicUsize,
    /// Number of bodies that are held.
    bodies: AtomicUsize,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(DEFAULT_BUDGET)
    }
}

impl Memory {
    /// Creates a budget of this size.
    pub fn new(budget: Size) -> Self {
        Self(Arc::new(Inner {
            budget: budget.0 as usize,
            bytes: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
        }))
    }

    /// Returns a buffer for a body, whose length is expected to be `len` if that is known.
    pub fn buffer(&self, len: Option<usize>) -> Buffer {
        self.0.bodies.fetch_add(1, Ordering::Relaxed);
        Buffer { held: Held { bytes: Vec::new(), memory: self.clone() }, expected: len }
    }

    /// Returns the size of all bodies that are held, with what their buffers reserve.
    pub fn held(&self) -> Size {
        Size(self.0.bytes.load(Ordering::Relaxed) as u64)
    }

    /// Returns true if a body may hold `len` bytes when it holds `more` than now.
    fn allows(&self, len: usize, more: usize) -> bool {
        let used = self.0.bytes.load(Ordering::Relaxed) + more;
        let share = self.0.budget / self.0.bodies.load(Ordering::Relaxed).max(1);
        used <= self.0.budget || len <= share
    }
}

/// A body as far as it has been read.
#[derive(Debug)]
pub struct Buffer {
    held: Held,
    expected: Option<usize>,
}

impl Buffer {
    /// Returns the number of bytes that have been read.
    pub fn len(&self) -> usize {
        self.held.bytes.len()
    }

    /// Returns true if nothing has been read.
    pub fn is_empty(&self) -> bool {
        self.held.bytes.is_empty()
    }

    /// Appends bytes. Returns false, and keeps none of them, if the body would hold more than
    /// its share of a budget that is used up.
    #[must_use]
    pub fn push(&mut self, more: &[u8]) -> bool {
        let len = self.len() + more.len();
        let capacity = self.held.bytes.capacity();
        if capacity < len {
            let grown = len + MIN_GROWTH.max(len / GROWTH_DIVISOR);
            let wanted = self.expected.filter(|expected| len <= *expected).unwrap_or(grown);
            // An expected length is reserved step by step: it may never arrive.
            let wanted = wanted.min(grown);
            if !self.held.memory.allows(wanted, wanted - capacity) {
                return false;
            }
            self.held.reserve(wanted);
        }
        self.held.bytes.extend_from_slice(more);
        true
    }

    /// Returns the whole body, which counts until all its copies are dropped.
    pub fn finish(mut self) -> Bytes {
        let len = self.len();
        self.held.reserve(len);
        Bytes::from_owner(self.held)
    }
}

/// Bytes that count against a budget as long as they exist.
#[derive(Debug)]
struct Held {
    bytes: Vec<u8>,
    memory: Memory,
}

impl Held {
    /// Changes the capacity, which is what counts.
    fn reserve(&mut self, capacity: usize) {
        let before = self.bytes.capacity();
        if before < capacity {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        } else {
            self.bytes.shrink_to(capacity);
        }
        let (bytes, after) = (&self.memory.0.bytes, self.bytes.capacity());
        if before < after {
            bytes.fetch_add(after - before, Ordering::Relaxed);
        } else {
            bytes.fetch_sub(before - after, Ordering::Relaxed);
        }
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.0.bytes.fetch_sub(self.bytes.capacity(), Ordering::Relaxed);
        self.memory.0.bodies.fetch_sub(1, Ordering::Relaxed);
    }
}

//! Splitting of a stream into events.
//!
//! Only complete events are passed on to the caller. A target may stop inside
//! an event; if the incomplete event were passed on and the stream resumed, its
//! bytes would run together with those of the next one.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Largest event in bytes. It limits the memory that a target can fill by never
/// ending an event, and is far above the size of any event with tokens.
const MAX_EVENT: usize = 1 << 20;

/// The reason why a stream can't be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the size limit.
    #[error("an event is longer than {MAX_EVENT} bytes: the target must send shorter events")]
    Oversized,
}

/// Splits the bytes of a stream into events.
///
/// # Examples
///
/// ```
/// use briarshift_forward::event::Splitter;
/// let mut splitter = Splitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some("1"));
/// assert!(!splitter.is_at_event_boundary());
/// assert_eq!(splitter.push(b"ta: b\n\n").unwrap(), "id: 2\ndata: b\n\n");
/// assert_eq!(splitter.count(), 2);
/// assert!(splitter.is_at_event_boundary());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of the incomplete event.
    partial: BytesMut,
    last_id: Option<SmolStr>,
    /// Number of complete events so far.
    count: u32,
}

impl Splitter {
    /// Takes the next bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`] if the incomplete event exceeds the size
    /// limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            if MAX_EVENT < self.partial.len() {
                return Err(Error::Oversized);
            }
            return Ok(Bytes::new());
        };
        let events = self.partial.split_to(end).freeze();
        self.count = self.count.saturating_add(count(&events));
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Returns the number of complete events so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns true if no event is incomplete.
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the offset after the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let is_lf_end = |window: &[u8]| window == b"\n\n";
    let is_crlf_end = |window: &[u8]| window == b"\r\n\r\n";
    let lf = bytes.windows(2).rposition(is_lf_end).map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(is_crlf_end).map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the number of events in complete ones: of the empty lines that follow others.
fn count(events: &[u8]) -> u32 {
    let mut ended = 0;
    let mut in_event = false;
    for line in events.split(|byte| *byte == b'\n') {
        let is_empty = line.is_empty() || line == b"\r";
        ended += u32::from(is_empty && in_event);
        in_event = !is_empty;
    }
    ended
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().into())
}

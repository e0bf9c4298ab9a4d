//! Events of a stream, cut from its bytes.
//!
//! Only whole events go on to the caller: a target may stop in the middle of
//! one, and where the stream is resumed the rest of it would be joined to the
//! beginning of another.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Longest event in bytes: far above any token text, so that a target that
/// sends no end of an event can't fill the memory.
const MAX_EVENT: usize = 1 << 20;

/// Why a stream can't be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event has no end.
    #[error("an event is longer than {MAX_EVENT} bytes: the target must end it")]
    Oversized,
}

/// Cuts bytes into whole events.
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
/// assert!(splitter.is_at_event_boundary());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<SmolStr>,
}

impl Splitter {
    /// Takes bytes in and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] for an event that does not end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = end(&self.rest) else {
            if MAX_EVENT < self.rest.len() {
                return Err(Error::Oversized);
            }
            return Ok(Bytes::new());
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Id of the last whole event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether no event is begun.
    pub fn is_at_event_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Drops the beginning of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }
}

/// Where the last whole event ends.
fn end(bytes: &[u8]) -> Option<usize> {
    let blank = |window: &[u8]| window == b"\n\n";
    let crlf = |window: &[u8]| window == b"\r\n\r\n";
    let lf = bytes.windows(2).rposition(blank).map(|at| at + 2);
    let cr = bytes.windows(4).rposition(crlf).map(|at| at + 4);
    lf.max(cr)
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().into())
}

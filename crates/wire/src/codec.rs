//! Frames: a version byte and one or more encoded messages.

use crate::Message;

/// Version of the encoding, the first byte of each frame.
pub const VERSION: u8 = 1;

/// Longest frame in bytes: a document of one mebibyte and its head.
pub const MAX_FRAME: usize = 1_114_112;

/// Why a frame was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame has no bytes.
    #[error("the frame is empty: send a version byte and a message")]
    Empty,
    /// The frame is longer than [`MAX_FRAME`].
    #[error("the frame has {0} bytes: send at most {MAX_FRAME}")]
    Oversized(usize),
    /// The version byte is not [`VERSION`].
    #[error("the frame has version {0}, this VM speaks {VERSION}: run one release on all VMs")]
    Version(u8),
    /// The message ends early.
    #[error("the frame ends before its message does: send it whole")]
    Truncated,
    /// The message does not decode, or bytes are left over.
    #[error("the frame does not hold one message ({0}): run one release on all VMs")]
    Malformed(String),
}

/// One encoded message, or several that share a frame.
///
/// # Examples
///
/// ```
/// use briarshift_units::Revision;
/// use briarshift_wire::{Frame, Message, document};
/// let message = Message::Document(document::Message::Request { revision: Revision(3) });
/// let frame = Frame::encode(&message).unwrap();
/// assert_eq!(Frame::decode(frame.as_bytes()).unwrap(), message);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Vec<u8>);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] for a message longer than [`MAX_FRAME`].
    pub fn encode(message: &Message) -> Result<Self, Error> {
        let bytes = postcard::to_extend(message, vec![VERSION])
            .map_err(|err| Error::Malformed(err.to_string()))?;
        if MAX_FRAME < bytes.len() {
            return Err(Error::Oversized(bytes.len()));
        }
        Ok(Self(bytes))
    }

    /// Decodes one frame.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; arbitrary bytes never panic.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        let (message, rest) = first(body(bytes)?)?;
        if !rest.is_empty() {
            return Err(Error::Malformed(format!("{} bytes left over", rest.len())));
        }
        Ok(message)
    }

    /// Adds another frame's messages to this one, so that they share a
    /// datagram.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_units::Revision;
    /// use briarshift_wire::{Frame, Message, document};
    /// let message = Message::Document(document::Message::Request { revision: Revision(3) });
    /// let mut frame = Frame::encode(&message).unwrap();
    /// frame.append(&frame.clone());
    /// assert_eq!(Frame::decode_all(frame.as_bytes()).unwrap(), [message.clone(), message]);
    /// ```
    pub fn append(&mut self, other: &Self) {
        self.0.extend_from_slice(&other.0[1..]);
    }

    /// Decodes a frame of one or more messages, in order.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; arbitrary bytes never panic.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Message>, Error> {
        let mut rest = body(bytes)?;
        let mut messages = Vec::new();
        loop {
            let (message, left) = first(rest)?;
            messages.push(message);
            if left.is_empty() {
                return Ok(messages);
            }
            rest = left;
        }
    }

    /// The frame's bytes, version byte included.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// What follows the version byte, once length and version are checked.
fn body(bytes: &[u8]) -> Result<&[u8], Error> {
    if MAX_FRAME < bytes.len() {
        return Err(Error::Oversized(bytes.len()));
    }
    let (&version, body) = bytes.split_first().ok_or(Error::Empty)?;
    if version != VERSION {
        return Err(Error::Version(version));
    }
    Ok(body)
}

/// The first message, and what follows it.
fn first(bytes: &[u8]) -> Result<(Message, &[u8]), Error> {
    postcard::take_from_bytes(bytes).map_err(|err| match err {
        postcard::Error::DeserializeUnexpectedEnd => Error::Truncated,
        err => Error::Malformed(err.to_string()),
    })
}

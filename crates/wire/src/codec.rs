//! The frame encoding: a version byte and one or more encoded messages.

use crate::Message;

/// Version of the encoding, which is the first byte of each frame.
pub const VERSION: u8 = 1;

/// Largest length of a frame in bytes. A document of one mebibyte and its head
/// fit into one frame.
pub const MAX_FRAME: usize = 1_114_112;

/// An error of encoding or decoding.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame has no bytes.
    #[error("the frame is empty: send a version byte and a message")]
    Empty,
    /// The frame is longer than [`MAX_FRAME`].
    #[error("the frame has {0} bytes: send at most {MAX_FRAME}")]
    Oversized(usize),
    /// The first byte is not the supported version.
    #[error(
        "the frame has version {0}, but this VM supports {VERSION}: run one release on all VMs"
    )]
    Version(u8),
    /// The frame ends inside a message.
    #[error("the frame ends inside a message: send the complete frame")]
    Truncated,
    /// The codec can't encode or decode the message, or bytes follow it.
    #[error("the frame is not one valid message ({0}): run one release on all VMs")]
    Malformed(String),
}

/// A version byte and one or more encoded messages.
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
    /// Encodes one message as a frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`] if the frame would be longer than
    /// [`MAX_FRAME`], and [`Error::Malformed`] if the codec can't encode the
    /// message.
    pub fn encode(message: &Message) -> Result<Self, Error> {
        let bytes = postcard::to_extend(message, vec![VERSION])
            .map_err(|err| Error::Malformed(err.to_string()))?;
        if MAX_FRAME < bytes.len() {
            return Err(Error::Oversized(bytes.len()));
        }
        Ok(Self(bytes))
    }

    /// Decodes a frame of exactly one message.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not such a frame. No input makes
    /// it panic.
    pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
        let (message, rest) = decode_first(body(bytes)?)?;
        if !rest.is_empty() {
            return Err(Error::Malformed(format!("{} bytes follow the message", rest.len())));
        }
        Ok(message)
    }

    /// Appends the messages of another frame, so that one datagram carries
    /// both.
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

    /// Decodes all messages of a frame, in order.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not a frame of at least one
    /// message. No input makes it panic.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Message>, Error> {
        let mut rest = body(bytes)?;
        let mut messages = Vec::new();
        loop {
            let (message, remaining) = decode_first(rest)?;
            messages.push(message);
            if remaining.is_empty() {
                return Ok(messages);
            }
            rest = remaining;
        }
    }

    /// Returns the encoded frame, including the version byte.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Checks the length and the version, and returns the bytes after the version
/// byte.
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

/// Decodes the first message and returns it with the bytes that follow it.
fn decode_first(bytes: &[u8]) -> Result<(Message, &[u8]), Error> {
    postcard::take_from_bytes(bytes).map_err(|err| match err {
        postcard::Error::DeserializeUnexpectedEnd => Error::Truncated,
        err => Error::Malformed(err.to_string()),
    })
}

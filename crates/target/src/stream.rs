//! Incremental validation of a response.
//!
//! A caller must get the complete response to its own request, so each
//! response is validated: its head must echo the attempt's id, a stream of
//! server-sent events is complete only with its end marker, and any other body
//! only if it has the stated length or, without a stated length, is a complete
//! JSON object or array. The end of the body alone proves nothing, because the
//! HTTP library reports a chunked body that was cut off as ended.
//!
//! The [`Reader`] takes the bytes as they arrive, in chunks of any size; the
//! [`Event`]s that it returns don't depend on the chunks. It buffers at most
//! one incomplete event, or one body that is not a stream, and fails if either
//! exceeds its limit.
//!
//! A body that is not a stream is returned only when it is complete. If its
//! status line were passed on to the caller earlier, the request could no longer
//! be retried when the target fails.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::{Attempt, Call, Failure, Method, Response};

/// Largest event of a stream in bytes.
pub const MAX_EVENT: usize = 1 << 20;
/// Largest body in bytes of a response that is not a stream.
pub const MAX_BODY: usize = 8 << 20;
/// Data of the last event of a complete stream.
pub const END_MARKER: &[u8] = b"[DONE]";
/// HTTP status of a response that never has a body.
const NO_CONTENT: u16 = 204;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, if the engine set one.
    pub id: Option<u64>,
    /// The encoded event to pass on: its lines, each ended by `\n`, and the
    /// empty line that ends it.
    pub bytes: Bytes,
    /// True if this is the end marker.
    pub last: bool,
}

/// The token usage of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Number of prompt tokens that the engine found in its cache.
    pub cached: u64,
    /// Number of tokens that the engine generated.
    pub completion: u64,
}

/// The result of reading a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteResponse {
    /// The body, unless it was a stream.
    pub body: Option<Bytes>,
    /// Token usage; zero if the response doesn't state it.
    pub tokens: Tokens,
}

/// Reads and validates one response.
///
/// # Examples
///
/// ```
/// use briarshift_target::stream::Reader;
/// use briarshift_target::{Attempt, Response};
/// use briarshift_units::RequestId;
/// use futures::stream::{self, StreamExt};
///
/// let id = Attempt { request: RequestId(1), number: 1 };
/// let head = Response {
///     status: 200,
///     content_type: Some("text/event-stream".into()),
///     echoed_id: Some(id.to_string().into()),
///     length: None,
///     retry_after: None,
///     body: stream::empty().boxed_local(),
/// };
/// let mut reader = Reader::new(id, &head).unwrap();
/// let events = reader.push(b"id: 1\ndata: {}\n\ndata: [DO").unwrap();
/// assert_eq!(events[0].id, Some(1));
/// assert_eq!(reader.last_id(), 1);
/// assert!(reader.push(b"NE]\n\n").unwrap()[0].last);
/// assert_eq!(reader.finish().unwrap().body, None);
/// ```
#[derive(Debug, Clone)]
pub struct Reader {
    id: Attempt,
    tokens: Tokens,
    mode: Mode,
}

#[derive(Debug, Clone)]
enum Mode {
    Stream(StreamParser),
    Buffered { body: BytesMut, length: Option<u64>, json: bool },
}

impl Reader {
    /// Validates the head of a response and creates a reader of its body.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Crossed`] if the response doesn't echo the id of the
    /// attempt.
    pub fn new(id: Attempt, head: &Response) -> Result<Self, Failure> {
        check_echoed_id(id, head)?;
        let mode = if is_stream(head) {
            Mode::Stream(StreamParser::default())
        } else {
            let json = head.content_type.as_deref().is_some_and(|kind| kind.contains("json"));
            let length = head.length.or((head.status == NO_CONTENT).then_some(0));
            Mode::Buffered { body: BytesMut::new(), length, json }
        };
        Ok(Self { id, tokens: Tokens::default(), mode })
    }

    /// Returns true if the response is a stream, whose events are returned as
    /// they arrive.
    pub fn is_stream(&self) -> bool {
        matches!(self.mode, Mode::Stream(_))
    }

    /// Returns the number of the last complete event, after which a broken
    /// stream can be resumed. Returns 0 before the first event.
    pub fn last_id(&self) -> u64 {
        match &self.mode {
            Mode::Stream(stream) => stream.last_id,
            Mode::Buffered { .. } => 0,
        }
    }

    /// Continues a broken stream with the response to the call that [`resume`]
    /// returns. Discards the bytes of an incomplete event, which the engine
    /// sends again.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Crossed`] as [`Self::new`] does, and
    /// [`Failure::Broken`] if the engine can't resume the stream or the first
    /// response was not a stream.
    pub fn resume_with(&mut self, head: &Response) -> Result<(), Failure> {
        check_echoed_id(self.id, head)?;
        let Mode::Stream(stream) = &mut self.mode else {
            return Err(Failure::Broken("the first response is not a stream".into()));
        };
        if head.status != 200 || !is_stream(head) {
            return Err(Failure::Broken(
                format!("the call to resume the stream got status {}", head.status).into(),
            ));
        }
        stream.discard_partial();
        Ok(())
    }

    /// Takes the next bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Protocol`] if data follows the end marker, if an event
    /// id is not a number, or if an event or a body exceeds its limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Failure> {
        match &mut self.mode {
            Mode::Stream(stream) => {
                let mut events = Vec::new();
                for &byte in bytes {
                    stream.push(byte, &mut events, &mut self.tokens)?;
                }
                Ok(events)
            }
            Mode::Buffered { body, .. } => {
                if MAX_BODY < body.len() + bytes.len() {
                    return Err(protocol("the body exceeds the size limit"));
                }
                body.extend_from_slice(bytes);
                Ok(Vec::new())
            }
        }
    }

    /// Checks that the response is complete, after its body has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the response is incomplete.
    pub fn finish(self) -> Result<CompleteResponse, Failure> {
        match self.mode {
            Mode::Stream(stream) if stream.done => {
                Ok(CompleteResponse { body: None, tokens: self.tokens })
            }
            Mode::Stream(_) => Err(Failure::Broken("the stream has no end marker".into())),
            Mode::Buffered { body, length, json } => {
                if !is_complete(&body, length, json) {
                    return Err(Failure::Broken("the body ended early".into()));
                }
                let tokens = usage(&body).unwrap_or_default();
                Ok(CompleteResponse { body: Some(body.freeze()), tokens })
            }
        }
    }
}

/// Returns the call that resumes a stream after event `after`, to be sent to
/// the engine that runs the attempt.
///
/// # Examples
///
/// ```
/// use briarshift_target::{Attempt, stream};
/// use briarshift_units::RequestId;
/// let id = Attempt { request: RequestId(1), number: 2 };
/// assert_eq!(stream::resume(id, 7).path, "/v1/streams/0000000000000001.2?after=7");
/// ```
pub fn resume(id: Attempt, after: u64) -> Call {
    Call {
        id,
        method: Method("GET".into()),
        path: format!("/v1/streams/{id}?after={after}"),
        content_type: None,
        body: Bytes::new(),
        chat: None,
        overnight: false,
    }
}

/// A parser of server-sent events. It works byte by byte, so that chunks may
/// end inside a line.
#[derive(Debug, Clone, Default)]
struct StreamParser {
    /// The incomplete line.
    line: Vec<u8>,
    /// Complete lines of the incomplete event.
    event: Vec<u8>,
    /// Data of the incomplete event, its lines joined by `\n`.
    data: Option<Vec<u8>>,
    /// Id of the incomplete event.
    id: Option<u64>,
    last_id: u64,
    /// True if the last byte was `\r`; a `\n` that follows belongs to the same
    /// line end.
    after_return: bool,
    done: bool,
}

impl StreamParser {
    fn discard_partial(&mut self) {
        self.line.clear();
        self.event.clear();
        self.data = None;
        self.id = None;
        self.after_return = false;
    }

    fn push(
        &mut self,
        byte: u8,
        events: &mut Vec<Event>,
        tokens: &mut Tokens,
    ) -> Result<(), Failure> {
        let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
        match byte {
            b'\n' if after_return => Ok(()),
            b'\n' | b'\r' => self.end_line(events, tokens),
            _ => {
                if MAX_EVENT <= self.line.len() + self.event.len() {
                    return Err(protocol("an event exceeds the size limit"));
                }
                self.line.push(byte);
                Ok(())
            }
        }
    }

    fn end_line(&mut self, events: &mut Vec<Event>, tokens: &mut Tokens) -> Result<(), Failure> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            events.extend(self.end_event(tokens)?);
            return Ok(());
        }
        // Comments serve only as keep-alives.
        if line[0] == b':' {
            return Ok(());
        }
        if self.done {
            return Err(protocol("the stream continues after its end marker"));
        }
        let (name, value) = field(&line);
        match name {
            b"data" => {
                let data = self.data.get_or_insert_default();
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(value);
            }
            b"id" => self.id = Some(parse_id(value)?),
            _ => {}
        }
        self.event.extend_from_slice(&line);
        self.event.push(b'\n');
        Ok(())
    }

    /// Ends the event at an empty line. Returns `None` if the event has no data
    /// or was returned before the stream was resumed.
    fn end_event(&mut self, tokens: &mut Tokens) -> Result<Option<Event>, Failure> {
        let mut bytes = std::mem::take(&mut self.event);
        let id = self.id.take();
        let Some(data) = self.data.take() else { return Ok(None) };
        if id.is_some_and(|id| id <= self.last_id) {
            return Ok(None);
        }
        self.last_id = id.unwrap_or(self.last_id);
        self.done = data == END_MARKER;
        if let Some(found) = usage(&data) {
            *tokens = found;
        }
        bytes.push(b'\n');
        Ok(Some(Event { id, bytes: bytes.into(), last: self.done }))
    }
}

/// Splits a line into field name and value, without the one space that may
/// follow the colon.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|&byte| byte == b':') else { return (line, b"") };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_id(value: &[u8]) -> Result<u64, Failure> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| text.parse().ok()).ok_or_else(|| protocol("an event id is not a number"))
}

fn protocol(reason: &str) -> Failure {
    Failure::Protocol(reason.into())
}

fn check_echoed_id(id: Attempt, head: &Response) -> Result<(), Failure> {
    let echoed = head.echoed_id.clone().unwrap_or_default();
    if echoed.parse() != Ok(id) {
        return Err(Failure::Crossed(echoed));
    }
    Ok(())
}

fn is_stream(head: &Response) -> bool {
    head.content_type.as_deref().is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn is_complete(body: &[u8], length: Option<u64>, json: bool) -> bool {
    match length {
        Some(length) => length == body.len() as u64,
        // Only objects and arrays are accepted: a truncated number can still be
        // a valid number.
        None => {
            let nested = matches!(body.trim_ascii_start().first(), Some(b'{' | b'['));
            json && nested && serde_json::from_slice::<IgnoredAny>(body).is_ok()
        }
    }
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

/// Returns the token usage that a chunk or a body states.
fn usage(data: &[u8]) -> Option<Tokens> {
    const FIELD: &[u8] = b"\"usage\"";
    // Only the last chunk states the usage; the others are not parsed.
    if !data.windows(FIELD.len()).any(|window| window == FIELD) {
        return None;
    }
    let usage = serde_json::from_slice::<Chunk>(data).ok()?.usage?;
    Some(Tokens {
        prompt: usage.prompt_tokens,
        cached: usage.prompt_tokens_details.map_or(0, |details| details.cached_tokens),
        completion: usage.completion_tokens,
    })
}

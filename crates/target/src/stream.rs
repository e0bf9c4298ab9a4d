//! Checks an answer while it is read.
//!
//! A caller must get the whole answer to its own request, so nothing is
//! trusted by its looks: the head must echo the attempt's id, a stream of
//! server-sent events is whole only with its end marker, and any other body
//! only with its stated length or, sent without one, as a complete JSON
//! object. (The HTTP library reports a chunked body that broke off as ended,
//! so the end of a body proves nothing.) The [`Reader`] is fed with bytes as they arrive, in pieces of any size; the
//! [`Event`]s that come out depend on the bytes alone. It keeps at most one
//! unfinished event, or one body that is no stream, and refuses either when it
//! grows past its limit.
//!
//! A body that is no stream is handed out whole at the end. Passing it on
//! earlier would put its status line before the caller while the target can
//! still fail, and would forbid the retry.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::{Attempt, Call, Failure, Method, Response};

/// Longest event of a stream, in bytes.
pub const MAX_EVENT: usize = 1 << 20;
/// Longest body that is no stream, in bytes.
pub const MAX_BODY: usize = 8 << 20;
/// What the last event of a whole stream carries as its data.
pub const END_MARKER: &[u8] = b"[DONE]";
/// The HTTP status of an answer that never has a body.
const NO_CONTENT: u16 = 204;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if the engine gave one.
    pub id: Option<u64>,
    /// Its lines, each ended by `\n`, and the empty line that ends it: ready
    /// to be passed on.
    pub bytes: Bytes,
    /// Whether this is the end marker.
    pub last: bool,
}

/// Tokens that a chat used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Of these, tokens found in the engine's cache.
    pub cached: u64,
    /// Tokens generated.
    pub completion: u64,
}

/// What a whole answer came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteResponse {
    /// The body, unless it was a stream.
    pub body: Option<Bytes>,
    /// Tokens used, zero if the answer names none.
    pub tokens: Tokens,
}

/// Reads one answer and checks it.
///
/// # Examples
///
/// ```
/// use briarshift_target::stream::Reader;
/// use briarshift_target::{Response, Attempt};
/// use briarshift_units::RequestId;
/// use futures::stream::{self, StreamExt};
///
/// let id = Attempt { request: RequestId(1), number: 1 };
/// let head = Response {
///     status: 200,
///     content_type: Some("text/event-stream".into()),
///     echo: Some(id.to_string().into()),
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
    Stream(Stream),
    Whole { body: BytesMut, length: Option<u64>, json: bool },
}

impl Reader {
    /// Checks an answer's head and makes ready for its body.
    ///
    /// # Errors
    ///
    /// [`Failure::Crossed`] if the echo is missing or another request's.
    pub fn new(id: Attempt, head: &Response) -> Result<Self, Failure> {
        check_echo(id, head)?;
        let mode = if is_stream(head) {
            Mode::Stream(Stream::default())
        } else {
            let json = head.content_type.as_deref().is_some_and(|kind| kind.contains("json"));
            let length = head.length.or((head.status == NO_CONTENT).then_some(0));
            Mode::Whole { body: BytesMut::new(), length, json }
        };
        Ok(Self { id, tokens: Tokens::default(), mode })
    }

    /// Whether events are handed out while they arrive.
    pub fn is_stream(&self) -> bool {
        matches!(self.mode, Mode::Stream(_))
    }

    /// Number of the last whole event, 0 before the first: where a broken
    /// stream is resumed.
    pub fn last_id(&self) -> u64 {
        match &self.mode {
            Mode::Stream(stream) => stream.last_id,
            Mode::Whole { .. } => 0,
        }
    }

    /// Goes on with the answer to [`resume`], after the stream broke. Bytes
    /// of an event that was not whole are dropped; the engine sends it again.
    ///
    /// # Errors
    ///
    /// [`Failure::Crossed`] as for [`Self::new`]; [`Failure::Broken`] if the
    /// engine can't resume, or there is no stream to resume.
    pub fn resume_with(&mut self, head: &Response) -> Result<(), Failure> {
        check_echo(self.id, head)?;
        let Mode::Stream(stream) = &mut self.mode else {
            return Err(Failure::Broken("the answer was no stream".into()));
        };
        if head.status != 200 || !is_stream(head) {
            return Err(Failure::Broken(format!("resume answered {}", head.status).into()));
        }
        stream.drop_partial();
        Ok(())
    }

    /// Takes the next bytes and returns the events they complete.
    ///
    /// # Errors
    ///
    /// [`Failure::Protocol`] for bytes after the end marker, an event id that
    /// is no number, or an event or body past its limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Failure> {
        match &mut self.mode {
            Mode::Stream(stream) => {
                let mut events = Vec::new();
                for &byte in bytes {
                    stream.take(byte, &mut events, &mut self.tokens)?;
                }
                Ok(events)
            }
            Mode::Whole { body, .. } => {
                if MAX_BODY < body.len() + bytes.len() {
                    return Err(protocol("the body is longer than this VM keeps"));
                }
                body.extend_from_slice(bytes);
                Ok(Vec::new())
            }
        }
    }

    /// Ends the answer when its body has ended.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] if the answer is not whole.
    pub fn finish(self) -> Result<CompleteResponse, Failure> {
        match self.mode {
            Mode::Stream(stream) if stream.done => {
                Ok(CompleteResponse { body: None, tokens: self.tokens })
            }
            Mode::Stream(_) => Err(Failure::Broken("the stream has no end marker".into())),
            Mode::Whole { body, length, json } => {
                if !is_whole(&body, length, json) {
                    return Err(Failure::Broken("the body ended early".into()));
                }
                let tokens = usage(&body).unwrap_or_default();
                Ok(CompleteResponse { body: Some(body.freeze()), tokens })
            }
        }
    }
}

/// The call that resumes a stream on the engine that ran it, after an event.
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

/// Events of a stream, read byte by byte so that a line may be cut anywhere.
#[derive(Debug, Clone, Default)]
struct Stream {
    /// The line being read.
    line: Vec<u8>,
    /// CompleteResponse lines of the event being read.
    event: Vec<u8>,
    /// Data lines of the event being read, joined.
    data: Option<Vec<u8>>,
    id: Option<u64>,
    last_id: u64,
    after_return: bool,
    done: bool,
}

impl Stream {
    fn drop_partial(&mut self) {
        self.line.clear();
        self.event.clear();
        self.data = None;
        self.id = None;
        self.after_return = false;
    }

    fn take(
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
                    return Err(protocol("an event is longer than this VM keeps"));
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
        // Comments only keep the connection awake.
        if line[0] == b':' {
            return Ok(());
        }
        if self.done {
            return Err(protocol("the stream goes on after its end marker"));
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
            b"id" => self.id = Some(number(value)?),
            _ => {}
        }
        self.event.extend_from_slice(&line);
        self.event.push(b'\n');
        Ok(())
    }

    /// The event that an empty line ends. One without data is none, and one
    /// that was read before the stream was resumed is not handed out twice.
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

/// A line's field name and value, without the one space that may follow the
/// colon.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|&byte| byte == b':') else { return (line, b"") };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn number(value: &[u8]) -> Result<u64, Failure> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| text.parse().ok()).ok_or_else(|| protocol("an event id is no number"))
}

fn protocol(why: &str) -> Failure {
    Failure::Protocol(why.into())
}

fn check_echo(id: Attempt, head: &Response) -> Result<(), Failure> {
    let echo = head.echoed_id.clone().unwrap_or_default();
    if echo.parse() != Ok(id) {
        return Err(Failure::Crossed(echo));
    }
    Ok(())
}

fn is_stream(head: &Response) -> bool {
    head.content_type.as_deref().is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn is_whole(body: &[u8], length: Option<u64>, json: bool) -> bool {
    match length {
        Some(length) => length == body.len() as u64,
        // A cut number is a number still, a cut object or array is not.
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

fn usage(data: &[u8]) -> Option<Tokens> {
    const NAME: &[u8] = b"\"usage\"";
    // Only the last chunk names its usage; the others need no parsing.
    if !data.windows(NAME.len()).any(|window| window == NAME) {
        return None;
    }
    let usage = serde_json::from_slice::<Chunk>(data).ok()?.usage?;
    Some(Tokens {
        prompt: usage.prompt_tokens,
        cached: usage.prompt_tokens_details.map_or(0, |details| details.cached_tokens),
        completion: usage.completion_tokens,
    })
}

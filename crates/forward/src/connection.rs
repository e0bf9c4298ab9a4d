//! Requests and responses.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::memory::Memory;
use crate::pool::Connection;
use crate::stream::Meter;

/// Largest body that is read as a whole, in bytes. A target in trouble may send
/// bytes without end, and a VM has a few hundred megabytes for all requests.
pub const MAX_BODY: usize = 8 << 20;
/// Largest body that is read only to keep its connection, in bytes. Reading more
/// costs more than a new connection.
const MAX_UNUSED_BODY: usize = 64 << 10;
/// Longest time to read such a body.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to a target.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// Headers, without those of the framing, which the client adds.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// The reason why a request has no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nothing was written.
    #[error("the request was not sent ({0}): it can be sent to another target")]
    NotSent(SmolStr),
    /// The request was written at least in part, and the response is missing or
    /// incomplete.
    #[error(
        "the response is missing or incomplete ({0}): the request may have run, \
         check before sending it again"
    )]
    Broken(SmolStr),
}

/// A target's response, of which the head has arrived.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// True if another request had been sent on the connection before. The target may
    /// then have written a response to that one once more.
    pub is_reused: bool,
    /// Body, which may still be arriving.
    pub body: Body,
}

/// The body of a response. If it is dropped before its end, the connection is
/// closed, which tells the target that the caller no longer waits.
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    memory: Memory,
    /// Set if the body has no length and ends with its connection.
    unframed: Option<Rc<Meter>>,
}

impl Body {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        memory: &Memory,
        unframed: Option<Rc<Meter>>,
    ) -> Self {
        Self { incoming, connection: Some(connection), memory: memory.clone(), unframed }
    }

    /// Waits for the next bytes and returns them, or `None` at the end of the
    /// body.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the connection ends before the body does. A body
    /// without a length ends with its connection, but it is not taken for whole if the
    /// target closed the connection before it could have read the request.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(err)) => {
                    self.connection = None;
                    return Err(Failure::Broken(error_chain(&err)));
                }
                None => {
                    if self.unframed.as_ref().is_some_and(|meter| meter.is_request_unfinished()) {
                        self.connection = None;
                        return Err(Failure::Broken("ended before it read the request".into()));
                    }
                    if let Some(connection) = self.connection.take() {
                        connection.release();
                    }
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the rest of the body, which may have at most [`MAX_BODY`] bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the connection ends before the body does, or the
    /// body is longer, or all bodies that are being read take too much memory and this
    /// one more than its share. The connection is then closed.
    pub async fn read_to_end(mut self) -> Result<Bytes, Failure> {
        let len = self.incoming.size_hint().exact().map(|len| len as usize);
        let mut answer = self.memory.buffer(len);
        while let Some(bytes) = self.chunk().await? {
            if MAX_BODY < answer.len() + bytes.len() {
                return Err(Failure::Broken(format!("longer than {MAX_BODY} bytes").into()));
            }
            if !answer.push(&bytes) {
                return Err(Failure::Broken("too long beside other bodies".into()));
            }
        }
        Ok(answer.finish())
    }

    /// Reads the rest of a body that nobody needs, so that its connection can be
    /// used again. If that takes long, closes the connection instead.
    pub async fn close(mut self) {
        let mut len = 0;
        let read = async {
            while let Ok(Some(bytes)) = self.chunk().await {
                len += bytes.len();
                if MAX_UNUSED_BODY < len {
                    return;
                }
            }
        };
        // The connection is closed when the body is dropped, after either outcome.
        let _ = timeout(UNUSED_BODY_TIMEOUT, read).await;
    }
}

/// Returns the messages of an error and its sources, joined by `: `.
pub(crate) fn error_chain(err: &dyn std::error::Error) -> SmolStr {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(err) = source {
        text.push_str(": ");
        text.push_str(&err.to_string());
        source = err.source();
    }
    text.into()
}

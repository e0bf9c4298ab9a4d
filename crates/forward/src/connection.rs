//! Requests and answers on one connection.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;

use crate::lane::Lane;

/// A request to a target.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub path: String,
    /// Its headers; the framing ones are set when it is written.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// Why an answer did not come, or not whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nothing was written.
    #[error("the request was not sent ({0}): it may go to another target")]
    NotSent(SmolStr),
    /// The request was written, at least in part.
    #[error("the answer did not come whole ({0}): the request may have run")]
    Broken(SmolStr),
}

/// A target's answer, its body still to come.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
}

/// An answer's body. Dropped before its end, it takes its connection with it,
/// which tells the target that nobody waits any more.
pub struct Body {
    incoming: Incoming,
    lane: Option<Lane>,
}

impl Body {
    pub(crate) fn new(incoming: Incoming, lane: Lane) -> Self {
        Self { incoming, lane: Some(lane) }
    }

    /// The next bytes; `None` at the end of a whole body.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] if the connection ends before the body does.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(err)) => {
                    self.lane = None;
                    return Err(Failure::Broken(text(&err)));
                }
                None => {
                    if let Some(lane) = self.lane.take() {
                        lane.give_back();
                    }
                    return Ok(None);
                }
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] if the connection ends before the body does.
    pub async fn read_to_end(mut self) -> Result<Bytes, Failure> {
        let Some(first) = self.chunk().await? else { return Ok(Bytes::new()) };
        let mut all = Vec::from(first);
        while let Some(bytes) = self.chunk().await? {
            all.extend_from_slice(&bytes);
        }
        Ok(all.into())
    }
}

/// An error with its causes.
pub(crate) fn text(err: &dyn std::error::Error) -> SmolStr {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(err) = source {
        text.push_str(": ");
        text.push_str(&err.to_string());
        source = err.source();
    }
    text.into()
}

//! A connection's stream of bytes, and what it lets a target do.
//!
//! A target in trouble may write without end: interim answers one after the other, which
//! the HTTP library skips, or a body as fast as the link takes it. One connection must not
//! keep the thread from the others, so a stream yields after some bytes, and it fails if
//! a head doesn't end.
//!
//! An answer without a length ends with its connection. Whether it is whole shows only in
//! what else happened on that connection, which the [`Meter`] keeps.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a target may write before the head of its answer is complete, interim
/// answers included.
const MAX_HEAD: usize = 64 << 10;
/// Bytes that are read at once before other connections get their turn.
const MAX_BURST: usize = 64 << 10;

/// What has passed through a connection since its last request began.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    /// Bytes that may still arrive before the head is complete; `None` after it.
    head_left: Cell<Option<usize>>,
    written: Cell<usize>,
    /// Length of the request's body.
    body_len: Cell<usize>,
    has_write_failed: Cell<bool>,
    /// Bytes read since the last pause.
    burst: Cell<usize>,
}

impl Meter {
    /// Begins a request with a body of this many bytes.
    pub(crate) fn start(&self, body_len: usize) {
        self.head_left.set(Some(MAX_HEAD));
        self.written.set(0);
        self.body_len.set(body_len);
        self.has_write_failed.set(false);
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn end_head(&self) {
        self.head_left.set(None);
    }

    /// Returns true if part of the request was not written, so that the target can't have
    /// read it.
    pub(crate) fn is_request_unfinished(&self) -> bool {
        self.has_write_failed.get() || self.written.get() < self.body_len.get()
    }

    fn record_read(&self, len: usize) {
        self.burst.set(self.burst.get() + len);
        self.head_left.set(self.head_left.get().map(|left| left.saturating_sub(len)));
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(len)) => self.written.set(self.written.get() + len),
            Poll::Ready(Err(_)) => self.has_write_failed.set(true),
            Poll::Pending => {}
        }
    }
}

/// The stream of a connection to a target.
pub(crate) struct Stream {
    inner: TcpStream,
    meter: Rc<Meter>,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, meter: Rc<Meter>) -> Self {
        Self { inner, meter }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.head_left.get() == Some(0) {
            let error = format!("no head of an answer within {MAX_HEAD} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        if MAX_BURST <= self.meter.burst.get() {
            self.meter.burst.set(0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read {
            Poll::Ready(_) => self.meter.record_read(buf.filled().len() - before),
            Poll::Pending => self.meter.burst.set(0),
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.meter.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.meter.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

//! A connection's stream of bytes.
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

/// What has passed through a connection since its last request began.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    written: Cell<usize>,
    /// Length of the request's body.
    body_len: Cell<usize>,
    has_write_failed: Cell<bool>,
}

impl Meter {
    /// Begins a request with a body of this many bytes.
    pub(crate) fn start(&self, body_len: usize) {
        self.written.set(0);
        self.body_len.set(body_len);
        self.has_write_failed.set(false);
    }

    /// Returns true if part of the request was not written, so that the target can't have
    /// read it.
    pub(crate) fn is_request_unfinished(&self) -> bool {
        self.has_write_failed.get() || self.written.get() < self.body_len.get()
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
        Pin::new(&mut self.inner).poll_read(cx, buf)
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

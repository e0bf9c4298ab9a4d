//! Relays the events of a stream from a target to a caller.
//!
//! Only complete events are relayed. At most [`MAX_BUFFERED_CHUNKS`] chunks of
//! events are buffered: a caller that reads slowly slows the target down
//! (backpressure) and does not fill the memory.

use actix_web::web::Bytes;
use briarshift_target::stream::{Reader, Tokens};
use briarshift_target::{Body, Failure, Response};
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::Stream;
use tokio::sync::mpsc;

/// Limit of chunks that were read from the target and not yet by the caller.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// A stream that is being relayed.
pub(crate) struct Relay {
    reader: Reader,
    sink: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

/// How the relaying of a stream ended.
pub(crate) enum StreamEnd {
    /// The target sent the end marker.
    Complete(Tokens),
    /// The caller closed its connection.
    CallerLeft,
    /// The target's body ended or failed before the end marker; the caller is
    /// still connected.
    Interrupted { failure: Failure, relay: Relay },
}

impl Relay {
    /// Returns a relay and the response body that its caller reads.
    pub(crate) fn new(
        reader: Reader,
    ) -> (Self, impl Stream<Item = Result<Bytes, std::io::Error>> + 'static) {
        let (sink, mut source) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (Self { reader, sink }, futures::stream::poll_fn(move |ctx| source.poll_recv(ctx)))
    }

    /// Returns the number of the last complete event read, 0 before the first.
    pub(crate) fn last_id(&self) -> u64 {
        self.reader.last_id()
    }

    /// Prepares to read the rest of an interrupted stream from a new answer, whose
    /// status and headers are in `head`.
    ///
    /// # Errors
    ///
    /// Fails if that answer does not continue the stream.
    pub(crate) fn resume_with(&mut self, head: &Response) -> Result<(), Failure> {
        self.reader.resume_with(head)
    }

    /// Relays events until the target's body ends or the caller leaves.
    pub(crate) async fn run(mut self, mut body: Body) -> StreamEnd {
        loop {
            let chunk = tokio::select! {
                chunk = body.next() => chunk,
                () = self.sink.closed() => return StreamEnd::CallerLeft,
            };
            let Some(chunk) = chunk else { return self.finish() };
            match chunk.and_then(|chunk| self.complete_events(&chunk)) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    if self.sink.send(Ok(events)).await.is_err() {
                        return StreamEnd::CallerLeft;
                    }
                }
                Err(failure) => return StreamEnd::Interrupted { failure, relay: self },
            }
        }
    }

    /// Ends an interrupted stream with an error event for the caller.
    pub(crate) async fn send_error(self, error: &str) {
        let event = format!("event: error\ndata: {error}\n\n");
        // Sending fails if the caller has left, who then needs no error event.
        let _ = self.sink.send(Ok(event.into())).await;
    }

    fn complete_events(&mut self, chunk: &[u8]) -> Result<Bytes, Failure> {
        let mut events = BytesMut::new();
        for event in self.reader.push(chunk)? {
            events.extend_from_slice(&event.bytes);
        }
        Ok(events.freeze())
    }

    fn finish(self) -> StreamEnd {
        match self.reader.clone().finish() {
            Ok(response) => StreamEnd::Complete(response.tokens),
            Err(failure) => StreamEnd::Interrupted { failure, relay: self },
        }
    }
}

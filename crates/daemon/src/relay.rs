//! Passes a stream's events from a target to a caller.
//!
//! Only whole events are passed on, and at most [`DEPTH`] chunks of them stand
//! between the two, so that a slow caller slows the target instead of filling
//! memory.

use actix_web::web::Bytes;
use briarshift_target::stream::{Reader, Tokens};
use briarshift_target::{Body, Failure, Response};
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::Stream;
use tokio::sync::mpsc;

/// Chunks between target and caller.
const DEPTH: usize = 4;

/// One stream under way.
pub(crate) struct Relay {
    reader: Reader,
    sink: mpsc::Sender<Result<Bytes, std::io::Error>>,
}

/// How a stream ended.
pub(crate) enum Ended {
    /// With its end marker.
    Whole(Tokens),
    /// The caller is gone.
    Gone,
    /// Without its end marker; the caller still listens.
    Broken { failure: Failure, relay: Relay },
}

impl Relay {
    /// A relay, and the body that its caller reads.
    pub(crate) fn new(
        reader: Reader,
    ) -> (Self, impl Stream<Item = Result<Bytes, std::io::Error>> + 'static) {
        let (sink, mut source) = mpsc::channel(DEPTH);
        (Self { reader, sink }, futures::stream::poll_fn(move |ctx| source.poll_recv(ctx)))
    }

    /// Number of the last event passed on, 0 before the first.
    pub(crate) fn last_id(&self) -> u64 {
        self.reader.last_id()
    }

    /// Makes ready for the rest of a stream that broke.
    pub(crate) fn reopen(&mut self, head: &Response) -> Result<(), Failure> {
        self.reader.resume_with(head)
    }

    /// Passes on events until the body ends.
    pub(crate) async fn run(mut self, mut body: Body) -> Ended {
        loop {
            let chunk = tokio::select! {
                chunk = body.next() => chunk,
                () = self.sink.closed() => return Ended::Gone,
            };
            let Some(chunk) = chunk else { return self.finish() };
            match chunk.and_then(|chunk| self.read(&chunk)) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    if self.sink.send(Ok(events)).await.is_err() {
                        return Ended::Gone;
                    }
                }
                Err(failure) => return Ended::Broken { failure, relay: self },
            }
        }
    }

    /// Ends a broken stream with an explicit error event.
    pub(crate) async fn break_off(self, error: &str) {
        let event = format!("event: error\ndata: {error}\n\n");
        // A caller that is gone needs no error.
        let _ = self.sink.send(Ok(event.into())).await;
    }

    fn read(&mut self, chunk: &[u8]) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
        for event in self.reader.push(chunk)? {
            whole.extend_from_slice(&event.bytes);
        }
        Ok(whole.freeze())
    }

    fn finish(self) -> Ended {
        match self.reader.clone().finish() {
            Ok(whole) => Ended::Whole(whole.tokens),
            Err(failure) => Ended::Broken { failure, relay: self },
        }
    }
}

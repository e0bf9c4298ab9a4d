//! Passes an answer's body from a target to a caller.
//!
//! At most [`DEPTH`] chunks stand between the two, so that a slow caller slows
//! the target instead of filling memory.

use actix_web::web::Bytes;
use briarshift_control::request::Tokens;
use briarshift_target::{Answer, Body, Failure};
use futures::StreamExt;
use futures::stream::Stream;
use serde::Deserialize;
use tokio::sync::mpsc;

/// Chunks between target and caller.
const DEPTH: usize = 4;
/// Largest answer that is read whole, in bytes.
const MAX_WHOLE: usize = 16 << 20;
/// The last event of a whole stream.
const END: &[u8] = b"data: [DONE]";

/// Where a stream's chunks go.
pub(crate) type Sink = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// One stream under way.
pub(crate) struct Relay {
    body: Body,
    sink: Sink,
    tail: Vec<u8>,
    tokens: Tokens,
}

/// How a stream ended.
pub(crate) enum Ended {
    /// With its end marker.
    Whole(Tokens),
    /// The caller is gone.
    Gone,
    /// Without its end marker; the caller still listens.
    Broken { failure: Failure, sink: Sink },
}

#[derive(Debug, Default, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Debug, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    usage: Option<Usage>,
}

pub(crate) fn is_stream(answer: &Answer) -> bool {
    answer.content_type.as_deref().is_some_and(|text| text.starts_with("text/event-stream"))
}

/// Reads a body to its end.
pub(crate) async fn whole(answer: Answer) -> Result<Bytes, Failure> {
    let mut body = answer.body;
    let mut bytes = Vec::new();
    while let Some(chunk) = body.next().await {
        bytes.extend_from_slice(&chunk?);
        if MAX_WHOLE < bytes.len() {
            return Err(Failure::Protocol("the answer is too long".into()));
        }
    }
    Ok(bytes.into())
}

/// The tokens that a JSON answer or event names.
pub(crate) fn tokens(json: &[u8]) -> Tokens {
    let completion = serde_json::from_slice::<Completion>(json).ok();
    let usage = completion.and_then(|completion| completion.usage).unwrap_or_default();
    Tokens {
        prompt: usage.prompt_tokens,
        cached: usage.prompt_tokens_details.cached_tokens,
        completion: usage.completion_tokens,
    }
}

/// Ends a broken stream with an explicit error event.
pub(crate) async fn break_off(sink: Sink, error: &str) {
    let event = format!("event: error\ndata: {error}\n\n");
    // A caller that is gone needs no error.
    let _ = sink.send(Ok(event.into())).await;
}

impl Relay {
    pub(crate) fn new(
        answer: Answer,
    ) -> (Self, impl Stream<Item = Result<Bytes, std::io::Error>> + 'static) {
        let (sink, mut source) = mpsc::channel(DEPTH);
        let relay = Self { body: answer.body, sink, tail: Vec::new(), tokens: Tokens::default() };
        (relay, futures::stream::poll_fn(move |ctx| source.poll_recv(ctx)))
    }

    pub(crate) async fn run(mut self) -> Ended {
        let mut done = false;
        loop {
            let chunk = tokio::select! {
                chunk = self.body.next() => chunk,
                () = self.sink.closed() => return Ended::Gone,
            };
            let failure = match chunk {
                Some(Ok(chunk)) => {
                    done |= self.read(&chunk);
                    if self.sink.send(Ok(chunk)).await.is_err() {
                        return Ended::Gone;
                    }
                    continue;
                }
                None if done => return Ended::Whole(self.tokens),
                None => Failure::Broken("the stream ended without its end marker".into()),
                Some(Err(failure)) => failure,
            };
            return Ended::Broken { failure, sink: self.sink };
        }
    }

    /// Reads the lines of a chunk; true once the end marker has come.
    fn read(&mut self, chunk: &[u8]) -> bool {
        self.tail.extend_from_slice(chunk);
        let Some(last) = self.tail.iter().rposition(|&byte| byte == b'\n') else { return false };
        let rest = self.tail.split_off(last + 1);
        let lines = std::mem::replace(&mut self.tail, rest);
        let mut done = false;
        for line in lines.split(|&byte| byte == b'\n') {
            done |= line.starts_with(END);
            let data = line.strip_prefix(b"data: ").unwrap_or_default();
            if data.windows(7).any(|window| window == b"\"usage\"") {
                self.tokens = tokens(data);
            }
        }
        done
    }
}

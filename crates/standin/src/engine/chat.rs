//! The chat protocol: requests, responses and the events of a stream.

use briarshift_units::ChatKey;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The token that pads answers shorter than the smallest number of tokens.
const FILLER_TOKEN: &str = " ~";

/// A request for a completion.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Request {
    #[serde(default)]
    pub model: SmolStr,
    #[serde(default)]
    pub messages: Vec<Message>,
    #[serde(default)]
    pub stream: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub(super) struct Message {
    #[serde(default)]
    pub content: Value,
}

impl Message {
    fn text(&self) -> String {
        self.content.as_str().map_or_else(|| self.content.to_string(), str::to_owned)
    }
}

impl Request {
    /// Returns the text of all messages, which is searched for the text of a
    /// [`super::FaultKind::Crash`].
    pub fn text(&self) -> String {
        self.messages.iter().map(Message::text).collect::<Vec<_>>().join("\n")
    }

    pub fn last_message(&self) -> String {
        self.messages.last().map(Message::text).unwrap_or_default()
    }

    pub fn prompt_tokens(&self) -> u64 {
        let words = self.messages.iter().map(|message| message.text().split_whitespace().count());
        words.sum::<usize>() as u64
    }

    /// Returns the chat key: the value of the header, or a hash of it if it is not a chat key, or a hash of
    /// the first message if there is no header.
    pub fn chat(&self, header: Option<&str>) -> ChatKey {
        let hash = |text: &str| {
            let mut hasher = DefaultHasher::new();
            text.hash(&mut hasher);
            ChatKey(hasher.finish())
        };
        match header {
            Some(text) => text.parse().unwrap_or_else(|_| hash(text)),
            None => hash(&self.messages.first().map(Message::text).unwrap_or_default()),
        }
    }
}

/// Returns the complete answer to a request: its last message, padded to a number of tokens. Callers
/// use it to check that an answer is complete and belongs to their request.
///
/// # Examples
///
/// ```
/// use briarshift_standin::engine::expected_answer;
/// assert_eq!(expected_answer("my nonce 7", 4), "my nonce 7 ~");
/// assert_eq!(expected_answer("my nonce 7", 0), "my nonce 7");
/// ```
pub fn expected_answer(last_message: &str, min_tokens: usize) -> String {
    tokens(last_message, min_tokens).concat()
}

/// Returns the tokens of the answer to a last message.
pub(super) fn tokens(last_message: &str, min_tokens: usize) -> Vec<String> {
    let mut tokens: Vec<_> = last_message.split_inclusive(' ').map(str::to_owned).collect();
    let missing = min_tokens.saturating_sub(tokens.len());
    tokens.extend(std::iter::repeat_n(FILLER_TOKEN.to_owned(), missing));
    tokens
}

/// Numbers of tokens used, as reported to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(super) struct Usage {
    pub prompt: u64,
    pub cached: u64,
    pub completion: u64,
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// Returns the body of a response that is not a stream. It has no finish reason if it is not
/// complete.
pub(super) fn response_body(
    id: &str,
    model: &str,
    text: &str,
    usage: Usage,
    complete: bool,
) -> Value {
    let finish_reason = complete.then_some("stop");
    let message = json!({ "role": "assistant", "content": text });
    let choice = json!({ "index": 0, "message": message, "finish_reason": finish_reason });
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": usage.json(),
    })
}

fn event(number: usize, data: &str) -> Bytes {
    format!("id: {number}\ndata: {data}\n\n").into()
}

/// Returns the stream event for one token.
pub(super) fn token_event(number: usize, id: &str, model: &str, token: &str) -> Bytes {
    let choice = json!({ "index": 0, "delta": { "content": token }, "finish_reason": null });
    event(number, &chunk(id, model, &choice).to_string())
}

/// Returns the events that end a complete stream, numbered from `number`.
pub(super) fn end_events(number: usize, id: &str, model: &str, usage: Usage) -> Vec<Bytes> {
    let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
    let mut last = chunk(id, model, &Value::Null);
    last["choices"] = json!([]);
    last["usage"] = usage.json();
    vec![
        event(number, &chunk(id, model, &choice).to_string()),
        event(number + 1, &last.to_string()),
        event(number + 2, "[DONE]"),
    ]
}

fn chunk(id: &str, model: &str, choice: &Value) -> Value {
    json!({ "id": id, "object": "chat.completion.chunk", "model": model, "choices": [choice] })
}

//! A caller of the fleet that checks what it is answered.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use serde_json::{Value, json};

use super::provision::{MODEL, RUNNERS};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Longest answer, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Sends requests with one bearer key.
#[derive(Clone)]
pub struct Caller {
    http: awc::Client,
    key: String,
}

/// An answer as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `Briarshift-Outcome`.
    pub outcome: Option<String>,
    /// `Briarshift-Chat`.
    pub token: Option<String>,
    /// Whether a stored outcome was replayed.
    pub replayed: bool,
    /// The body.
    pub body: String,
}

/// A message of a chat.
pub type Message = Value;

/// A message of the caller's.
pub fn user_message(text: &str) -> Message {
    json!({ "role": "user", "content": text })
}

/// A message of the engine's.
pub fn assistant_message(text: &str) -> Message {
    json!({ "role": "assistant", "content": text })
}

impl Caller {
    /// A caller with a bearer key.
    pub fn new(key: &str) -> Self {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { http, key: key.to_owned() }
    }

    /// Sends one turn of a chat.
    ///
    /// # Errors
    ///
    /// If no answer's head came, or its body broke off.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        messages: &[Message],
        token: Option<&str>,
        stream: bool,
    ) -> anyhow::Result<Response> {
        let body = json!({ "model": MODEL, "messages": messages, "stream": stream });
        let mut request = self.http.post(format!("http://{entry}/v1/chat/completions"));
        if let Some(token) = token {
            request = request.insert_header(("Briarshift-Chat", token));
        }
        self.finish(request, Some(&body)).await
    }

    /// Books under an idempotency key.
    ///
    /// # Errors
    ///
    /// As [`Self::chat`].
    pub async fn book(&self, entry: SocketAddr, booking: &str) -> anyhow::Result<Response> {
        let body = json!({ "booking": booking });
        let request = self.http.post(format!("http://{entry}/desk/{RUNNERS}/bookings"));
        self.finish(request.insert_header(("Idempotency-Key", booking)), Some(&body)).await
    }

    /// Checks the stock of an item.
    ///
    /// # Errors
    ///
    /// As [`Self::chat`].
    pub async fn stock(&self, entry: SocketAddr, item: &str) -> anyhow::Result<Response> {
        let request = self.http.get(format!("http://{entry}/desk/{RUNNERS}/stock/{item}"));
        self.finish(request, None).await
    }

    async fn finish(
        &self,
        request: awc::ClientRequest,
        body: Option<&Value>,
    ) -> anyhow::Result<Response> {
        let request = request.bearer_auth(&self.key);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(err) => bail!("no answer: {err}"),
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let status = response.status().as_u16();
        let outcome = header("Briarshift-Outcome");
        let token = header("Briarshift-Chat");
        let replayed = header("Briarshift-Replayed").is_some();
        let body = response.body().limit(MAX_ANSWER).await.context("the answer broke off")?;
        let body = String::from_utf8(body.to_vec()).context("the answer is not text")?;
        Ok(Response { status, outcome, token, replayed, body })
    }
}

impl Response {
    /// The text of a chat's answer, if it is whole.
    pub fn text(&self) -> Option<String> {
        if self.status != 200 {
            return None;
        }
        if self.body.starts_with('{') {
            let body: Value = serde_json::from_str(&self.body).ok()?;
            return body["choices"][0]["message"]["content"].as_str().map(str::to_owned);
        }
        let mut text = String::new();
        for line in self.body.lines() {
            match line.strip_prefix("data: ") {
                Some("[DONE]") => return Some(text),
                Some(data) => {
                    let event: Value = serde_json::from_str(data).ok()?;
                    text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
                }
                None => {}
            }
        }
        None
    }

    /// The code of a refusal.
    pub fn code(&self) -> Option<String> {
        let body: Value = serde_json::from_str(&self.body).ok()?;
        body["error"]["code"].as_str().map(str::to_owned)
    }
}

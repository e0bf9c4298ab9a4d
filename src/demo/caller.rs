//! An HTTP client that sends chats and bookings to the fleet as a caller does.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use serde_json::{Value, json};

use super::provision::{MODEL, RUNNERS};

/// Longest wait for the headers of a response.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of a response's body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Sends requests with a bearer key.
#[derive(Clone)]
pub struct Caller {
    http: awc::Client,
    key: String,
}

/// A response as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Briarshift-Outcome` header.
    pub outcome: Option<String>,
    /// Chat token from the `Briarshift-Chat` header.
    pub token: Option<String>,
    /// True if the response is the stored outcome of an earlier run.
    pub replayed: bool,
    /// The response's body.
    pub body: String,
}

/// A chat message, as JSON.
pub type Message = Value;

/// Returns a chat message from the caller.
pub fn user_message(text: &str) -> Message {
    json!({ "role": "user", "content": text })
}

/// Returns a chat message from the engine.
pub fn assistant_message(text: &str) -> Message {
    json!({ "role": "assistant", "content": text })
}

impl Caller {
    /// Returns a caller that sends this bearer key.
    pub fn new(key: &str) -> Self {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { http, key: key.to_owned() }
    }

    /// Sends one turn of a chat, with all messages so far.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time, or if its body is incomplete, too long or
    /// not UTF-8.
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
        self.send(request, Some(&body)).await
    }

    /// Sends a booking, with its name as the idempotency key.
    ///
    /// # Errors
    ///
    /// As [`Self::chat`].
    pub async fn book(&self, entry: SocketAddr, booking: &str) -> anyhow::Result<Response> {
        let body = json!({ "booking": booking });
        let request = self.http.post(format!("http://{entry}/desk/{RUNNERS}/bookings"));
        self.send(request.insert_header(("Idempotency-Key", booking)), Some(&body)).await
    }

    /// Requests the stock of an item.
    ///
    /// # Errors
    ///
    /// As [`Self::chat`].
    pub async fn stock(&self, entry: SocketAddr, item: &str) -> anyhow::Result<Response> {
        let request = self.http.get(format!("http://{entry}/desk/{RUNNERS}/stock/{item}"));
        self.send(request, None).await
    }

    async fn send(
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
            Err(err) => bail!("no response: {err}"),
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let status = response.status().as_u16();
        let outcome = header("Briarshift-Outcome");
        let token = header("Briarshift-Chat");
        let replayed = header("Briarshift-Replayed").is_some();
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .context("the response's body is incomplete or too long")?;
        let body = String::from_utf8(body.to_vec()).context("the response's body is not UTF-8")?;
        Ok(Response { status, outcome, token, replayed, body })
    }
}

impl Response {
    /// Returns the text of a chat's answer, streamed or not. Returns `None` if the
    /// request was refused or the answer is incomplete.
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

    /// Returns the error code of a refusal.
    pub fn code(&self) -> Option<String> {
        let body: Value = serde_json::from_str(&self.body).ok()?;
        body["error"]["code"].as_str().map(str::to_owned)
    }
}

//! The client of targets over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method as HttpMethod;
use awc::error::{ConnectError, SendRequestError};
use briarshift_units::Span;
use futures::future::{FutureExt, LocalBoxFuture};
use futures::stream::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::{
    Attempt, CacheEvent, Call, Failure, LoadReport, Order, Outcome, Response, TargetClient,
};

/// Request and response header with the [`Attempt`].
pub const REQUEST_ID: &str = "X-Request-Id";
/// Request header with the key of the chat.
pub const CHAT_KEY: &str = "X-Chat-Key";
/// Request header with the priority; sent only for overnight work.
pub const PRIORITY: &str = "X-Priority";

/// A client of targets over HTTP. Cheap to clone, but not `Send`.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    poll_timeout: Span,
    head_timeout: Span,
}

impl Client {
    /// Creates a client. Polls, cancellations and orders time out after
    /// `poll_timeout`; a call times out if the head of its response does not
    /// arrive within `head_timeout`.
    pub fn new(poll_timeout: Span, head_timeout: Span) -> Self {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { http, poll_timeout, head_timeout }
    }

    async fn open(&self, address: SocketAddr, call: Call) -> Result<Response, Failure> {
        let method = HttpMethod::from_bytes(call.method.0.as_bytes())
            .map_err(|err| Failure::NotSent(err.to_string().into()))?;
        let url = format!("http://{address}{}", call.path);
        let mut request = self
            .http
            .request(method, url)
            .timeout(self.head_timeout.into())
            .insert_header((REQUEST_ID, call.id.to_string()));
        if call.overnight {
            request = request.insert_header((PRIORITY, "overnight"));
        }
        if let Some(chat) = call.chat {
            request = request.insert_header((CHAT_KEY, chat.to_string()));
        }
        if let Some(content_type) = call.content_type {
            request = request.content_type(content_type.as_str());
        }
        let response = request.send_body(call.body).await.map_err(|err| send_failure(&err))?;
        if response.status().is_informational() {
            return Err(Failure::Broken("switches protocols, which was not asked for".into()));
        }
        let header = |name: &str| response.headers().get(name)?.to_str().ok().map(Into::into);
        let status = response.status().as_u16();
        let content_type = header("content-type");
        let echoed_id = header(REQUEST_ID);
        let retry_after = header("retry-after");
        let length = header("content-length").and_then(|text: SmolStr| text.parse().ok());
        // awc applies the timeout of the head to the body too, but a stream may
        // last longer.
        let body = response
            .timeout(Duration::MAX / 4)
            .map(|chunk| chunk.map_err(|err| Failure::Broken(err.to_string().into())))
            .boxed_local();
        Ok(Response { status, content_type, echoed_id, length, retry_after, body })
    }

    async fn get<T: DeserializeOwned>(&self, url: String) -> Result<T, Failure> {
        let request = self.http.get(url).timeout(self.poll_timeout.into());
        let mut response = request.send().await.map_err(|err| send_failure(&err))?;
        response.json().await.map_err(|err| Failure::Protocol(err.to_string().into()))
    }

    async fn post<T: DeserializeOwned>(
        &self,
        url: String,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let request = self.http.post(url).timeout(self.poll_timeout.into());
        let mut response = request.send_json(body).await.map_err(|err| send_failure(&err))?;
        response.json().await.map_err(|err| Failure::Protocol(err.to_string().into()))
    }

    async fn delete(&self, url: String) -> Result<(), Failure> {
        let request = self.http.delete(url).timeout(self.poll_timeout.into());
        request.send().await.map(drop).map_err(|err| send_failure(&err))
    }
}

/// Converts an error of awc. Nothing was sent only if no connection was
/// established. `Disconnected` is excluded, because awc also reports it for a
/// connection that closed before the response head arrived.
fn send_failure(err: &SendRequestError) -> Failure {
    match err {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::Broken("the connection closed before the response head".into())
        }
        SendRequestError::Connect(err) => Failure::NotSent(err.to_string().into()),
        SendRequestError::Url(err) => Failure::NotSent(err.to_string().into()),
        SendRequestError::Timeout => Failure::Timeout,
        err => Failure::Broken(err.to_string().into()),
    }
}

impl TargetClient for Client {
    fn send(
        &self,
        address: SocketAddr,
        call: Call,
    ) -> LocalBoxFuture<'_, Result<Response, Failure>> {
        self.open(address, call).boxed_local()
    }

    fn cancel(&self, address: SocketAddr, id: Attempt) -> LocalBoxFuture<'_, Result<(), Failure>> {
        self.delete(format!("http://{address}/v1/streams/{id}")).boxed_local()
    }

    fn load(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<LoadReport, Failure>> {
        self.get(format!("http://{address}/load")).boxed_local()
    }

    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> LocalBoxFuture<'_, Result<Vec<CacheEvent>, Failure>> {
        self.get(format!("http://{address}/cache/events?after={after}")).boxed_local()
    }

    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> LocalBoxFuture<'_, Result<Outcome, Failure>> {
        async move { self.post(format!("http://{address}/orders"), &order).await }.boxed_local()
    }
}

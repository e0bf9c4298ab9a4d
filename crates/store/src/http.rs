//! The platform's HTTP/JSON protocol, as published:
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/store`, body an [`Operation`] as JSON | 200 and a [`Reply`], or 409, 410, 503 and an [`Error`] |
//! | `GET /v1/vms` | 200 and a list of [`ListedVm`] |

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use briarshift_units::Span;
use futures::future::{FutureExt, LocalBoxFuture};

use crate::{Error, ListedVm, Operation, Reply, Store, VmList};

/// Largest answer body in bytes: a few values of the greatest size.
const MAX_BODY: usize = 16 << 20;

/// A client of the platform over HTTP. Cheap to clone; stays on its thread.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
    timeout: Span,
}

impl Client {
    /// A client of the platform at `base` (such as `http://10.0.0.1:2379`),
    /// whose calls are given up after `timeout`.
    pub fn new(base: &str, timeout: Span) -> Self {
        let http = awc::Client::builder().disable_timeout().finish();
        Self { http, base: base.trim_end_matches('/').to_owned(), timeout }
    }

    async fn call(&self, operation: Operation) -> Result<Reply, Error> {
        let timeout = match &operation {
            Operation::Watch { wait, .. } => *wait + self.timeout,
            _ => self.timeout,
        };
        let url = format!("{}/v1/store", self.base);
        let request = self.http.post(url).timeout(Duration::from(timeout));
        let mut response = request.send_json(&operation).await.map_err(|err| failure(&err))?;
        let body = response.body().limit(MAX_BODY).await.map_err(|err| unknown(&err))?;
        if response.status().is_success() {
            return serde_json::from_slice(&body).map_err(|err| unknown(&err));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|err| unknown(&err)))
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, Error> {
        let url = format!("{}/v1/vms", self.base);
        let request = self.http.get(url).timeout(Duration::from(self.timeout));
        let mut response = request.send().await.map_err(|err| failure(&err))?;
        let body = response.body().limit(MAX_BODY).await.map_err(|err| unknown(&err))?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().as_str().into()));
        }
        serde_json::from_slice(&body).map_err(|err| unknown(&err))
    }
}

fn unknown(err: &impl ToString) -> Error {
    Error::Unknown(err.to_string().into())
}

/// A connection that was never made carried no write. awc reports one that
/// closed before the answer's head as a failed connect too (`Disconnected`).
fn failure(err: &SendRequestError) -> Error {
    match err {
        SendRequestError::Connect(err @ ConnectError::Disconnected) => unknown(err),
        SendRequestError::Connect(err) => Error::Refused(err.to_string().into()),
        err => unknown(err),
    }
}

impl Store for Client {
    fn execute(&self, operation: Operation) -> LocalBoxFuture<'_, Result<Reply, Error>> {
        self.call(operation).boxed_local()
    }
}

impl VmList for Client {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedVm>, Error>> {
        self.vms().boxed_local()
    }
}

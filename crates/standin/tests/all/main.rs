//! Tests of the stand-ins through the clients that the router uses.

mod engine;
mod memory;
mod platform;
mod process;
mod runner;

use std::future::Future;
use std::net::SocketAddr;

use actix_web::rt::System;
use briarshift_target::{Attempt, Call, Failure, Method, Response, TargetClient, http::Client};
use briarshift_units::{ChatKey, RequestId, Span};
use futures::stream::TryStreamExt;

const TIMEOUT: Span = Span::from_secs(10);

fn block_on<T>(test: impl Future<Output = T>) -> T {
    System::new().block_on(test)
}

fn client() -> Client {
    Client::new(TIMEOUT, TIMEOUT)
}

fn call(number: u64, method: &str, path: &str, body: &str) -> Call {
    Call {
        id: Attempt { request: RequestId(number), number: 1 },
        method: Method(method.into()),
        path: path.into(),
        content_type: Some("application/json".into()),
        body: body.to_owned().into(),
        chat: Some(ChatKey(number % 100)),
        overnight: false,
    }
}

async fn send(address: SocketAddr, call: Call) -> Result<(Response, String), Failure> {
    let mut answer = client().send(address, call).await?;
    let body = std::mem::replace(&mut answer.body, Box::pin(futures::stream::empty()));
    let chunks: Vec<_> = body.try_collect().await?;
    Ok((answer, String::from_utf8(chunks.concat()).unwrap()))
}

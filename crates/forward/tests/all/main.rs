//! Connections to targets that misbehave.

use std::net::SocketAddr;

use briarshift_forward::event::Splitter;
use briarshift_forward::{Client, Failure, Freshness, Request};
use bytes::Bytes;
use http::{HeaderMap, Method};
use proptest::prelude::{any, prop};
use proptest::proptest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// What a target writes for each request on one connection.
type Script = &'static [&'static str];

/// Serves connections by their scripts: after the last answer of one, it is
/// closed.
async fn target(scripts: &'static [Script]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        for script in scripts {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(play(stream, script));
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn play(mut stream: TcpStream, script: Script) {
    for answer in script {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else { return };
            request.push(byte);
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn request() -> Request {
    Request {
        method: Method::GET,
        path: "/a".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

async fn call(client: &Client, address: SocketAddr) -> Result<Bytes, Failure> {
    let ready = client.connect(address, Freshness::Open, 4).await?;
    client.send(ready, request()).await?.body.read_to_end().await
}

fn check(scripts: &'static [Script], test: impl AsyncFnOnce(Client, SocketAddr)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let address = target(scripts).await;
        test(Client::default(), address).await;
    });
}

const OK: &str = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok";

async fn settle() {
    tokio::time::sleep(std::time::Duration::from_millis(30)).await;
}

#[test]
fn a_whole_answer_keeps_its_connection() {
    check(&[&[OK, OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        assert_eq!(client.open_connections(address), 1);
    });
}

#[test]
fn a_body_that_is_cut_off_is_no_whole_one() {
    const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    check(&[&[CUT]], async |client, address| {
        assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
        assert_eq!(client.open_connections(address), 0);
    });
}

#[test]
fn a_chunked_body_that_is_cut_off_is_no_whole_one() {
    const CUT: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    check(&[&[CUT]], async |client, address| {
        assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
    });
}

#[test]
fn a_body_without_a_length_ends_with_its_connection() {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok";
    check(&[&[UNFRAMED]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    const EXTRA: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
                         Content-Length: 4\r\n\r\nlate";
    check(&[&[EXTRA, OK], &[OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn a_connection_that_was_closed_while_idle_is_replaced() {
    check(&[&[OK], &[OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn nothing_is_sent_where_nobody_listens() {
    check(&[], async |client, _| {
        let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        assert!(matches!(call(&client, free).await, Err(Failure::NotSent(_))));
    });
}

#[test]
fn connections_are_limited() {
    check(&[&[]], async |client, address| {
        let first = client.connect(address, Freshness::Open, 1).await.unwrap();
        let second = client.connect(address, Freshness::Open, 1).await;
        assert!(matches!(second, Err(Failure::NotSent(_))));
        drop(first);
        assert_eq!(client.open_connections(address), 0);
    });
}

/// Lets time pass without waiting.
async fn pass(seconds: u64) {
    tokio::time::pause();
    tokio::time::advance(std::time::Duration::from_secs(seconds)).await;
    tokio::time::resume();
}

/// Connections after another call, some time after a first one whose answer
/// said that its connection is kept for 9 s.
fn connections(seconds: u64, freshness: Freshness, expected: u32) {
    check(&[&[OK, OK], &[OK]], async |client, address| {
        call(&client, address).await.unwrap();
        settle().await;
        pass(seconds).await;
        let ready = client.connect(address, freshness, 4).await.unwrap();
        assert_eq!(client.open_connections(address), expected);
        drop(ready);
    });
}

#[test]
fn a_kept_connection_is_used_while_it_is_far_from_its_end() {
    connections(5, Freshness::Fresh, 1);
    connections(7, Freshness::Open, 1);
}

#[test]
fn a_kept_connection_near_its_end_is_for_requests_that_may_be_repeated() {
    connections(7, Freshness::Fresh, 2);
}

#[test]
fn a_kept_connection_past_its_end_is_closed() {
    check(&[&[OK, OK], &[OK]], async |client, address| {
        call(&client, address).await.unwrap();
        settle().await;
        pass(9).await;
        call(&client, address).await.unwrap();
        assert_eq!(client.open_connections(address), 1);
    });
}

proptest! {
    /// However a stream is cut into chunks, only whole events go on, all of
    /// them, in order.
    #[test]
    fn events_survive_any_chunks(cuts in prop::collection::vec(0..90_usize, 0..8)) {
        let text: String = (1..=6).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let (mut splitter, mut out, mut from) = (Splitter::default(), Vec::new(), 0);
        for cut in cuts {
            let events = splitter.push(&text.as_bytes()[from..cut]).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            out.extend_from_slice(&events);
            from = cut;
        }
        assert_eq!(out, text.as_bytes());
        assert_eq!(splitter.last_id(), Some("6"));
    }

    #[test]
    fn any_bytes_are_harmless_as_events(chunks in prop::collection::vec(any::<Vec<u8>>(), 0..6)) {
        let mut splitter = Splitter::default();
        for chunk in chunks {
            splitter.push(&chunk).unwrap();
        }
    }
}

//! Tests of the client against targets that cut off responses, close
//! connections or send extra bytes, and of the splitting of event streams.

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

/// The responses that a target writes to the requests on one connection.
type Script = &'static [&'static str];

/// Starts a target that serves each connection by one script and closes it
/// after the last response.
async fn target(scripts: &'static [Script]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        for script in scripts {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(serve(stream, script));
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn serve(mut stream: TcpStream, script: Script) {
    for response in script {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else { return };
            request.push(byte);
        }
        if stream.write_all(response.as_bytes()).await.is_err() {
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

/// How long a test waits for the end of something that has none.
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(10);
const OK: &str = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok";

/// Gives the client time to return a connection to the pool, or to notice that
/// the target closed it.
async fn settle() {
    tokio::time::sleep(std::time::Duration::from_millis(30)).await;
}

#[test]
fn connections_are_reused_after_complete_responses() {
    check(&[&[OK, OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        assert_eq!(client.open_connections(address), 1);
    });
}

#[test]
fn truncated_bodies_are_reported_as_broken() {
    const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    check(&[&[TRUNCATED]], async |client, address| {
        assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
        assert_eq!(client.open_connections(address), 0);
    });
}

#[test]
fn truncated_chunked_bodies_are_reported_as_broken() {
    const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    check(&[&[TRUNCATED]], async |client, address| {
        assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
    });
}

/// Guards against part of an answer that passes for whole: the HTTP library drops the length of
/// one that states a transfer coding too, and without chunks nothing else tells its end. Guards
/// also against a coded body that passes for the target's.
#[test]
fn a_transfer_coding_other_than_chunks_is_reported_as_broken() {
    const PART: &str =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nok";
    const CODED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok";
    const CODED_CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n\
                                2\r\nok\r\n0\r\n\r\n";
    const CHUNKED: &str =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    check(&[&[PART], &[CODED], &[CODED_CHUNKS], &[CHUNKED]], async |client, address| {
        for _ in 0..3 {
            assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
        }
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

/// Guards against an answer that its request can't have, after which no other comes.
#[test]
fn a_switch_of_protocols_is_reported_as_broken() {
    const SWITCH: &str = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n";
    check(&[&[SWITCH, OK], &[OK]], async |client, address| {
        assert!(matches!(call(&client, address).await, Err(Failure::Broken(_))));
        settle().await;
        assert_eq!(client.open_connections(address), 0);
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn bodies_without_length_end_with_the_connection() {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok";
    check(&[&[UNFRAMED]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

/// Guards against taking a second response, which the target sends unasked, as
/// the response to the next request.
#[test]
fn bytes_after_a_response_are_not_used_for_the_next_request() {
    const EXTRA: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
                         Content-Length: 4\r\n\r\nlate";
    check(&[&[EXTRA, OK], &[OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn connections_closed_while_idle_are_replaced() {
    check(&[&[OK], &[OK]], async |client, address| {
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        settle().await;
        assert_eq!(call(&client, address).await.unwrap(), "ok");
    });
}

#[test]
fn refused_connections_are_reported_as_not_sent() {
    check(&[], async |client, _| {
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        assert!(matches!(call(&client, unused).await, Err(Failure::NotSent(_))));
    });
}

#[test]
fn open_connections_are_limited() {
    check(&[&[]], async |client, address| {
        let first = client.connect(address, Freshness::Open, 1).await.unwrap();
        let second = client.connect(address, Freshness::Open, 1).await;
        assert!(matches!(second, Err(Failure::NotSent(_))));
        drop(first);
        assert_eq!(client.open_connections(address), 0);
    });
}

/// Advances the clock without waiting.
async fn advance(seconds: u64) {
    tokio::time::pause();
    tokio::time::advance(std::time::Duration::from_secs(seconds)).await;
    tokio::time::resume();
}

/// Checks how many connections are open after a second connect, some seconds
/// after a first call whose response stated a keep-alive timeout of 9 s: 1 if
/// the connection was reused, 2 if not.
fn check_reuse(seconds: u64, freshness: Freshness, expected: u32) {
    check(&[&[OK, OK], &[OK]], async |client, address| {
        call(&client, address).await.unwrap();
        settle().await;
        advance(seconds).await;
        let ready = client.connect(address, freshness, 4).await.unwrap();
        assert_eq!(client.open_connections(address), expected);
        drop(ready);
    });
}

#[test]
fn idle_connections_are_reused_within_their_limit() {
    check_reuse(5, Freshness::Fresh, 1);
    check_reuse(7, Freshness::Open, 1);
}

/// Guards against sending a request that can't be repeated on a connection that
/// the target is about to close.
#[test]
fn idle_connections_near_their_limit_are_not_fresh() {
    check_reuse(7, Freshness::Fresh, 2);
}

#[test]
fn idle_connections_past_their_limit_are_closed() {
    check(&[&[OK, OK], &[OK]], async |client, address| {
        call(&client, address).await.unwrap();
        settle().await;
        advance(9).await;
        call(&client, address).await.unwrap();
        assert_eq!(client.open_connections(address), 1);
    });
}

proptest! {
    /// For any chunk boundaries, the splitter returns all events in order, and
    /// only complete ones.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(ends in prop::collection::vec(0..90_usize, 0..8)) {
        let text: String = (1..=6).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
        let mut ends: Vec<_> = ends.into_iter().map(|end| end.min(text.len())).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let (mut splitter, mut out, mut from) = (Splitter::default(), Vec::new(), 0);
        for end in ends {
            let events = splitter.push(&text.as_bytes()[from..end]).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            out.extend_from_slice(&events);
            from = end;
        }
        assert_eq!(out, text.as_bytes());
        assert_eq!(splitter.last_id(), Some("6"));
        assert_eq!(splitter.count(), 6);
    }

    #[test]
    fn arbitrary_bytes_never_panic(chunks in prop::collection::vec(any::<Vec<u8>>(), 0..6)) {
        let mut splitter = Splitter::default();
        for chunk in chunks {
            splitter.push(&chunk).unwrap();
        }
    }
}

/// Starts a target that writes the head of a response to one request, and then the
/// same bytes without end.
async fn endless_target(head: &'static str, bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(head.as_bytes()).await;
        while stream.write_all(bytes).await.is_ok() {
            tokio::task::yield_now().await;
        }
    });
    address
}

#[track_caller]
fn check_endless(head: &'static str, bytes: &'static [u8]) {
    check(&[], async |client, _| {
        let address = endless_target(head, bytes).await;
        let answer = call(&client, address).await;
        assert!(matches!(answer, Err(Failure::Broken(_))), "{answer:?}");
        settle().await;
        assert_eq!(client.open_connections(address), 0);
    });
}

/// A target in trouble may send bytes that are no answer until the client closes.
#[test]
fn answers_without_end_are_broken() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_endless("HTTP/1.1 200 OK\r\n", b"X-Junk: 0123456789abcdef\r\n");
    check_endless("", b"no answer at all ");
    check_endless("HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 4096]);
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    check_endless(CHUNKED, chunk.leak().as_bytes());
}

#[test]
fn a_body_without_end_that_nobody_needs_closes_its_connection() {
    check(&[], async |client, _| {
        let address = endless_target("HTTP/1.1 421 Moved\r\n\r\n", &[b'x'; 4096]).await;
        let ready = client.connect(address, Freshness::Open, 4).await.unwrap();
        client.send(ready, request()).await.unwrap().body.close().await;
        settle().await;
        assert_eq!(client.open_connections(address), 0);
    });
}

/// Returns a target that begins an answer without end on each connection.
async fn endless_targets() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while stream.write_all(&[b'x'; 65_536]).await.is_ok() {
                    tokio::task::yield_now().await;
                }
            });
        }
    });
    address
}

/// Each answer was bounded by itself, and forty answers without end took 315 MB. A short
/// answer beside them is read.
#[test]
fn many_answers_without_end_share_a_bound() {
    check(&[&[OK]], async |client, address| {
        let endless = endless_targets().await;
        let calls = (0..200).map(|_| {
            let client = client.clone();
            tokio::task::spawn_local(async move {
                let ready = client.connect(endless, Freshness::Open, 200).await?;
                client.send(ready, request()).await?.body.read_to_end().await
            })
        });
        let calls: Vec<_> = calls.collect();
        let mut most = 0;
        while !calls.iter().all(tokio::task::JoinHandle::is_finished) {
            most = most.max(client.memory().held().0);
            tokio::task::yield_now().await;
        }
        assert!(most <= 49 << 20, "{most} bytes");
        assert_eq!(call(&client, address).await.unwrap(), "ok");
        let mut broken = 0;
        for call in calls {
            // On a busy machine some connections are not opened in time.
            match call.await.unwrap() {
                Err(Failure::Broken(_)) => broken += 1,
                Err(Failure::NotSent(_)) => {}
                Ok(body) => panic!("{} bytes", body.len()),
            }
        }
        assert!(40 < broken, "{broken}");
        assert_eq!(client.memory().held().0, 0);
    });
}

/// Starts a target that reads this many bytes of each request, writes an answer, and then
/// either ends its side of the connection or resets it.
async fn early_target(read: usize, answer: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; read];
            let _ = stream.read_exact(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            settle().await;
            if resets {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(std::time::Duration::ZERO))
                    .unwrap();
            } else {
                let _ = stream.shutdown().await;
                settle().await;
            }
        }
    });
    address
}

/// Sends a request whose body the target doesn't read to its end.
#[track_caller]
fn check_early(answer: &'static str, resets: bool, check_result: fn(Result<Bytes, Failure>)) {
    check(&[], async |client, _| {
        let address = early_target(200, answer, resets).await;
        let ready = client.connect(address, Freshness::Open, 4).await.unwrap();
        let upload =
            Request { method: Method::POST, body: vec![b'x'; 16 << 20].into(), ..request() };
        let result = match client.send(ready, upload).await {
            Ok(response) => response.body.read_to_end().await,
            Err(failure) => Err(failure),
        };
        settle().await;
        assert!(result.is_ok() || client.open_connections(address) == 0);
        check_result(result);
    });
}

/// Guards against part of an answer that passes for a whole one: it has no length, and the
/// target went away while the request was still being written.
#[test]
fn answers_without_length_to_an_unfinished_request_are_broken() {
    for resets in [true, false] {
        for answer in ["HTTP/1.1 200 OK\r\n\r\npart of a body", "HTTP/1.1 200 OK\r\n\r\n"] {
            check_early(answer, resets, |result| {
                assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
            });
        }
    }
}

#[test]
fn whole_answers_to_an_unfinished_request_are_read() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\nok",
    ] {
        check_early(answer, false, |result| assert_eq!(result.unwrap(), "ok"));
    }
    const EMPTY: &str = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    check_early(EMPTY, false, |result| assert_eq!(result.unwrap(), ""));
}

/// Guards against the head of a target in trouble that passes for an answer.
#[test]
fn heads_that_are_cut_off_or_have_no_status_are_broken() {
    const SOUND: &str = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nContent-Length: 2\r\n\r\n";
    for end in 0..SOUND.len() {
        check_early(&SOUND[..end], false, |result| {
            assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
        });
    }
    for status in ["000", "099", "00", "2000", "-20", "abc", ""] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
        check_early(answer.leak(), false, |result| {
            assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
        });
    }
}

/// Guards against a target whose interim answers keep the thread from all other requests:
/// the library skips each of them.
#[test]
fn interim_answers_without_end_are_broken() {
    for interim in ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"] {
        check(&[&[OK]], async |client, sound| {
            let address = endless_target("", interim.as_bytes()).await;
            let endless = tokio::time::timeout(PATIENCE, call(&client, address)).await;
            assert!(matches!(endless, Ok(Err(Failure::Broken(_)))), "{endless:?}");
            assert_eq!(call(&client, sound).await.unwrap(), "ok");
        });
    }
}

/// Guards against a body without end that keeps the thread from other requests.
#[test]
fn a_body_without_end_leaves_other_requests_their_turn() {
    check(&[&[OK]], async |client, sound| {
        let address = endless_target("HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 65_536]).await;
        let ready = client.connect(address, Freshness::Open, 4).await.unwrap();
        let mut endless = client.send(ready, request()).await.unwrap().body;
        let answered = call(&client, sound);
        tokio::pin!(answered);
        let mut read = 0;
        let answer = loop {
            tokio::select! {
                answer = &mut answered => break answer,
                chunk = endless.chunk() => read += chunk.unwrap().unwrap().len(),
            }
        };
        assert_eq!(answer.unwrap(), "ok");
        assert!(read <= 64 << 20, "{read} bytes");
    });
}

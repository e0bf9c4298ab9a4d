//! The HTTP client of targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::error_chain;
use crate::memory::Memory;
use crate::pool::{Connection, Pool, Sender};
use crate::stream::{Meter, Stream};
use crate::{Body, Failure, Freshness, Request, Response};

/// Most bytes of a connection that are buffered, and longest head of a response.
const MAX_BUFFER: usize = 64 << 10;

/// Timeouts of connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time to open a connection. A reachable target accepts one within
    /// a few round trips; an unreachable one never answers.
    pub connect_timeout: Duration,
    /// Longest time for which written bytes may stay unacknowledged. After it,
    /// the connection is closed.
    pub unacknowledged_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            unacknowledged_timeout: Duration::from_secs(3),
        }
    }
}

/// An HTTP client of targets with a connection pool, which clones share. Cheap
/// to clone, but not `Send`.
#[derive(Clone, Default)]
pub struct Client {
    options: Options,
    pool: Rc<Pool>,
    memory: Memory,
}

/// An open connection, reserved for one request.
pub struct ReadyConnection(Connection);

impl Client {
    /// Creates a client with the given timeouts, and the budget in which it holds answers
    /// that are read as a whole.
    pub fn new(options: Options, memory: Memory) -> Self {
        Self { options, pool: Rc::default(), memory }
    }

    /// Returns a connection to a target: an idle one that is fresh enough, or a
    /// new one if fewer than `max_connections` are open.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] if no idle connection is fresh enough and a
    /// new one can't be opened.
    pub async fn connect(
        &self,
        address: SocketAddr,
        freshness: Freshness,
        max_connections: u32,
    ) -> Result<ReadyConnection, Failure> {
        if let Some(connection) = Connection::take_idle(&self.pool, address, freshness) {
            return Ok(ReadyConnection(connection));
        }
        if max_connections <= self.open_connections(address) {
            return Err(Failure::NotSent("all connections to the target are in use".into()));
        }
        let mut connection = Connection::reserve(&self.pool, address);
        let stream = match timeout(self.options.connect_timeout, TcpStream::connect(address)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Failure::NotSent(error_chain(&err))),
            Err(_) => return Err(Failure::NotSent("opening the connection timed out".into())),
        };
        self.configure(&stream).map_err(|err| Failure::NotSent(error_chain(&err)))?;
        let meter = Rc::new(Meter::default());
        let stream = TokioIo::new(Stream::new(stream, Rc::clone(&meter)));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER);
        let handshake = builder.handshake::<_, Full<Bytes>>(stream).await;
        let (requests, driver) = handshake.map_err(|err| Failure::NotSent(error_chain(&err)))?;
        tokio::task::spawn_local(async move {
            // The request on this connection, if any, fails by itself.
            if let Err(err) = driver.await {
                log::debug!(
                    "event=connection_ended address={address} error={:?}",
                    error_chain(&err)
                );
            }
        });
        connection.opened(Sender { requests, meter });
        Ok(ReadyConnection(connection))
    }

    /// Writes a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which tells whether anything was written. A response that ends
    /// HTTP on the connection, which no request asks for, is a broken one, and so is one
    /// with a transfer coding other than chunked, which states no end.
    pub async fn send(
        &self,
        ready: ReadyConnection,
        request: Request,
    ) -> Result<Response, Failure> {
        let ReadyConnection(mut connection) = ready;
        let body_len = request.body.len();
        let request = build(request)?;
        let Some(sender) = connection.sender() else {
            return Err(Failure::NotSent("the connection is closed".into()));
        };
        let meter = Rc::clone(&sender.meter);
        meter.start(body_len);
        let response = match sender.requests.try_send_request(request).await {
            Ok(response) => response,
            Err(err) if err.message().is_some() => {
                return Err(Failure::NotSent(error_chain(err.error())));
            }
            Err(err) => return Err(Failure::Broken(error_chain(err.error()))),
        };
        meter.end_head();
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(Failure::Broken("switches protocols, which was not asked for".into()));
        }
        let is_coded = head.headers.contains_key(TRANSFER_ENCODING);
        if is_coded && !is_chunked(&head.headers) {
            return Err(Failure::Broken("has a transfer coding other than chunked".into()));
        }
        // An answer of a failure is told even if its target went on to close the connection.
        let is_framed = body.size_hint().exact().is_some() || is_coded;
        let unframed = (head.status.is_success() && !is_framed).then_some(meter);
        connection.set_keep_alive(keep_alive_timeout(&head.headers));
        Ok(Response {
            is_reused: connection.is_reused(),
            status: head.status,
            headers: head.headers,
            body: Body::new(body, connection, &self.memory, unframed),
        })
    }

    /// Closes the idle connections to an address. Connections in use are closed
    /// when their responses have ended.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().remove(&address);
    }

    /// Returns the number of open connections to an address, including idle
    /// ones.
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        self.pool.borrow().get(&address).map_or(0, |connections| connections.open)
    }

    /// Returns the budget in which answers are held that are read as a whole.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    fn configure(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        socket2::SockRef::from(stream)
            .set_tcp_user_timeout(Some(self.options.unacknowledged_timeout))
    }
}

fn build(request: Request) -> Result<http::Request<Full<Bytes>>, Failure> {
    let not_sent = |err: http::Error| Failure::NotSent(SmolStr::new(err.to_string()));
    let mut head = http::Request::builder().method(request.method).uri(request.path);
    if let Some(headers) = head.headers_mut() {
        *headers = request.headers;
    }
    head.body(Full::new(request.body)).map_err(not_sent)
}

/// Returns true if the body consists of chunks, the last of which tells its end, without any
/// other coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    let only = only.and_then(|value| value.to_str().ok()).unwrap_or_default();
    only.trim().eq_ignore_ascii_case("chunked")
}

/// Returns the `timeout` of the `Keep-Alive` header: the time after which the
/// target closes an idle connection.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.into_iter().find(|(name, _)| name.trim() == "timeout")?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

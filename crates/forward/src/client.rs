//! The client of targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::text;
use crate::lane::{Lane, Pool};
use crate::{Body, Failure, Freshness, Request, Response};

/// Times that connections keep to.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time to open a connection. A target that is up answers within
    /// a few round trips; one that is cut off never does.
    pub connect_timeout: Duration,
    /// Written bytes that are not acknowledged for this long end a connection.
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

/// A client of targets. Cheap to clone; stays on its thread.
#[derive(Clone, Default)]
pub struct Client {
    options: Options,
    pool: Rc<Pool>,
}

/// A connection that is ready for one request.
pub struct ReadyConnection(Lane);

impl Client {
    /// A client with other times.
    pub fn new(options: Options) -> Self {
        Self { options, pool: Rc::default() }
    }

    /// A connection to a target: a kept one that is fresh enough, or a new one
    /// if fewer than `most` are open.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`].
    pub async fn connect(
        &self,
        address: SocketAddr,
        freshness: Freshness,
        most: u32,
    ) -> Result<ReadyConnection, Failure> {
        if let Some(lane) = Lane::idle(&self.pool, address, freshness) {
            return Ok(ReadyConnection(lane));
        }
        if most <= self.open_connections(address) {
            return Err(Failure::NotSent("all connections are in use".into()));
        }
        let mut lane = Lane::reserve(&self.pool, address);
        let stream = match timeout(self.options.connect_timeout, TcpStream::connect(address)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(Failure::NotSent(text(&err))),
            Err(_) => return Err(Failure::NotSent("connecting took too long".into())),
        };
        self.tune(&stream).map_err(|err| Failure::NotSent(text(&err)))?;
        let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|err| Failure::NotSent(text(&err)))?;
        tokio::task::spawn_local(async move {
            // Whoever waits for an answer on it learns of its end by itself.
            if let Err(err) = connection.await {
                log::debug!("event=connection_ended address={address} error={:?}", text(&err));
            }
        });
        lane.opened(sender);
        Ok(ReadyConnection(lane))
    }

    /// Writes a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// A [`Failure`], which says whether anything was written.
    pub async fn send(
        &self,
        ready: ReadyConnection,
        request: Request,
    ) -> Result<Response, Failure> {
        let ReadyConnection(mut lane) = ready;
        let request = assemble(request)?;
        let Some(sender) = lane.sender() else {
            return Err(Failure::NotSent("the connection is gone".into()));
        };
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(err) if err.message().is_some() => {
                return Err(Failure::NotSent(text(err.error())));
            }
            Err(err) => return Err(Failure::Broken(text(err.error()))),
        };
        let (head, body) = response.into_parts();
        lane.announced(keep_alive(&head.headers));
        Ok(Response { status: head.status, headers: head.headers, body: Body::new(body, lane) })
    }

    /// Closes the kept connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().remove(&address);
    }

    /// Connections to an address, idle ones included.
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        self.pool.borrow().get(&address).map_or(0, |lanes| lanes.open)
    }

    fn tune(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        socket2::SockRef::from(stream)
            .set_tcp_user_timeout(Some(self.options.unacknowledged_timeout))
    }
}

fn assemble(request: Request) -> Result<http::Request<Full<Bytes>>, Failure> {
    let refused = |err: http::Error| Failure::NotSent(SmolStr::new(err.to_string()));
    let mut head = http::Request::builder().method(request.method).uri(request.path);
    if let Some(headers) = head.headers_mut() {
        *headers = request.headers;
    }
    head.body(Full::new(request.body)).map_err(refused)
}

/// How long a target says it keeps an idle connection.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.into_iter().find(|(name, _)| name.trim() == "timeout")?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

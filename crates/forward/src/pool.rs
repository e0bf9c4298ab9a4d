//! A pool of connections to targets, each used by one request at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::stream::Meter;

/// Margin before the end of the target's keep-alive timeout. The target closes
/// an idle connection at its timeout, so the client stops using it this much
/// earlier.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Idle limit of a connection if the target states no keep-alive timeout. It is
/// below one second, since timeouts are stated in whole seconds.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// Fraction of its idle limit up to which a connection counts as fresh.
const FRESH_FRACTION: f64 = 0.75;

/// Requirement on how recently an idle connection was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The connection has not reached its idle limit. For requests that can be
    /// sent again if the target has closed it nevertheless.
    Open,
    /// The connection is far from its idle limit, so that the target is not
    /// about to close it. For requests that can't be sent again once written.
    Fresh,
    /// The connection is new. For requests that the target has answered before: a
    /// repetition of that answer would name the same attempt.
    New,
}

/// Connections to one address.
#[derive(Default)]
pub(crate) struct Connections {
    /// Number of connections that are idle, in use or being opened.
    pub open: u32,
    idle: Vec<IdleConnection>,
}

/// Sends requests on a connection.
pub(crate) struct Sender {
    pub requests: SendRequest<Full<Bytes>>,
    pub meter: Rc<Meter>,
}

struct IdleConnection {
    sender: Sender,
    since: Instant,
    limit: Duration,
}

impl IdleConnection {
    fn is_usable(&self, freshness: Freshness, now: Instant) -> bool {
        let limit = match freshness {
            Freshness::Open => self.limit,
            Freshness::Fresh => self.limit.mul_f64(FRESH_FRACTION),
            Freshness::New => return false,
        };
        self.sender.requests.is_ready() && now.duration_since(self.since) < limit
    }
}

/// Connections by address.
pub(crate) type Pool = RefCell<HashMap<SocketAddr, Connections>>;

/// A connection that one request uses. Dropping it closes the connection,
/// unless it was released to the pool before.
pub(crate) struct Connection {
    address: SocketAddr,
    pool: Weak<Pool>,
    /// Longest time for which the connection may be idle.
    limit: Duration,
    sender: Option<Sender>,
    /// True if another request has been sent on it before.
    is_reused: bool,
    /// True if dropping this must decrement [`Connections::open`].
    counted: bool,
}

impl Connection {
    /// Counts a connection that is about to be opened.
    pub fn reserve(pool: &Rc<Pool>, address: SocketAddr) -> Self {
        pool.borrow_mut().entry(address).or_default().open += 1;
        let pool = Rc::downgrade(pool);
        let limit = DEFAULT_IDLE_LIMIT;
        Self { address, pool, limit, sender: None, is_reused: false, counted: true }
    }

    /// Takes the most recently used idle connection out of the pool, if it is
    /// fresh enough.
    pub fn take_idle(pool: &Rc<Pool>, address: SocketAddr, freshness: Freshness) -> Option<Self> {
        let now = Instant::now();
        let mut connections = pool.borrow_mut();
        let connections = connections.get_mut(&address)?;
        let before = connections.idle.len();
        connections.idle.retain(|idle| idle.is_usable(Freshness::Open, now));
        connections.open =
            connections.open.saturating_sub((before - connections.idle.len()) as u32);
        let newest = connections.idle.last()?;
        if !newest.is_usable(freshness, now) {
            return None;
        }
        let IdleConnection { sender, limit, .. } = connections.idle.pop()?;
        let pool = Rc::downgrade(pool);
        let sender = Some(sender);
        Some(Self { address, pool, limit, sender, is_reused: true, counted: true })
    }

    /// Sets the sender, once the connection is open.
    pub fn opened(&mut self, sender: Sender) {
        self.sender = Some(sender);
    }

    /// Returns true if another request has been sent on the connection before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Sets the idle limit by the keep-alive timeout that the target stated, if
    /// any.
    pub fn set_keep_alive(&mut self, timeout: Option<Duration>) {
        if let Some(timeout) = timeout {
            self.limit =
                timeout.saturating_sub(KEEP_ALIVE_MARGIN).max(DEFAULT_IDLE_LIMIT.min(timeout / 2));
        }
    }

    /// Returns the connection to the pool, if it stays open.
    pub fn release(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        tokio::task::spawn_local(async move {
            if sender.requests.ready().await.is_err() {
                return;
            }
            let Some(pool) = self.pool.upgrade() else { return };
            let idle = IdleConnection { sender, since: Instant::now(), limit: self.limit };
            let mut connections = pool.borrow_mut();
            // The address has no entry if `Client::close_idle` was called
            // meanwhile, because the target is gone.
            let Some(connections) = connections.get_mut(&self.address) else { return };
            connections.idle.push(idle);
            self.set_kept();
        });
    }

    /// Marks the connection as kept by the pool, so that dropping this doesn't
    /// change the count.
    fn set_kept(&mut self) {
        self.counted = false;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        let Some(pool) = self.pool.upgrade() else { return };
        let Ok(mut connections) = pool.try_borrow_mut() else { return };
        if let Some(connections) = connections.get_mut(&self.address) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

//! One connection to a target, lent to one request at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

/// A target closes a kept connection at its announced time; by its clock this
/// much sooner nothing is sent on it any more.
const CLOSE_SLACK: Duration = Duration::from_millis(700);
/// How long a connection is kept where the target announces no time: whole
/// seconds are announced, so it is below one.
const UNANNOUNCED: Duration = Duration::from_millis(500);

/// Share of its limit for which a connection counts as young.
const YOUNG: f64 = 0.75;

/// How recently a connection must have been used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is open: the request may be sent again if it turns out not to be.
    Open,
    /// It is far from being closed by the target: the request may not be sent
    /// again once written.
    Fresh,
}

/// Connections to one address.
#[derive(Default)]
pub(crate) struct Lanes {
    /// Open connections, idle and busy, and those being opened.
    pub open: u32,
    idle: Vec<Idle>,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    limit: Duration,
}

impl Idle {
    fn is_usable(&self, freshness: Freshness, now: Instant) -> bool {
        let limit = match freshness {
            Freshness::Open => self.limit,
            Freshness::Fresh => self.limit.mul_f64(YOUNG),
        };
        self.sender.is_ready() && now.duration_since(self.since) < limit
    }
}

/// Connections by address.
pub(crate) type Pool = RefCell<HashMap<SocketAddr, Lanes>>;

/// A connection lent to a request. Counts as open until it is dropped; then it
/// is closed, unless it was given back.
pub(crate) struct Lane {
    address: SocketAddr,
    pool: Weak<Pool>,
    limit: Duration,
    sender: Option<SendRequest<Full<Bytes>>>,
    counted: bool,
}

impl Lane {
    /// Counts a connection that is about to be opened.
    pub fn reserve(pool: &Rc<Pool>, address: SocketAddr) -> Self {
        pool.borrow_mut().entry(address).or_default().open += 1;
        let pool = Rc::downgrade(pool);
        Self { address, pool, limit: UNANNOUNCED, sender: None, counted: true }
    }

    /// An idle connection, the one used last first.
    pub fn idle(pool: &Rc<Pool>, address: SocketAddr, freshness: Freshness) -> Option<Self> {
        let now = Instant::now();
        let mut lanes = pool.borrow_mut();
        let lanes = lanes.get_mut(&address)?;
        let before = lanes.idle.len();
        lanes.idle.retain(|idle| idle.is_usable(Freshness::Open, now));
        lanes.open = lanes.open.saturating_sub((before - lanes.idle.len()) as u32);
        let newest = lanes.idle.last()?;
        if !newest.is_usable(freshness, now) {
            return None;
        }
        let Idle { sender, limit, .. } = lanes.idle.pop()?;
        let pool = Rc::downgrade(pool);
        Some(Self { address, pool, limit, sender: Some(sender), counted: true })
    }

    /// Takes up the connection once it is open.
    pub fn opened(&mut self, sender: SendRequest<Full<Bytes>>) {
        self.sender = Some(sender);
    }

    pub fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }

    /// The target announced how long it keeps an idle connection.
    pub fn announced(&mut self, keep: Option<Duration>) {
        if let Some(keep) = keep {
            self.limit = keep.saturating_sub(CLOSE_SLACK).max(UNANNOUNCED.min(keep / 2));
        }
    }

    /// Keeps the connection for the next request, if it stays open.
    pub fn give_back(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let Some(pool) = self.pool.upgrade() else { return };
            let idle = Idle { sender, since: Instant::now(), limit: self.limit };
            let mut lanes = pool.borrow_mut();
            // A target that is gone has been forgotten meanwhile.
            let Some(lanes) = lanes.get_mut(&self.address) else { return };
            lanes.idle.push(idle);
            self.is_kept();
        });
    }

    /// The pool counts it from now on.
    fn is_kept(&mut self) {
        self.counted = false;
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        let Some(pool) = self.pool.upgrade() else { return };
        let Ok(mut lanes) = pool.try_borrow_mut() else { return };
        if let Some(lanes) = lanes.get_mut(&self.address) {
            lanes.open = lanes.open.saturating_sub(1);
        }
    }
}

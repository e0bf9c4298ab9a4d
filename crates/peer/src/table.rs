//! Peers, their queues and connections, shared by the transport's tasks.
//!
//! One lock guards everything, held only for short steps and never across an
//! await. All tasks run on the control thread, so it is not contended; it only
//! lets the transport be handed to another thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use briarshift_units::{BytesPerSecond, Moment, Span, VmId};
use quinn::Connection;
use tokio::sync::Notify;

use crate::{Budget, Class, Counters, Drop, Queue, Queued, Snapshot, Verdict};

/// Bytes that QUIC, UDP and IP add to a frame sent as a datagram, the
/// acknowledgement included.
const OVERHEAD: usize = 80;
/// A connection on which nothing came back for this long after a send is
/// taken for broken: the peer was replaced, or the network cut.
const SILENCE: Span = Span::from_millis(2_000);

/// What a peer's sender should do next.
pub(crate) enum Next {
    /// Send this frame; it is charged.
    Send(Queued),
    /// Ask again after this span, or when a frame is queued.
    Wait(Span),
    /// Nothing is queued.
    Idle,
}

struct Peer {
    address: SocketAddr,
    queue: Queue,
    connection: Option<Connection>,
    received: u64,
    silent_since: Option<Moment>,
    wake: Arc<Notify>,
    running: bool,
}

struct Inner {
    peers: BTreeMap<VmId, Peer>,
    open: BTreeMap<usize, Connection>,
    closed_sent: u64,
    closed_received: u64,
    budget: Budget,
}

/// The shared table.
pub(crate) struct Table {
    inner: Mutex<Inner>,
    origin: Instant,
    queue: usize,
    pub counters: Counters,
}

impl Table {
    pub(crate) fn new(budget: BytesPerSecond, queue: usize) -> Self {
        let inner = Inner {
            peers: BTreeMap::new(),
            open: BTreeMap::new(),
            closed_sent: 0,
            closed_received: 0,
            budget: Budget::new(budget, Moment(0)),
        };
        Self {
            inner: Mutex::new(inner),
            origin: Instant::now(),
            queue,
            counters: Counters::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Moment {
        Moment(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Queues a frame. Returns the peer's signal if its sender must be started.
    pub(crate) fn push(
        &self,
        to: &VmId,
        address: SocketAddr,
        queued: Queued,
    ) -> Option<Arc<Notify>> {
        let mut inner = self.lock();
        let peer = inner.peers.entry(to.clone()).or_insert_with(|| Peer::new(address, self.queue));
        if peer.address != address {
            peer.address = address;
            peer.connection = None;
        }
        if peer.queue.push(queued).is_some() {
            self.counters.dropped(Drop::Full, 1);
        }
        peer.wake.notify_one();
        if peer.running {
            return None;
        }
        peer.running = true;
        Some(Arc::clone(&peer.wake))
    }

    /// Whether a frame waits, and where the peer is.
    pub(crate) fn waiting(&self, vm: &VmId) -> Option<SocketAddr> {
        let now = self.now();
        let mut inner = self.lock();
        let peer = inner.peers.get_mut(vm)?;
        let expired = peer.queue.expire(now);
        self.counters.dropped(Drop::Stale, expired);
        (!peer.queue.is_empty()).then_some(peer.address)
    }

    /// The peer's connection, unless it is closed or silent.
    pub(crate) fn connection(&self, vm: &VmId) -> Option<Connection> {
        let now = self.now();
        let mut inner = self.lock();
        let peer = inner.peers.get_mut(vm)?;
        peer.check(now);
        peer.connection.clone()
    }

    /// Takes up an open connection; the newest replaces others for sending.
    pub(crate) fn adopt(&self, vm: &VmId, connection: &Connection) {
        self.counters.handshake();
        let mut inner = self.lock();
        let address = connection.remote_address();
        inner.open.insert(connection.stable_id(), connection.clone());
        let peer = inner.peers.entry(vm.clone()).or_insert_with(|| Peer::new(address, self.queue));
        peer.connection = Some(connection.clone());
        peer.silent_since = None;
    }

    /// Lets go of a closed connection.
    pub(crate) fn forget(&self, vm: &VmId, connection: &Connection) {
        let mut inner = self.lock();
        inner.open.remove(&connection.stable_id());
        let stats = connection.stats();
        inner.closed_sent += stats.udp_tx.bytes;
        inner.closed_received += stats.udp_rx.bytes;
        let Some(peer) = inner.peers.get_mut(vm) else { return };
        let current = peer.connection.as_ref();
        if current.is_some_and(|current| current.stable_id() == connection.stable_id()) {
            peer.connection = None;
        }
        if !peer.running && peer.connection.is_none() {
            inner.peers.remove(vm);
        }
    }

    /// The next frame that the budget lets go, the most urgent first.
    pub(crate) fn next(&self, vm: &VmId) -> Next {
        let now = self.now();
        let mut inner = self.lock();
        let Inner { peers, budget, .. } = &mut *inner;
        let Some(peer) = peers.get_mut(vm) else { return Next::Idle };
        self.counters.dropped(Drop::Stale, peer.queue.expire(now));
        let mut wait: Option<Span> = None;
        for class in Class::ALL {
            let Some(batch) = peer.queue.batch(class) else { continue };
            match budget.take(now, class, batch.bytes + OVERHEAD, now.since(batch.at)) {
                Verdict::Go => {
                    peer.silent_since.get_or_insert(now);
                    return peer.queue.pop_batch(class, batch).map_or(Next::Idle, Next::Send);
                }
                Verdict::Wait(span) => wait = Some(wait.map_or(span, |wait| wait.min(span))),
            }
        }
        wait.map_or(Next::Idle, Next::Wait)
    }

    /// Charges bytes that no frame accounts for.
    pub(crate) fn charge(&self, bytes: usize) {
        let now = self.now();
        self.lock().budget.charge(now, bytes);
    }

    /// Ends a peer's sender, unless a frame was queued meanwhile.
    pub(crate) fn retire(&self, vm: &VmId) -> bool {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(vm) else { return true };
        if !peer.queue.is_empty() {
            return false;
        }
        peer.running = false;
        if peer.connection.is_none() {
            inner.peers.remove(vm);
        }
        true
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let inner = self.lock();
        let mut snapshot = self.counters.read();
        snapshot.over_budget = inner.budget.excess();
        snapshot.connections = inner.open.len() as u64;
        snapshot.udp_sent = inner.closed_sent;
        snapshot.udp_received = inner.closed_received;
        for connection in inner.open.values() {
            let stats = connection.stats();
            snapshot.udp_sent += stats.udp_tx.bytes;
            snapshot.udp_received += stats.udp_rx.bytes;
        }
        snapshot
    }
}

impl Peer {
    fn new(address: SocketAddr, queue: usize) -> Self {
        Self {
            address,
            queue: Queue::new(queue),
            connection: None,
            received: 0,
            silent_since: None,
            wake: Arc::default(),
            running: false,
        }
    }

    /// Lets go of a connection that is closed, or on which nothing came back.
    fn check(&mut self, now: Moment) {
        let Some(connection) = &self.connection else { return };
        if connection.close_reason().is_some() {
            self.connection = None;
            return;
        }
        let received = connection.stats().udp_rx.datagrams;
        if received != self.received {
            self.received = received;
            self.silent_since = None;
        }
        if self.silent_since.is_some_and(|since| SILENCE < now.since(since)) {
            connection.close(0u32.into(), b"silent");
            self.connection = None;
            self.silent_since = None;
        }
    }
}

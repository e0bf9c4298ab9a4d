//! The table of peers with their queues and connections, shared by the transport's tasks.
//!
//! One mutex guards the table. It is held briefly and never across an await. All tasks run on the
//! control thread, so it is not contended; it is needed only because the transport must be `Send`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use briarshift_units::{BytesPerSecond, Moment, Span, VmId};
use quinn::Connection;
use tokio::sync::Notify;

use crate::{Budget, Class, Counters, Decision, DropReason, Queue, QueuedFrame, Snapshot};

/// Bytes that QUIC, UDP and IP add to a frame sent as a datagram, including the acknowledgement.
const DATAGRAM_OVERHEAD: usize = 80;
/// Longest time after a send without any datagram from the peer. After it the connection is closed
/// as lost: the peer was replaced, or the network is interrupted.
const RESPONSE_TIMEOUT: Span = Span::from_millis(2_000);

/// What the sender task of a peer does next.
pub(crate) enum Step {
    /// Sends this frame, which has been charged to the budget.
    Send(QueuedFrame),
    /// Tries again after this span, or when another frame is queued.
    Wait(Span),
    /// Waits for a frame, since none is queued.
    Idle,
}

struct Peer {
    address: SocketAddr,
    queue: Queue,
    connection: Option<Connection>,
    received_datagrams: u64,
    unanswered_since: Option<Moment>,
    wake: Arc<Notify>,
    sender_running: bool,
}

struct Inner {
    peers: BTreeMap<VmId, Peer>,
    open_connections: BTreeMap<usize, Connection>,
    closed_sent_bytes: u64,
    closed_received_bytes: u64,
    budget: Budget,
}

/// The table of peers, the byte budget and the counters.
pub(crate) struct Table {
    inner: Mutex<Inner>,
    started: Instant,
    max_queued_frames: usize,
    pub counters: Counters,
}

impl Table {
    pub(crate) fn new(budget: BytesPerSecond, max_queued_frames: usize) -> Self {
        let inner = Inner {
            peers: BTreeMap::new(),
            open_connections: BTreeMap::new(),
            closed_sent_bytes: 0,
            closed_received_bytes: 0,
            budget: Budget::new(budget, Moment(0)),
        };
        Self {
            inner: Mutex::new(inner),
            started: Instant::now(),
            max_queued_frames,
            counters: Counters::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Queues a frame. If no sender task runs for the peer, returns the [`Notify`] with which the
    /// caller must start one.
    pub(crate) fn enqueue(
        &self,
        to: &VmId,
        address: SocketAddr,
        queued: QueuedFrame,
    ) -> Option<Arc<Notify>> {
        let mut inner = self.lock();
        let peer = inner
            .peers
            .entry(to.clone())
            .or_insert_with(|| Peer::new(address, self.max_queued_frames));
        if peer.address != address {
            peer.address = address;
            peer.connection = None;
        }
        if peer.queue.push(queued).is_some() {
            self.counters.record_dropped(DropReason::QueueFull, 1);
        }
        peer.wake.notify_one();
        if peer.sender_running {
            return None;
        }
        peer.sender_running = true;
        Some(Arc::clone(&peer.wake))
    }

    /// Drops expired frames and returns the peer's address, or `None` if no frame is queued.
    pub(crate) fn queued_for(&self, vm: &VmId) -> Option<SocketAddr> {
        let now = self.now();
        let mut inner = self.lock();
        let peer = inner.peers.get_mut(vm)?;
        let expired = peer.queue.drop_expired(now);
        self.counters.record_dropped(DropReason::Expired, expired);
        (!peer.queue.is_empty()).then_some(peer.address)
    }

    /// Returns the peer's connection, unless it is closed or the peer no longer responds.
    pub(crate) fn connection(&self, vm: &VmId) -> Option<Connection> {
        let now = self.now();
        let mut inner = self.lock();
        let peer = inner.peers.get_mut(vm)?;
        peer.drop_dead_connection(now);
        peer.connection.clone()
    }

    /// Adds an open connection. Frames are sent on the newest connection of a peer.
    pub(crate) fn add_connection(&self, vm: &VmId, connection: &Connection) {
        self.counters.record_handshake();
        let mut inner = self.lock();
        let address = connection.remote_address();
        inner.open_connections.insert(connection.stable_id(), connection.clone());
        let peer = inner
            .peers
            .entry(vm.clone())
            .or_insert_with(|| Peer::new(address, self.max_queued_frames));
        peer.connection = Some(connection.clone());
        peer.unanswered_since = None;
    }

    /// Removes a closed connection and adds its byte counts to the totals.
    pub(crate) fn remove_connection(&self, vm: &VmId, connection: &Connection) {
        let mut inner = self.lock();
        inner.open_connections.remove(&connection.stable_id());
        let stats = connection.stats();
        inner.closed_sent_bytes += stats.udp_tx.bytes;
        inner.closed_received_bytes += stats.udp_rx.bytes;
        let Some(peer) = inner.peers.get_mut(vm) else { return };
        let current = peer.connection.as_ref();
        if current.is_some_and(|current| current.stable_id() == connection.stable_id()) {
            peer.connection = None;
        }
        if !peer.sender_running && peer.connection.is_none() {
            inner.peers.remove(vm);
        }
    }

    /// Returns the next batch that the budget allows, in order of class, or how long to wait for it.
    pub(crate) fn next_step(&self, vm: &VmId) -> Step {
        let now = self.now();
        let mut inner = self.lock();
        let Inner { peers, budget, .. } = &mut *inner;
        let Some(peer) = peers.get_mut(vm) else { return Step::Idle };
        self.counters.record_dropped(DropReason::Expired, peer.queue.drop_expired(now));
        let mut wait: Option<Span> = None;
        for class in Class::ALL {
            let Some(batch) = peer.queue.next_batch(class) else { continue };
            match budget.try_take(
                now,
                class,
                batch.bytes + DATAGRAM_OVERHEAD,
                now.since(batch.queued_at),
            ) {
                Decision::Send => {
                    peer.unanswered_since.get_or_insert(now);
                    return peer.queue.pop_batch(class, batch).map_or(Step::Idle, Step::Send);
                }
                Decision::Wait(span) => wait = Some(wait.map_or(span, |wait| wait.min(span))),
            }
        }
        wait.map_or(Step::Idle, Step::Wait)
    }

    /// Charges bytes that are not part of a frame.
    pub(crate) fn charge(&self, bytes: usize) {
        let now = self.now();
        self.lock().budget.charge(now, bytes);
    }

    /// Marks a peer's sender task as ended. Returns false if a frame was queued in the meantime,
    /// in which case the task must go on.
    pub(crate) fn stop_sender(&self, vm: &VmId) -> bool {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(vm) else { return true };
        if !peer.queue.is_empty() {
            return false;
        }
        peer.sender_running = false;
        if peer.connection.is_none() {
            inner.peers.remove(vm);
        }
        true
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let inner = self.lock();
        let mut snapshot = self.counters.read();
        snapshot.over_budget_bytes = inner.budget.excess();
        snapshot.connections = inner.open_connections.len() as u64;
        snapshot.udp_sent_bytes = inner.closed_sent_bytes;
        snapshot.udp_received_bytes = inner.closed_received_bytes;
        for connection in inner.open_connections.values() {
            let stats = connection.stats();
            snapshot.udp_sent_bytes += stats.udp_tx.bytes;
            snapshot.udp_received_bytes += stats.udp_rx.bytes;
        }
        snapshot
    }
}

impl Peer {
    fn new(address: SocketAddr, max_queued_frames: usize) -> Self {
        Self {
            address,
            queue: Queue::new(max_queued_frames),
            connection: None,
            received_datagrams: 0,
            unanswered_since: None,
            wake: Arc::default(),
            sender_running: false,
        }
    }

    /// Drops the connection if it is closed, or if the peer has not responded for
    /// [`RESPONSE_TIMEOUT`].
    fn drop_dead_connection(&mut self, now: Moment) {
        let Some(connection) = &self.connection else { return };
        if connection.close_reason().is_some() {
            self.connection = None;
            return;
        }
        let received = connection.stats().udp_rx.datagrams;
        if received != self.received_datagrams {
            self.received_datagrams = received;
            self.unanswered_since = None;
        }
        if self.unanswered_since.is_some_and(|since| RESPONSE_TIMEOUT < now.since(since)) {
            connection.close(0u32.into(), b"silent");
            self.connection = None;
            self.unanswered_since = None;
        }
    }
}

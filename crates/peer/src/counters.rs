//! Counters of the transport, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Kind, Refusal};

/// Why this VM dropped a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The peer's queue was full; the oldest frame was dropped.
    QueueFull,
    /// The frame waited too long for the budget or for a connection.
    Expired,
    /// The message is longer than a frame may be.
    Oversized,
    /// The connection was lost while it sent the frame.
    ConnectionLost,
    /// A message arrived while the channel to the control thread was full.
    InboxFull,
}

impl DropReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 5] =
        [Self::QueueFull, Self::Expired, Self::Oversized, Self::ConnectionLost, Self::InboxFull];

    /// Returns the reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::QueueFull => "full",
            Self::Expired => "stale",
            Self::Oversized => "oversized",
            Self::ConnectionLost => "broken",
            Self::InboxFull => "unread",
        }
    }
}

/// A number of frames and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of frames.
    pub frames: u64,
    /// Their total length in bytes, without QUIC, UDP and IP headers.
    pub bytes: u64,
}

/// The values of [`Counters`] at one time, and the state of the open connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Snapshot {
    sent: [Traffic; Kind::ALL.len()],
    received: [Traffic; Kind::ALL.len()],
    dropped: [u64; DropReason::ALL.len()],
    refused: [u64; Refusal::ALL.len()],
    /// Bytes of reservation messages sent beyond the budget.
    pub over_budget_bytes: u64,
    /// Connections open now.
    pub connections: u64,
    /// Completed handshakes, whichever side opened the connection.
    pub handshakes: u64,
    /// Attempts to open a connection that failed.
    pub failed_connects: u64,
    /// Bytes in UDP datagrams sent, including those that QUIC adds.
    pub udp_sent_bytes: u64,
    /// Bytes in UDP datagrams received, including those that QUIC adds.
    pub udp_received_bytes: u64,
}

impl Snapshot {
    /// Returns the frames sent of a kind.
    pub fn sent(&self, kind: Kind) -> Traffic {
        self.sent[kind.index()]
    }

    /// Returns the frames received of a kind.
    pub fn received(&self, kind: Kind) -> Traffic {
        self.received[kind.index()]
    }

    /// Returns the number of frames that this VM dropped for a reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }

    /// Returns the number of connections that this VM refused for a reason.
    pub fn refused(&self, reason: Refusal) -> u64 {
        self.refused[reason.index()]
    }
}

#[derive(Debug, Default)]
struct AtomicTraffic {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl AtomicTraffic {
    fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn read(&self) -> Traffic {
        Traffic {
            frames: self.frames.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

/// Counters of one transport since it was started.
#[derive(Debug, Default)]
pub struct Counters {
    sent: [AtomicTraffic; Kind::ALL.len()],
    received: [AtomicTraffic; Kind::ALL.len()],
    dropped: [AtomicU64; DropReason::ALL.len()],
    refused: [AtomicU64; Refusal::ALL.len()],
    handshakes: AtomicU64,
    failed_connects: AtomicU64,
}

impl Counters {
    pub(crate) fn record_sent(&self, kind: Kind, bytes: usize) {
        self.sent[kind.index()].add(bytes);
    }

    pub(crate) fn record_received(&self, kind: Kind, bytes: usize) {
        self.received[kind.index()].add(bytes);
    }

    pub(crate) fn record_dropped(&self, reason: DropReason, frames: u64) {
        self.dropped[reason as usize].fetch_add(frames, Ordering::Relaxed);
    }

    pub(crate) fn record_refused(&self, reason: Refusal) {
        self.refused[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_handshake(&self) {
        self.handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_connect_failure(&self) {
        self.failed_connects.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all counters except those that come from the budget and the connections.
    pub(crate) fn read(&self) -> Snapshot {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Snapshot {
            sent: self.sent.each_ref().map(AtomicTraffic::read),
            received: self.received.each_ref().map(AtomicTraffic::read),
            dropped: self.dropped.each_ref().map(load),
            refused: self.refused.each_ref().map(load),
            handshakes: load(&self.handshakes),
            failed_connects: load(&self.failed_connects),
            ..Snapshot::default()
        }
    }
}

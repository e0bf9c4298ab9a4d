//! What the transport counts, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Kind, Refusal};

/// Why a frame was dropped at this end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The peer's queue was full; the oldest frame went.
    QueueFull,
    /// It waited too long for the budget or a connection.
    Expired,
    /// It is too long to be a frame.
    Oversized,
    /// It was handed to a connection that broke.
    ConnectionLost,
    /// It arrived while the control thread had too many to read.
    InboxFull,
}

impl DropReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 5] =
        [Self::QueueFull, Self::Expired, Self::Oversized, Self::ConnectionLost, Self::InboxFull];

    /// The reason as a metric label.
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

/// Frames and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames.
    pub frames: u64,
    /// Their bytes, without those of QUIC, UDP and IP.
    pub bytes: u64,
}

/// A reading of [`Counters`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Snapshot {
    sent: [Traffic; Kind::ALL.len()],
    received: [Traffic; Kind::ALL.len()],
    dropped: [u64; DropReason::ALL.len()],
    refused: [u64; Refusal::ALL.len()],
    /// Bytes of place messages sent beyond the budget.
    pub over_budget_bytes: u64,
    /// Connections open now.
    pub connections: u64,
    /// Handshakes that ended in a connection, ours and theirs.
    pub handshakes: u64,
    /// Connections that could not be opened.
    pub failed_connects: u64,
    /// Bytes in UDP datagrams sent, QUIC's own included.
    pub udp_sent_bytes: u64,
    /// Bytes in UDP datagrams received, QUIC's own included.
    pub udp_received_bytes: u64,
}

impl Snapshot {
    /// Frames of a kind sent.
    pub fn sent(&self, kind: Kind) -> Traffic {
        self.sent[kind.index()]
    }

    /// Frames of a kind received.
    pub fn received(&self, kind: Kind) -> Traffic {
        self.received[kind.index()]
    }

    /// Frames dropped at this end, for a reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }

    /// Connections closed at this end, for a reason.
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

/// Counters of one transport since its start.
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

    /// Reads all counters but those of open connections.
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

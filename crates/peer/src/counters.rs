//! What the transport counts, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Kind, Refusal};

/// Why a frame was dropped at this end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Drop {
    /// The peer's queue was full; the oldest frame went.
    Full,
    /// It waited too long for the budget or a connection.
    Stale,
    /// It is too long to be a frame.
    Oversized,
    /// It was handed to a connection that broke.
    Broken,
    /// It arrived while the control thread had too many to read.
    Unread,
}

impl Drop {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 5] =
        [Self::Full, Self::Stale, Self::Oversized, Self::Broken, Self::Unread];

    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Stale => "stale",
            Self::Oversized => "oversized",
            Self::Broken => "broken",
            Self::Unread => "unread",
        }
    }
}

/// Frames and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Frames.
    pub frames: u64,
    /// Their bytes, without those of QUIC, UDP and IP.
    pub bytes: u64,
}

/// A reading of [`Counters`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Snapshot {
    sent: [Flow; Kind::ALL.len()],
    received: [Flow; Kind::ALL.len()],
    dropped: [u64; Drop::ALL.len()],
    refused: [u64; Refusal::ALL.len()],
    /// Bytes of place messages sent beyond the budget.
    pub over_budget: u64,
    /// Connections open now.
    pub connections: u64,
    /// Handshakes that ended in a connection, ours and theirs.
    pub handshakes: u64,
    /// Connections that could not be opened.
    pub unreachable: u64,
    /// Bytes in UDP datagrams sent, QUIC's own included.
    pub udp_sent: u64,
    /// Bytes in UDP datagrams received, QUIC's own included.
    pub udp_received: u64,
}

impl Snapshot {
    /// Frames of a kind sent.
    pub fn sent(&self, kind: Kind) -> Flow {
        self.sent[kind.index()]
    }

    /// Frames of a kind received.
    pub fn received(&self, kind: Kind) -> Flow {
        self.received[kind.index()]
    }

    /// Frames dropped at this end, for a reason.
    pub fn dropped(&self, reason: Drop) -> u64 {
        self.dropped[reason as usize]
    }

    /// Connections closed at this end, for a reason.
    pub fn refused(&self, reason: Refusal) -> u64 {
        self.refused[reason.index()]
    }
}

#[derive(Debug, Default)]
struct Pair {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Pair {
    fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn read(&self) -> Flow {
        Flow {
            frames: self.frames.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

/// Counters of one transport since its start.
#[derive(Debug, Default)]
pub struct Counters {
    sent: [Pair; Kind::ALL.len()],
    received: [Pair; Kind::ALL.len()],
    dropped: [AtomicU64; Drop::ALL.len()],
    refused: [AtomicU64; Refusal::ALL.len()],
    handshakes: AtomicU64,
    unreachable: AtomicU64,
}

impl Counters {
    pub(crate) fn sent(&self, kind: Kind, bytes: usize) {
        self.sent[kind.index()].add(bytes);
    }

    pub(crate) fn received(&self, kind: Kind, bytes: usize) {
        self.received[kind.index()].add(bytes);
    }

    pub(crate) fn dropped(&self, reason: Drop, frames: u64) {
        self.dropped[reason as usize].fetch_add(frames, Ordering::Relaxed);
    }

    pub(crate) fn refused(&self, reason: Refusal) {
        self.refused[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn handshake(&self) {
        self.handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn unreachable(&self) {
        self.unreachable.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads all counters but those of open connections.
    pub(crate) fn read(&self) -> Snapshot {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Snapshot {
            sent: self.sent.each_ref().map(Pair::read),
            received: self.received.each_ref().map(Pair::read),
            dropped: self.dropped.each_ref().map(load),
            refused: self.refused.each_ref().map(load),
            handshakes: load(&self.handshakes),
            unreachable: load(&self.unreachable),
            ..Snapshot::default()
        }
    }
}

//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarshift_units::{Moment, Start, WallTime};

/// Reads monotonic and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { origin: Instant::now() }
    }

    pub(crate) fn now(self) -> Moment {
        Moment(self.origin.elapsed().as_micros() as u64)
    }

    pub(crate) fn wall(self) -> WallTime {
        WallTime(since_epoch().as_millis() as u64)
    }
}

fn since_epoch() -> std::time::Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The start number of a process that starts now. A VM keeps nothing between
/// two starts, so the wall clock is the only number that grows by itself.
pub(crate) fn start() -> Start {
    Start(since_epoch().as_micros() as u64)
}

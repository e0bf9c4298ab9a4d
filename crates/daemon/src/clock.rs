//! The process's clocks.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarshift_units::{Moment, StartNumber, WallTime};

/// All clocks of a process count from here, so that a moment set by the
/// control thread means the same to a traffic thread.
static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Reads monotonic and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { origin: *ORIGIN.get_or_init(Instant::now) }
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
pub(crate) fn start() -> StartNumber {
    StartNumber(since_epoch().as_micros() as u64)
}

//! The process's clocks.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarshift_units::{Moment, StartNumber, WallTime};

/// Origin of all clocks of this process. It is shared so that the control thread
/// and the workers can compare their moments.
static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Reads the monotonic clock and the wall clock.
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

/// Returns the start number of a process that starts now. It must grow from one
/// start to the next, and a VM stores nothing between starts, so it is read from
/// the wall clock.
pub(crate) fn start() -> StartNumber {
    StartNumber(since_epoch().as_micros() as u64)
}

//! The clocks of the process. The monotonic one includes time for which the VM is
//! suspended.

use briarshift_units::{Moment, StartNumber};
use nix::time::{ClockId, clock_gettime};

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Returns the time since the VM booted, including suspension. A key may be revoked
/// while the VM is suspended: a clock that stops meanwhile would make the cached
/// configuration look younger than it is.
pub(crate) fn now() -> Moment {
    Moment(read(ClockId::CLOCK_BOOTTIME))
}

/// Returns the start number of a process that starts now. It must grow from one
/// start to the next, and a VM stores nothing between starts, so it is read from
/// the wall clock.
pub(crate) fn start() -> StartNumber {
    StartNumber(read(ClockId::CLOCK_REALTIME))
}

/// Reads a clock in microseconds.
fn read(clock: ClockId) -> u64 {
    // Both clocks exist on every Linux that this program runs on.
    let time = clock_gettime(clock).expect("Linux always has CLOCK_BOOTTIME and CLOCK_REALTIME");
    (time.tv_sec() * MICROS_PER_SECOND + time.tv_nsec() / NANOS_PER_MICRO) as u64
}

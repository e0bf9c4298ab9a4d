//! The process's clock, which counts the time for which its VM is suspended.

use briarshift_units::{Moment, StartNumber};
use nix::time::{ClockId, clock_gettime};

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Time since the VM booted, suspension included. A key may be revoked while a
/// VM is suspended, so a clock that stands still meanwhile would not do.
pub(crate) fn now() -> Moment {
    Moment(read(ClockId::CLOCK_BOOTTIME))
}

/// The start number of a process that starts now: a VM keeps nothing between
/// two starts, so the wall clock is the only number that grows by itself.
pub(crate) fn start() -> StartNumber {
    StartNumber(read(ClockId::CLOCK_REALTIME))
}

fn read(clock: ClockId) -> u64 {
    // Both clocks exist on every Linux that this program runs on.
    let time = clock_gettime(clock).expect("the system has this clock");
    (time.tv_sec() * MICROS_PER_SECOND + time.tv_nsec() / NANOS_PER_MICRO) as u64
}

//! Status of a VM, for gauges and operators.

use briarshift_units::Revision;
use serde::Serialize;

/// Figures for gauges and operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Revision of the configuration in force; 0 if there is none.
    pub revision: Revision,
    /// Time since the configuration was last confirmed to be the newest, in
    /// milliseconds; the maximum value if it never was.
    pub confirmed_ms_ago: u64,
    /// Requests in flight on this VM.
    pub in_flight: usize,
    /// Requests that wait on this VM for room at targets.
    pub waiting: usize,
    /// Targets that accept new requests.
    pub targets: usize,
    /// Peers that are live.
    pub peers: usize,
    /// Whether this VM is ready for callers.
    pub ready: bool,
    /// Whether this VM is shutting down.
    pub draining: bool,
}

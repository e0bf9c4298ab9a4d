//! State that the control thread shares with the listeners.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use briarshift_catalog::Limits;
use briarshift_units::{Size, Span};

/// Flags and limits that each request reads, without a message to the control
/// thread.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Values>);

struct Values {
    ready: AtomicBool,
    draining: AtomicBool,
    max_body: AtomicU64,
    /// In microseconds, like the next one.
    read_timeout: AtomicU64,
    idle_timeout: AtomicU64,
}

impl Default for Shared {
    fn default() -> Self {
        let limits = Limits::default();
        Self(Arc::new(Values {
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            max_body: AtomicU64::new(limits.max_body.0),
            read_timeout: AtomicU64::new(limits.read_timeout.0),
            idle_timeout: AtomicU64::new(limits.idle_timeout.0),
        }))
    }
}

impl Shared {
    pub(crate) fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.0.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn set_draining(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the limit of a request's body, and the longest wait for each chunk of
    /// it.
    pub(crate) fn limits(&self) -> (Size, Span) {
        let max_body = Size(self.0.max_body.load(Ordering::Relaxed));
        (max_body, Span(self.0.read_timeout.load(Ordering::Relaxed)))
    }

    /// Returns for how long a caller's connection may be idle.
    pub(crate) fn idle_timeout(&self) -> Span {
        Span(self.0.idle_timeout.load(Ordering::Relaxed))
    }

    pub(crate) fn set_limits(&self, limits: Limits) {
        self.0.max_body.store(limits.max_body.0, Ordering::Relaxed);
        self.0.read_timeout.store(limits.read_timeout.0, Ordering::Relaxed);
        self.0.idle_timeout.store(limits.idle_timeout.0, Ordering::Relaxed);
    }
}

//! What the control thread tells the listeners, without a message.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use briarshift_catalog::Limits;
use briarshift_units::{Size, Span};

/// Flags and limits, read by each request.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Values>);

struct Values {
    ready: AtomicBool,
    draining: AtomicBool,
    body: AtomicU64,
    read: AtomicU64,
}

impl Default for Shared {
    fn default() -> Self {
        let limits = Limits::default();
        Self(Arc::new(Values {
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            body: AtomicU64::new(limits.max_body.0),
            read: AtomicU64::new(limits.read_timeout.0),
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

    pub(crate) fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }

    /// Longest body of a request, and the longest time to read it.
    pub(crate) fn limits(&self) -> (Size, Span) {
        let body = Size(self.0.body.load(Ordering::Relaxed));
        (body, Span(self.0.read.load(Ordering::Relaxed)))
    }

    pub(crate) fn set_limits(&self, limits: Limits) {
        self.0.body.store(limits.max_body.0, Ordering::Relaxed);
        self.0.read.store(limits.read_timeout.0, Ordering::Relaxed);
    }
}

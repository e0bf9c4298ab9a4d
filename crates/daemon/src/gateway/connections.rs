//! The callers' open connections, so that a stopping process can wait for those whose answers
//! are not written yet.
//!
//! A target's answer counts as delivered in the reducer once the worker has handed it over,
//! but a caller that reads slowly may take seconds longer. Only the HTTP server knows when all
//! of it is written: told to close, it ends an idle connection at once and any other after its
//! answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

/// The open connections of all callers. It is cheap to clone.
#[derive(Clone)]
pub(super) struct Connections(Arc<Channels>);

struct Channels {
    open: watch::Sender<usize>,
    is_closing: watch::Sender<bool>,
}

/// An open connection, which counts until this is dropped.
pub(super) struct Guard(Connections);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.open.send_modify(|open| *open -= 1);
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self(Arc::new(Channels {
            open: watch::Sender::new(0),
            is_closing: watch::Sender::new(false),
        }))
    }
}

impl Connections {
    /// Counts a connection that was accepted.
    pub(super) fn open(&self) -> Guard {
        self.0.open.send_modify(|open| *open += 1);
        Guard(self.clone())
    }

    /// Returns a future that ends when connections are to be closed.
    pub(super) fn closing(&self) -> impl Future<Output = ()> + use<> {
        let mut is_closing = self.0.is_closing.subscribe();
        async move {
            // An error means that the process is ending.
            let _ = is_closing.wait_for(|is_closing| *is_closing).await;
        }
    }

    /// Closes each connection once its answer is written, and waits for that. Returns the
    /// number of those that are open after `wait`.
    pub(super) async fn close(&self, wait: Duration) -> usize {
        self.0.is_closing.send_replace(true);
        let mut open = self.0.open.subscribe();
        let _ = timeout(wait, open.wait_for(|open| *open == 0)).await;
        *self.0.open.borrow()
    }
}

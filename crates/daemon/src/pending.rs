//! Requests whose workers wait for decisions of the control thread.

use std::collections::HashMap;

use briarshift_units::RequestId;
use tokio::sync::mpsc::UnboundedSender;

/// The channel to the worker of each request that waits for a decision.
pub(crate) struct PendingRequests<D>(HashMap<RequestId, UnboundedSender<D>>);

impl<D> Default for PendingRequests<D> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<D> PendingRequests<D> {
    pub(crate) fn insert(&mut self, request: RequestId, worker: UnboundedSender<D>) {
        self.0.insert(request, worker);
    }

    pub(crate) fn remove(&mut self, request: RequestId) {
        self.0.remove(&request);
    }

    /// Sends a decision to the request's worker. Forgets the request if this is
    /// the last decision about it or the worker's channel is closed. Returns true
    /// if the decision was delivered.
    pub(crate) fn send(&mut self, request: RequestId, decision: D, last: bool) -> bool {
        let worker = self.0.get(&request);
        let delivered = worker.is_some_and(|worker| worker.send(decision).is_ok());
        if last || !delivered {
            self.0.remove(&request);
        }
        delivered
    }
}

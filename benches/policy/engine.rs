//! Simulated engines: the requests that run on them, their cached contexts and their load reports.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_target::LoadReport;
use briarshift_units::{ChatKey, RequestId, StartNumber, TargetId};

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// The engine's id.
    pub id: TargetId,
    /// The start number of its process.
    pub start: StartNumber,
    /// Whether it is up and answers.
    pub up: bool,
    /// Whether it is leaving and should get no new requests.
    pub leaving: bool,
    /// Whether it is in the platform's list.
    pub listed: bool,
    /// The requests that run on it.
    pub running: BTreeSet<RequestId>,
    contexts: BTreeMap<ChatKey, u64>,
    by_last_use: BTreeMap<u64, ChatKey>,
    max_contexts: usize,
    use_counter: u64,
}

impl Engine {
    /// Creates an engine that is up and has no contexts.
    pub fn new(index: usize, max_contexts: usize) -> Self {
        Self {
            id: format!("e-{index}").parse().expect("digits make an id"),
            start: StartNumber(1),
            up: true,
            leaving: false,
            listed: true,
            running: BTreeSet::new(),
            contexts: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            max_contexts,
            use_counter: 0,
        }
    }

    /// Returns the number of contexts that its cache can hold.
    pub fn max_contexts(&self) -> usize {
        self.max_contexts
    }

    /// Returns true if it is up and not leaving.
    pub fn accepts_requests(&self) -> bool {
        self.up && !self.leaving
    }

    /// Returns true if its cache holds the chat's context.
    pub fn holds_context(&self, chat: ChatKey) -> bool {
        self.contexts.contains_key(&chat)
    }

    /// Stores a chat's context and evicts the least recently used one if the cache is full.
    pub fn store_context(&mut self, chat: ChatKey) {
        self.use_counter += 1;
        if let Some(old) = self.contexts.insert(chat, self.use_counter) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_counter, chat);
        if self.contexts.len() <= self.max_contexts {
            return;
        }
        if let Some((_, oldest)) = self.by_last_use.pop_first() {
            self.contexts.remove(&oldest);
        }
    }

    /// Stops the engine and clears its cache. Returns the requests that ran on it.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.up = false;
        self.contexts.clear();
        self.by_last_use.clear();
        std::mem::take(&mut self.running).into_iter().collect()
    }

    /// Starts the engine with the next start number.
    pub fn restart(&mut self) {
        self.up = true;
        self.leaving = false;
        self.start = StartNumber(self.start.0 + 1);
    }

    /// Returns its load report; `None` if it is down.
    pub fn report(&self) -> Option<LoadReport> {
        let running = self.running.len() as u32;
        let report =
            LoadReport { start: self.start, running, leaving: self.leaving, ..<_>::default() };
        self.up.then_some(report)
    }
}

//! Engines, as fakes: they hold requests and contexts, and report late.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_target::LoadReport;
use briarshift_units::{ChatKey, RequestId, StartNumber, TargetId};

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its id.
    pub id: TargetId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Whether it answers.
    pub up: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Requests that run on it.
    pub running: BTreeSet<RequestId>,
    contexts: BTreeMap<ChatKey, u64>,
    by_age: BTreeMap<u64, ChatKey>,
    capacity: usize,
    clock: u64,
}

impl Engine {
    /// An engine that is up.
    pub fn new(index: usize, capacity: usize) -> Self {
        Self {
            id: format!("e-{index}").parse().expect("digits make an id"),
            start: StartNumber(1),
            up: true,
            leaving: false,
            listed: true,
            running: BTreeSet::new(),
            contexts: BTreeMap::new(),
            by_age: BTreeMap::new(),
            capacity,
            clock: 0,
        }
    }

    /// Contexts that it has room for.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether requests should be placed on it, by the truth.
    pub fn is_open(&self) -> bool {
        self.up && !self.leaving
    }

    /// Whether it holds a chat's context.
    pub fn holds(&self, chat: ChatKey) -> bool {
        self.contexts.contains_key(&chat)
    }

    /// Keeps a chat's context and drops the one unused longest if need be.
    pub fn keep(&mut self, chat: ChatKey) {
        self.clock += 1;
        if let Some(old) = self.contexts.insert(chat, self.clock) {
            self.by_age.remove(&old);
        }
        self.by_age.insert(self.clock, chat);
        if self.contexts.len() <= self.capacity {
            return;
        }
        if let Some((_, oldest)) = self.by_age.pop_first() {
            self.contexts.remove(&oldest);
        }
    }

    /// Stops, and loses everything; returns what ran.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.up = false;
        self.contexts.clear();
        self.by_age.clear();
        std::mem::take(&mut self.running).into_iter().collect()
    }

    /// Starts anew.
    pub fn start(&mut self) {
        self.up = true;
        self.leaving = false;
        self.start = StartNumber(self.start.0 + 1);
    }

    /// What it reports.
    pub fn report(&self) -> Option<LoadReport> {
        let running = self.running.len() as u32;
        let report =
            LoadReport { start: self.start, running, leaving: self.leaving, ..<_>::default() };
        self.up.then_some(report)
    }
}

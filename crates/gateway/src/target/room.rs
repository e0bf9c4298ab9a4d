//! The memory of engines.

use briarshift_routing::room::Memory;
use briarshift_units::{Moment, TargetId};

use super::{Entry, Query, State};

impl Entry {
    /// Returns the memory that this VM's requests are expected to need at the target, in
    /// tokens.
    pub fn own_memory(&self) -> u64 {
        self.memory
    }

    /// Returns what is known of the memory of an engine with `size` tokens of it, `shared`
    /// of which the shared parts of prompts use.
    pub fn memory(&self, query: &Query<'_>, size: u64, shared: u64) -> Memory {
        let peers = query.peer_loads.at(self.hash);
        let stated = self.reported_load(query.now).filter(|_| !query.all_peers_live);
        Memory {
            size,
            shared,
            own: self.memory.saturating_add(peers.memory),
            known_requests: self.requests.saturating_add(peers.requests),
            has_prompt: false,
            stated_requests: stated.map_or(0, |load| load.running.saturating_add(load.waiting)),
        }
    }

    /// Returns the number of requests that the target is known to hold at most, running and
    /// waiting.
    pub fn places(&self) -> Option<u32> {
        self.queue.map(|queue| self.target.slots.saturating_add(queue))
    }
}

impl State {
    /// Records that a target turned a request away. What it states beside that shows how
    /// many it lets wait, if it does that at all.
    pub fn record_full(&mut self, id: &TargetId, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let stated = entry.reported_load.filter(|(_, at)| *at == now);
        let waiting = stated.map_or(0, |(load, _)| load.waiting);
        if 0 < waiting {
            entry.queue = Some(entry.queue.unwrap_or(0).max(waiting));
        }
    }

    /// Counts the memory that a request is expected to need at an engine, in tokens.
    pub fn add_memory(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.memory = entry.memory.saturating_add(tokens);
        }
    }

    /// Removes the memory of a request that has ended.
    pub fn remove_memory(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.memory = entry.memory.saturating_sub(tokens);
        }
    }
}

//! The prefix cache: which chats' contexts are held, and the events it
//! publishes late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use briarshift_target::{CacheEvent, CacheEventKind};
use briarshift_units::ChatKey;

/// Most events kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u64,
    used: u64,
}

struct Event {
    at: Instant,
    change: CacheEvent,
}

/// Contexts of the chats used last.
pub(super) struct Cache {
    capacity: usize,
    held: BTreeMap<ChatKey, Held>,
    by_use: BTreeMap<u64, ChatKey>,
    uses: u64,
    sequence: u64,
    events: VecDeque<Event>,
}

impl Cache {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub fn holds(&self, chat: ChatKey) -> bool {
        self.held.contains_key(&chat)
    }

    /// Tokens held of a chat.
    pub fn tokens(&self, chat: ChatKey) -> u64 {
        self.held.get(&chat).map_or(0, |held| held.tokens)
    }

    /// Holds a chat's context, and drops those unused for longest.
    pub fn store(&mut self, chat: ChatKey, tokens: u64) {
        self.uses += 1;
        let held = Held { tokens, used: self.uses };
        let before = self.held.insert(chat, held);
        if let Some(before) = before {
            self.by_use.remove(&before.used);
        } else {
            self.publish(chat, CacheEventKind::Stored);
        }
        self.by_use.insert(self.uses, chat);
        while self.capacity < self.held.len() {
            let Some((_, chat)) = self.by_use.pop_first() else { return };
            self.held.remove(&chat);
            self.publish(chat, CacheEventKind::Evicted);
        }
    }

    /// Events after a sequence number that are old enough to be shown; every
    /// `gap`-th one is lost (0 for none).
    pub fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let shown = self.events.iter().filter(|event| event.at + lag <= now);
        shown
            .map(|event| &event.change)
            .filter(|change| after < change.sequence)
            .filter(|change| gap == 0 || !change.sequence.is_multiple_of(gap))
            .cloned()
            .collect()
    }

    fn publish(&mut self, chat: ChatKey, kind: CacheEventKind) {
        self.sequence += 1;
        let change = CacheEvent { sequence: self.sequence, chat, kind };
        self.events.push_back(Event { at: Instant::now(), change });
        if MAX_EVENTS < self.events.len() {
            self.events.pop_front();
        }
    }
}

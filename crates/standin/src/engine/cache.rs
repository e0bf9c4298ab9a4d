//! The prefix cache, which holds the contexts of chats and publishes events about them, possibly
//! with delays and gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use briarshift_target::{CacheEvent, CacheEventKind};
use briarshift_units::ChatKey;

/// Most events that are kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct CachedChat {
    tokens: u64,
    last_used: u64,
}

struct PublishedEvent {
    published_at: Instant,
    event: CacheEvent,
}

/// The contexts of the most recently used chats.
pub(super) struct Cache {
    capacity: usize,
    chats: BTreeMap<ChatKey, CachedChat>,
    by_last_use: BTreeMap<u64, ChatKey>,
    use_count: u64,
    sequence: u64,
    events: VecDeque<PublishedEvent>,
}

impl Cache {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            chats: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub fn contains(&self, chat: ChatKey) -> bool {
        self.chats.contains_key(&chat)
    }

    /// Returns the number of tokens cached for a chat.
    pub fn tokens(&self, chat: ChatKey) -> u64 {
        self.chats.get(&chat).map_or(0, |cached| cached.tokens)
    }

    /// Adds or updates a chat's context, and evicts the least recently used ones above the capacity.
    pub fn insert(&mut self, chat: ChatKey, tokens: u64) {
        self.use_count += 1;
        let cached = CachedChat { tokens, last_used: self.use_count };
        let before = self.chats.insert(chat, cached);
        if let Some(before) = before {
            self.by_last_use.remove(&before.last_used);
        } else {
            self.publish(chat, CacheEventKind::Stored);
        }
        self.by_last_use.insert(self.use_count, chat);
        while self.capacity < self.chats.len() {
            let Some((_, chat)) = self.by_last_use.pop_first() else { return };
            self.chats.remove(&chat);
            self.publish(chat, CacheEventKind::Evicted);
        }
    }

    /// Returns the events after a sequence number that were published at least `delay` ago. Every
    /// `gap`-th event is omitted (0 for none).
    pub fn events(&self, after: u64, delay: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self.events.iter().filter(|event| event.published_at + delay <= now);
        visible
            .map(|event| &event.event)
            .filter(|event| after < event.sequence)
            .filter(|event| gap == 0 || !event.sequence.is_multiple_of(gap))
            .cloned()
            .collect()
    }

    fn publish(&mut self, chat: ChatKey, kind: CacheEventKind) {
        self.sequence += 1;
        let event = CacheEvent { sequence: self.sequence, chat, kind };
        self.events.push_back(PublishedEvent { published_at: Instant::now(), event });
        if MAX_EVENTS < self.events.len() {
            self.events.pop_front();
        }
    }
}

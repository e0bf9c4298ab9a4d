//! A bounded queue of requests, fair across client accounts.
//!
//! Interactive requests are served before overnight ones. Within a priority,
//! accounts are served round-robin, so that a burst from one account delays only
//! that account. When the queue is full, the newest request of the account with
//! the most queued requests is evicted.

use std::collections::BTreeMap;

use briarshift_units::AccountId;

/// The position of an item in the queue. Smaller positions are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    overnight: bool,
    /// The round in which the item is served.
    round: u64,
    /// Sequence number of the item; the order of arrival within a round.
    sequence: u64,
}

/// The queued items of one account and priority.
#[derive(Debug, Clone, Copy, Default)]
struct SubQueue {
    /// The round in which the newest item is served.
    round: u64,
    len: usize,
}

/// A queue of items of type `T`.
#[derive(Debug)]
pub struct Queue<T> {
    items: BTreeMap<Position, (AccountId, T)>,
    /// By account and whether the items are overnight requests.
    sub_queues: BTreeMap<(AccountId, bool), SubQueue>,
    /// The round before the newest one served, for interactive and for overnight
    /// items. An account without queued items starts in the round after it.
    round: [u64; 2],
    next_sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            sub_queues: BTreeMap::new(),
            round: [0; 2],
            next_sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an item behind the other items of its account and priority. Returns
    /// the item that was evicted to keep the queue within `limit` items, if any;
    /// this may be the added one.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::queue::Queue;
    /// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
    /// let mut queue = Queue::default();
    /// assert_eq!(queue.push(&a, false, "a1", 2), None);
    /// assert_eq!(queue.push(&a, false, "a2", 2), None);
    /// assert_eq!(queue.push(&a, false, "a3", 2), Some("a3"));
    /// assert_eq!(queue.push(&b, false, "b1", 2), Some("a2"));
    /// ```
    pub fn push(
        &mut self,
        account: &AccountId,
        overnight: bool,
        item: T,
        limit: usize,
    ) -> Option<T> {
        let sub_queue = self.sub_queues.entry((account.clone(), overnight)).or_default();
        sub_queue.round = sub_queue.round.max(self.round[usize::from(overnight)]) + 1;
        sub_queue.len += 1;
        let position = Position { overnight, round: sub_queue.round, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.items.insert(position, (account.clone(), item));
        if self.items.len() <= limit {
            return None;
        }
        let newest = self.newest_of_longest()?;
        self.remove(newest)
    }

    /// Returns the positions of all items, in the order of service.
    pub fn positions(&self) -> Vec<Position> {
        self.items.keys().copied().collect()
    }

    /// Returns the item at a position.
    pub fn get(&self, position: Position) -> Option<&T> {
        self.items.get(&position).map(|(_, item)| item)
    }

    /// Iterates over all items, in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.items.iter().map(|(position, (_, item))| (*position, item))
    }

    /// Removes an item to serve it, and advances the queue to the item's round.
    pub fn dequeue(&mut self, position: Position) -> Option<T> {
        let round = &mut self.round[usize::from(position.overnight)];
        *round = (*round).max(position.round - 1);
        self.remove(position)
    }

    /// Removes an item without serving it.
    pub fn remove(&mut self, position: Position) -> Option<T> {
        let (account, item) = self.items.remove(&position)?;
        let key = (account, position.overnight);
        if let Some(sub_queue) = self.sub_queues.get_mut(&key) {
            sub_queue.len -= 1;
            if sub_queue.len == 0 {
                self.sub_queues.remove(&key);
            }
        }
        Some(item)
    }

    /// Returns the newest item of the account with the most queued items.
    /// Overnight items are chosen before interactive ones.
    fn newest_of_longest(&self) -> Option<Position> {
        let longest = self
            .sub_queues
            .iter()
            .max_by_key(|((_, overnight), sub_queue)| (*overnight, sub_queue.len));
        let ((account, overnight), _) = longest?;
        let mut newest_first = self.items.iter().rev();
        let found = newest_first
            .find(|(position, (owner, _))| owner == account && position.overnight == *overnight);
        found.map(|(position, _)| *position)
    }
}

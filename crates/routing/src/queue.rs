//! A bounded queue, fair by client account.
//!
//! Interactive requests pass overnight ones; within a priority, accounts take
//! turns, so that a surge of one account delays only itself. When the queue is
//! full, the account with most waiting loses its newest.

use std::collections::BTreeMap;

use briarshift_units::AccountId;

/// Where an item stands; smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    overnight: bool,
    turn: u64,
    number: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    turn: u64,
    len: usize,
}

/// The queue.
#[derive(Debug)]
pub struct Queue<T> {
    items: BTreeMap<Position, (AccountId, T)>,
    lanes: BTreeMap<(AccountId, bool), Lane>,
    turn: [u64; 2],
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { items: BTreeMap::new(), lanes: BTreeMap::new(), turn: [0; 2], next: 0 }
    }
}

impl<T> Queue<T> {
    /// Items waiting.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an item behind its account's others; returns what had to go to
    /// keep the queue within `limit`.
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
        let lane = self.lanes.entry((account.clone(), overnight)).or_default();
        lane.turn = lane.turn.max(self.turn[usize::from(overnight)]) + 1;
        lane.len += 1;
        let slot = Position { overnight, turn: lane.turn, number: self.next };
        self.next += 1;
        self.items.insert(slot, (account.clone(), item));
        if self.items.len() <= limit {
            return None;
        }
        let newest = self.newest_of_longest()?;
        self.remove(newest)
    }

    /// Slots in the order of service.
    pub fn positions(&self) -> Vec<Position> {
        self.items.keys().copied().collect()
    }

    /// The item in a slot.
    pub fn get(&self, slot: Position) -> Option<&T> {
        self.items.get(&slot).map(|(_, item)| item)
    }

    /// All items, in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.items.iter().map(|(slot, (_, item))| (*slot, item))
    }

    /// Takes an item out because its turn has come.
    pub fn dequeue(&mut self, slot: Position) -> Option<T> {
        let turn = &mut self.turn[usize::from(slot.overnight)];
        *turn = (*turn).max(slot.turn - 1);
        self.remove(slot)
    }

    /// Takes an item out unserved.
    pub fn remove(&mut self, slot: Position) -> Option<T> {
        let (account, item) = self.items.remove(&slot)?;
        let key = (account, slot.overnight);
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.len -= 1;
            if lane.len == 0 {
                self.lanes.remove(&key);
            }
        }
        Some(item)
    }

    /// The newest item of the account with most waiting; overnight work goes
    /// before interactive.
    fn newest_of_longest(&self) -> Option<Position> {
        let longest = self.lanes.iter().max_by_key(|((_, overnight), lane)| (*overnight, lane.len));
        let ((account, overnight), _) = longest?;
        let mut newest = self.items.iter().rev();
        let found =
            newest.find(|(slot, (owner, _))| owner == account && slot.overnight == *overnight);
        found.map(|(slot, _)| *slot)
    }
}

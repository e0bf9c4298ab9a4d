//! Requests that wait on a VM for room in a pool.
//!
//! The load that it answers: a pool that is full for a moment, by chance or by a fault. A
//! request that waits a little is served in time; one that waits in vain costs its caller
//! the time in which it could have asked again. So a request waits for free only a small
//! part of its latency goal, longer only while its turn is expected in time, and never so
//! long that it could not be served any more.
//!
//! The order is: the more urgent first, then accounts within their shares, then what came
//! back as it was told, then the accounts by turns, then by the time left. A request that
//! has waited for half of its time counts as urgent, so none starves. The queue is bounded;
//! if it is full, the newest request of the account most over its share leaves it.

use briarshift_units::{AccountId, Moment, RequestId, Span};

/// Part of a latency goal that callers lose nothing by waiting in vain.
const FREE_WAIT_DIVISOR: u64 = 8;
/// Part of a latency goal that a request may wait if its turn is expected within it. The
/// rest is for its answer.
const MAX_WAIT_DIVISOR: u64 = 2;
/// Part of a latency goal that requests may queue at a target: enough to keep its slots
/// busy until the next report of loads, and little enough to be answered in time.
const TARGET_WAIT: f64 = 0.75;
/// Part of that time, at least, for requests whose account has used its share.
const MIN_OVER_SHARE_PART: f64 = 0.5;
/// How fast that part falls with what the accounts demand beyond the slots. A little more
/// than there is room for is a longer queue for some seconds; much more soon fills it.
const OVER_SHARE_SLOPE: f64 = 2.0;
/// Part of that time for requests that are not the most urgent.
const LESS_URGENT_PART: f64 = 0.75;
/// Maximum number of requests at a target for each of its slots. Targets hold a short queue,
/// and turn away what does not fit.
const MAX_PLACES_PER_SLOT: f64 = 5.0;

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The request.
    pub request: RequestId,
    /// Its client account, if it has one.
    pub account: Option<AccountId>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// By how much its account's demand exceeds its share, in slots; 0 if it does not.
    pub excess: f64,
    /// It comes back as it was told.
    pub returns: bool,
    /// Size of its prompt.
    pub tokens: u64,
    /// Since when it waits.
    pub since: Moment,
    /// When it is given up.
    pub until: Moment,
    /// When its caller stops waiting.
    pub deadline: Moment,
}

impl Item {
    /// Returns true if its account is over its share.
    pub fn is_over(&self) -> bool {
        0.0 < self.excess
    }

    fn priority_at(&self, now: Moment) -> u8 {
        let has_aged = self.until.since(self.since).0 < now.since(self.since).0 * 2;
        if has_aged { 0 } else { self.priority }
    }
}

/// Bound on a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum size of their prompts together, in tokens.
    pub tokens: u64,
}

#[derive(Debug)]
struct Queued {
    item: Item,
    /// The round in which its account has its turn.
    round: u64,
    sequence: u64,
}

/// The requests that wait for one pool.
#[derive(Debug, Default)]
pub struct Queue {
    items: Vec<Queued>,
    tokens: u64,
    /// The round of the latest request that was served.
    round: u64,
    sequence: u64,
}

impl Queue {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds a request. Returns the requests that leave the queue to keep it within its
    /// bound; the added one may be among them.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::waiting::{Bound, Item, Queue};
    /// use briarshift_units::{Moment, RequestId};
    /// let item = |number, account: &str, excess| Item {
    ///     request: RequestId(number),
    ///     account: Some(account.parse().unwrap()),
    ///     priority: 1,
    ///     excess,
    ///     returns: false,
    ///     tokens: 0,
    ///     since: Moment(0),
    ///     until: Moment(10),
    ///     deadline: Moment(100),
    /// };
    /// let bound = Bound { requests: 2, tokens: 1_000 };
    /// let mut queue = Queue::default();
    /// queue.push(item(1, "a", 3.0), &bound);
    /// queue.push(item(2, "b", 0.0), &bound);
    /// let evicted = queue.push(item(3, "c", 0.0), &bound);
    /// assert_eq!(evicted[0].request, RequestId(1));
    /// assert_eq!(queue.in_order(Moment(0))[0].request, RequestId(2));
    /// ```
    pub fn push(&mut self, item: Item, bound: &Bound) -> Vec<Item> {
        let own = self.items.iter().filter(|it| it.item.account == item.account);
        let round = own.map(|it| it.round).max().unwrap_or(0).max(self.round) + 1;
        self.sequence += 1;
        self.tokens += item.tokens;
        self.items.push(Queued { item, round, sequence: self.sequence });
        let mut evicted = Vec::new();
        while bound.requests < self.items.len() || bound.tokens < self.tokens {
            let Some(request) = self.most_over() else { break };
            evicted.extend(self.remove(request));
        }
        evicted
    }

    /// Returns the requests in the order of their turns.
    pub fn in_order(&self, now: Moment) -> Vec<&Item> {
        let key = |it: &&Queued| {
            let Item { returns, deadline, .. } = it.item;
            let class = (it.item.priority_at(now), it.item.is_over(), !returns);
            (class, it.round, deadline, it.sequence)
        };
        let mut items: Vec<_> = self.items.iter().collect();
        items.sort_by_key(key);
        items.into_iter().map(|it| &it.item).collect()
    }

    /// Returns the number of requests that go before one that would be added with this
    /// priority, in or over its account's share.
    pub fn position(&self, priority: u8, is_over: bool, now: Moment) -> usize {
        let rank = |it: &Queued| (it.item.priority_at(now), it.item.is_over());
        self.items.iter().filter(|it| rank(it) <= (priority, is_over)).count()
    }

    /// Removes a request to serve it. Its account's next turn is after those of the others.
    pub fn serve(&mut self, request: RequestId) -> Option<Item> {
        let queued = self.items.iter().find(|it| it.item.request == request)?;
        self.round = self.round.max(queued.round - 1);
        self.remove(request)
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Item> {
        let index = self.items.iter().position(|it| it.item.request == request)?;
        let Queued { item, .. } = self.items.swap_remove(index);
        self.tokens -= item.tokens;
        Some(item)
    }

    /// Removes the requests that have waited as long as they may, the oldest first.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Item> {
        let mut expired: Vec<_> = self.items.extract_if(.., |it| it.item.until <= now).collect();
        expired.sort_by_key(|it| it.sequence);
        let items: Vec<_> = expired.into_iter().map(|it| it.item).collect();
        self.tokens -= items.iter().map(|item| item.tokens).sum::<u64>();
        items
    }

    /// Returns the newest request of the account that is most over its share, the least
    /// urgent if none is.
    fn most_over(&self) -> Option<RequestId> {
        let key = |a: &&Queued, b: &&Queued| {
            let by_share = a.item.excess.total_cmp(&b.item.excess);
            let rank = |it: &Queued| (it.item.priority, it.sequence);
            by_share.then(rank(a).cmp(&rank(b)))
        };
        self.items.iter().max_by(key).map(|it| it.item.request)
    }
}

/// Returns the number of requests that targets with this many `slots` may have when one more
/// is sent: as many as keep them busy, without a queue in which the latency `goal` is lost.
/// Urgent requests may queue there longer than others, and those within their account's
/// share longer than those over it, for which `overload` tells how many slots are demanded
/// for each that there is. `slot_time` is how long a request takes a slot.
///
/// # Examples
///
/// ```
/// use briarshift_routing::waiting::places;
/// use briarshift_units::Span;
/// let (goal, slot_time) = (Span::from_millis(300), Span::from_millis(75));
/// assert_eq!(places(24, goal, slot_time, true, None), 96.0);
/// assert_eq!(places(24, goal, slot_time, true, Some(1.5)), 60.0);
/// assert_eq!(places(24, goal, slot_time, false, Some(1.5)), 51.0);
/// assert_eq!(places(24, goal, slot_time, true, Some(1.0)), 96.0);
/// ```
pub fn places(
    slots: u32,
    goal: Span,
    slot_time: Span,
    is_urgent: bool,
    overload: Option<f64>,
) -> f64 {
    let queued = goal.0 as f64 * TARGET_WAIT / slot_time.0.max(1) as f64;
    let over_share =
        |overload: f64| (1.0 - OVER_SHARE_SLOPE * (overload - 1.0)).clamp(MIN_OVER_SHARE_PART, 1.0);
    let by_share = overload.map_or(1.0, over_share);
    let by_urgency = if is_urgent { 1.0 } else { LESS_URGENT_PART };
    let allowed = queued.min(MAX_PLACES_PER_SLOT - 1.0) * by_share * by_urgency;
    f64::from(slots) * (1.0 + allowed)
}

/// Returns true if a request goes to targets with this `load`, up to a `limit`. If reports of
/// loads are older than requests run, so that the load has changed since, the nearer it is
/// to twice the limit the fewer go: a fixed limit would let the VMs send all and nothing by
/// turns. `entropy` is a random number.
///
/// # Examples
///
/// ```
/// use briarshift_routing::waiting::goes;
/// assert!(goes(47, 48.0, false, 0));
/// assert!(!goes(48, 48.0, false, 0));
/// assert!(goes(48, 48.0, true, u64::MAX / 2));
/// assert!(!goes(96, 48.0, true, 0));
/// ```
pub fn goes(load: u32, limit: f64, is_old: bool, entropy: u64) -> bool {
    let load = f64::from(load);
    load < limit || is_old && draw(entropy) * limit < limit * 2.0 - load
}

/// Returns how long a request waits, if its turn is `expected` after this time, its caller
/// stops waiting after `left`, and its answer takes `answer`. `None` if it can't be met and
/// should be refused at once.
///
/// # Examples
///
/// ```
/// use briarshift_routing::waiting::patience;
/// use briarshift_units::Span;
/// let millis = Span::from_millis;
/// let patience = |expected, left| patience(millis(800), millis(expected), millis(left), millis(60));
/// assert_eq!(patience(300, 5_000), Some(millis(400)));
/// assert_eq!(patience(500, 5_000), Some(millis(100)));
/// assert_eq!(patience(500, 540), None);
/// ```
pub fn patience(goal: Span, expected: Span, left: Span, answer: Span) -> Option<Span> {
    let latest = left.0.saturating_sub(answer.0);
    if latest < expected.0 || latest == 0 {
        return None;
    }
    let longest = goal.0 / MAX_WAIT_DIVISOR;
    let wait = if expected.0 <= longest { longest } else { goal.0 / FREE_WAIT_DIVISOR };
    Some(Span(wait.min(latest)))
}

/// Returns how many of the `free` slots this VM, one of `vms`, may take until the next
/// report of loads, so that the VMs do not all take the same one. `entropy` is a random
/// number, by which a part of a slot is rounded.
///
/// # Examples
///
/// ```
/// use briarshift_routing::waiting::part_of_room;
/// assert_eq!(part_of_room(12.0, 6, 5), 2);
/// let taken: u32 = (0..66).map(|vm| part_of_room(3.0, 66, vm << 58)).sum();
/// assert!(taken < 9);
/// ```
pub fn part_of_room(free: f64, vms: usize, entropy: u64) -> u32 {
    let part = free.max(0.0) / vms.max(1) as f64;
    (part + draw(entropy)).floor() as u32
}

/// Returns a number from 0 to 1 for random bits.
fn draw(entropy: u64) -> f64 {
    (entropy >> 11) as f64 / (1u64 << 53) as f64
}

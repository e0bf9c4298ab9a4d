//! The room of each pool: what client accounts demand of it, and what this VM knows of its
//! free slots.
//!
//! Kept only where the deployment shares room among accounts.

use std::collections::BTreeMap;

use briarshift_routing::selection::Candidate;
use briarshift_routing::share::{Demand, Division, Usage};
use briarshift_routing::waiting::{Queue, part_of_room};
use briarshift_units::{Moment, PoolId, RequestId, Span};
use briarshift_wire::demand::{self, AccountHash, PoolHash};

use super::End;
use super::pending::{ActiveSend, Pending};
use super::returning::Returns;
use super::view::Step;
use crate::limit::{
    MAX_REPORTED_DEMANDS, MAX_TRACKED_ACCOUNTS, MAX_TRACKED_POOLS, MIN_HEARTBEAT_INTERVAL,
    RELAY_INTERVAL, SHARE_LEVEL_TTL, SHORT_POOL_TIME,
};
use crate::peer;

/// Weight of an answer in the averages of the time that a request takes.
const TIME_WEIGHT: f64 = 1.0 / 16.0;
/// Number of answers after which the averages are known.
const MIN_ANSWERS: u32 = 16;
/// Latency goals in the time that a request is assumed to take before any has ended.
const ASSUMED_TIME_DIVISOR: f64 = 4.0;

/// Slots of a pool, and requests at its targets from all VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Room {
    pub slots: u32,
    pub load: u32,
}

impl Room {
    /// Returns the room at the targets that may get a request.
    pub fn of(step: &Step<'_, '_>, pending: &Pending) -> Self {
        let query = step.view.query(step.ctx, pending);
        let candidates = step.view.targets.candidates(&query, &pending.pool, &[]);
        let any_healthy = candidates.iter().any(|it| it.healthy);
        let usable = candidates.iter().filter(|it| it.healthy || !any_healthy);
        let add = |room: Self, it: &Candidate<'_>| Self {
            slots: room.slots.saturating_add(it.slots),
            load: room.load.saturating_add(it.load),
        };
        usable.fold(Self::default(), add)
    }

    /// Returns true if a slot is known to be free.
    pub fn is_free(self) -> bool {
        self.load < self.slots
    }

    /// Returns true if half of the slots are known to be free.
    pub fn is_half_free(self) -> bool {
        u64::from(self.load) * 2 < u64::from(self.slots)
    }

    /// Returns by how much the load is below a limit.
    pub fn below(self, limit: f64) -> f64 {
        limit - f64::from(self.load)
    }
}

/// What a request found when it arrived at a pool that is short of room.
#[derive(Debug, Clone, Copy)]
pub(super) struct Found {
    pub room: Room,
    /// Slots that its account demands, by way of all VMs.
    pub demand: f64,
    /// Slots that no account may exceed.
    pub level: f64,
    /// Whether its account's share suffices for it.
    pub is_within: bool,
    /// It comes back as it was told.
    pub returns: bool,
    /// Requests that go before it.
    pub position: usize,
    /// Time until its turn.
    pub expected: Span,
}

impl Found {
    /// Returns true if its account is over its share.
    pub fn is_over(&self) -> bool {
        !self.is_within
    }

    /// Returns by how many slots its account is over its share.
    pub fn excess(&self) -> f64 {
        if self.is_within { 0.0 } else { (self.demand - self.level).max(f64::MIN_POSITIVE) }
    }
}

/// One account's use of a pool by way of this VM.
#[derive(Debug)]
struct Account {
    usage: Usage,
    /// When its latest refused request was told to return.
    returns_at: Moment,
}

/// One pool.
#[derive(Debug)]
pub(super) struct Pool {
    pub queue: Queue,
    /// The most urgent priority of its requests.
    most_urgent: u8,
    // Ordered, so that equal events lead to equal decisions.
    accounts: BTreeMap<AccountHash, Account>,
    /// Averages of the slot time of requests in seconds, and of their cost.
    time: f64,
    cost: f64,
    /// Number of answers that these averages are of, up to [`MIN_ANSWERS`].
    answers: u32,
    /// When a request last found no free slot.
    short_at: Option<Moment>,
    /// How the slots are shared out, and when that was computed.
    division: Option<(Moment, Division)>,
    /// Waiting requests that this VM may send until the next report of loads.
    allowance: u32,
    allowance_at: Moment,
    used_at: Moment,
}

/// All pools.
#[derive(Debug, Default)]
pub(super) struct Rooms {
    pub pools: BTreeMap<PoolId, Pool>,
    pub returns: Returns,
}

impl Rooms {
    /// Returns the state of a pool.
    pub fn pool(&mut self, id: &PoolId, now: Moment) -> &mut Pool {
        if MAX_TRACKED_POOLS <= self.pools.len() && !self.pools.contains_key(id) {
            let idle = self.pools.iter().filter(|(_, pool)| pool.queue.is_empty());
            let oldest = idle.min_by_key(|(_, pool)| pool.used_at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.pools.remove(&id));
        }
        let pool = self.pools.entry(id.clone()).or_insert_with(Pool::new);
        pool.used_at = now;
        pool
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, pool: &PoolId, request: RequestId) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.queue.remove(request);
        }
    }

    /// Learns from a send that has ended how long requests take a slot.
    pub fn learn(
        &mut self,
        step: &Step<'_, '_>,
        pending: &Pending,
        active: &ActiveSend,
        end: &End,
    ) {
        let Some(entry) = step.view.targets.get(&active.target) else { return };
        // A request that may have waited at its target does not show how long it took a slot,
        // nor does any while the pool is short: a slow answer would raise all demands, and
        // these what is refused.
        let reported = entry.reported_load(step.ctx.at);
        let at_target = reported.map_or(active.load, |load| load.running + load.waiting);
        if !matches!(end, End::Complete { ok: true }) || entry.target.slots <= at_target {
            return;
        }
        let time = step.ctx.at.since(active.at).as_secs_f64();
        let pool = self.pool(&pending.pool, step.ctx.at);
        if !pool.is_short(step.ctx.at) || pool.answers < MIN_ANSWERS {
            pool.learn(time, cost(pending));
        }
    }

    /// Returns the demands of accounts on pools that are short of room, for reports.
    pub fn demands(&self, now: Moment) -> Vec<demand::Demand> {
        let short = self.pools.iter().filter(|(_, pool)| pool.is_short(now));
        let demands = short.flat_map(|(id, pool)| {
            let of = move |(&account, slots): (&AccountHash, f64)| {
                let slots = (slots * 1e3).round() as u32;
                demand::Demand { pool: PoolHash::of(id), account, slots }
            };
            pool.own_demands(now).map(of)
        });
        peer::largest_demands(demands.collect(), MAX_REPORTED_DEMANDS)
    }
}

impl Pool {
    fn new() -> Self {
        Self {
            queue: Queue::default(),
            most_urgent: u8::MAX,
            accounts: BTreeMap::new(),
            time: 0.0,
            cost: 0.0,
            answers: 0,
            short_at: None,
            division: None,
            allowance: 0,
            allowance_at: Moment::default(),
            used_at: Moment::default(),
        }
    }

    /// Returns true if no request of the pool is more urgent than one of this priority.
    pub fn is_urgent(&self, priority: u8) -> bool {
        priority <= self.most_urgent
    }

    fn learn(&mut self, time: f64, cost: f64) {
        self.answers = MIN_ANSWERS.min(self.answers + 1);
        let weight = (1.0 / f64::from(self.answers)).max(TIME_WEIGHT);
        self.time += weight * (time - self.time);
        self.cost += weight * (cost - self.cost);
    }

    /// Records the arrival of a request.
    pub fn record(&mut self, pending: &Pending, now: Moment) {
        let account = account_hash(pending);
        let cost = cost(pending);
        self.most_urgent = self.most_urgent.min(pending.priority());
        if MAX_TRACKED_ACCOUNTS <= self.accounts.len() && !self.accounts.contains_key(&account) {
            self.accounts.retain(|_, it| !it.usage.is_over(cost, now));
            if MAX_TRACKED_ACCOUNTS <= self.accounts.len() {
                return;
            }
        }
        let entry = self.accounts.entry(account);
        let account = entry.or_insert_with(|| Account { usage: Usage::new(now), returns_at: now });
        if account.usage.is_over(cost, now) {
            account.usage = Usage::new(now);
        }
        account.usage.record(cost, pending.priority(), now);
    }

    /// Records that a request found no free slot, if so.
    pub fn note_shortage(&mut self, room: Room, now: Moment) {
        if !room.is_free() {
            self.short_at = Some(now);
        }
    }

    /// Returns true if a request recently found no free slot.
    pub fn is_short(&self, now: Moment) -> bool {
        self.short_at.is_some_and(|at| now.since(at) < SHORT_POOL_TIME)
    }

    /// Judges a request at a pool that is short of room: whether its account's share suffices for
    /// it, and when its turn is expected.
    pub fn judge(
        &mut self,
        step: &Step<'_, '_>,
        pending: &Pending,
        room: Room,
        returns: bool,
    ) -> Found {
        let now = step.ctx.at;
        let hash = PoolHash::of(&pending.pool);
        let division = self.division(step, hash, room);
        let account = account_hash(pending);
        let demand = step.view.peers.demands(now).at(hash, account) + self.own_demand(account, now);
        let level = division.level;
        let part = division.part(Demand { slots: demand, weight: 1.0 });
        let usage = self.accounts.get_mut(&account).map(|it| &mut it.usage);
        let is_within = usage.is_none_or(|usage| usage.take(pending.priority(), part, returns));
        let position = self.queue.position(pending.priority(), !is_within, now);
        let mut found =
            Found { room, demand, level, is_within, returns, position, expected: Span::ZERO };
        found.expected = self.expected(pending, &found, part, now);
        found
    }

    /// Returns the time until the turn of a request: until those before it have ended, or
    /// until its account's share suffices for one more.
    fn expected(&self, pending: &Pending, found: &Found, part: f64, now: Moment) -> Span {
        let excess = f64::from(found.room.load.saturating_sub(found.room.slots));
        let ahead = excess + found.position as f64;
        let slot_time = seconds(self.slot_time(pending));
        let by_room = ahead * slot_time / f64::from(found.room.slots.max(1));
        if found.is_within {
            return span(by_room);
        }
        let rate = self.accounts.get(&account_hash(pending)).map_or(0.0, |it| it.usage.rate(now));
        span(by_room.max(cost(pending) / (rate * part).max(1e-3)))
    }

    /// Returns how long a refused request should stay away, so that the requests of its
    /// account return one after the other, as fast as its share suffices for.
    pub fn return_time(&mut self, pending: &Pending, expected: Span, now: Moment) -> Span {
        let Some(account) = self.accounts.get_mut(&account_hash(pending)) else { return expected };
        let at = (now + expected).max(account.returns_at);
        let interval = Span(expected.0 / 2);
        account.returns_at = (now + expected).max(account.returns_at + interval).min(at + interval);
        at.since(now)
    }

    /// Returns how long a request takes a slot.
    pub fn slot_time(&self, pending: &Pending) -> Span {
        match self.cost == 0.0 {
            true => Span((pending.route.latency_goal.0 as f64 / ASSUMED_TIME_DIVISOR) as u64),
            false => span(self.time / self.cost * cost(pending)),
        }
    }

    /// Returns true if this VM may send one more request now, if the load is `free` below the
    /// limit: it takes its part of that until the next report of loads.
    pub fn take_allowance(&mut self, step: &Step<'_, '_>, free: f64) -> bool {
        let interval = match step.view.peers.uses_relays() {
            true => RELAY_INTERVAL,
            false => MIN_HEARTBEAT_INTERVAL,
        };
        let elapsed = step.ctx.at.since(self.allowance_at);
        if interval <= elapsed {
            self.allowance_at = step.ctx.at;
            let vms = step.view.peers.live_count() + 1;
            // Parts that were not taken add up, to one request.
            let intervals = (elapsed.0 / interval.0) as f64;
            let most = part_of_room(free, vms, step.ctx.entropy).max(1);
            let sum = part_of_room(free * intervals, vms, step.ctx.entropy);
            self.allowance = sum.saturating_add(self.allowance).min(most);
        }
        let left = self.allowance.checked_sub(1);
        self.allowance = left.unwrap_or(0);
        left.is_some()
    }

    /// Returns how many slots are demanded for each that there is, as last computed.
    pub fn overload(&self) -> f64 {
        self.division.map_or(1.0, |(_, division)| division.overload())
    }

    /// Returns how the slots are shared among all accounts that this VM knows of.
    fn division(&mut self, step: &Step<'_, '_>, hash: PoolHash, room: Room) -> Division {
        let now = step.ctx.at;
        if let Some((at, division)) = self.division
            && now.since(at) < SHARE_LEVEL_TTL
        {
            return division;
        }
        let peers = step.view.peers;
        let mut demands: BTreeMap<_, _> = peers.demands(now).of_pool(hash).collect();
        // What is shared out among the VMs that this one hears of: their part of the slots.
        let heard = if demands.is_empty() { 1 } else { peers.live_count() + 1 };
        let part = heard as f64 / peers.fleet_size() as f64;
        let others = demands.remove(&AccountHash::OTHERS).unwrap_or(0.0);
        let own: Vec<_> = self.own_demands(now).map(|(account, slots)| (*account, slots)).collect();
        let unlisted = own.iter().filter(|(it, _)| !demands.contains_key(it)).count();
        for (account, slots) in own {
            *demands.entry(account).or_default() += slots;
        }
        let mut demands: Vec<_> =
            demands.into_values().map(|slots| Demand { slots, weight: 1.0 }).collect();
        demands.push(Demand { slots: others, weight: unlisted.max(1) as f64 });
        let division = Division::new(&demands, f64::from(room.slots) * part);
        self.division = Some((now, division));
        division
    }

    /// Returns the slots that each account demands by way of this VM.
    fn own_demands(&self, now: Moment) -> impl Iterator<Item = (&AccountHash, f64)> {
        let time = if self.cost == 0.0 { 0.0 } else { self.time / self.cost };
        self.accounts.iter().map(move |(account, it)| (account, it.usage.rate(now) * time))
    }

    fn own_demand(&self, account: AccountHash, now: Moment) -> f64 {
        let time = if self.cost == 0.0 { 0.0 } else { self.time / self.cost };
        self.accounts.get(&account).map_or(0.0, |it| it.usage.rate(now) * time)
    }
}

fn account_hash(pending: &Pending) -> AccountHash {
    AccountHash::of(pending.account.as_ref().map(|account| &account.id))
}

/// Returns the cost of a request: the tokens of its prompt, or one for those that have none.
fn cost(pending: &Pending) -> f64 {
    tokens(pending).max(1) as f64
}

/// Returns the size of a request's prompt, in tokens.
pub(super) fn tokens(pending: &Pending) -> u64 {
    pending.arrival.parts.iter().map(|part| u64::from(part.tokens)).sum()
}

fn seconds(span: Span) -> f64 {
    span.as_secs_f64()
}

fn span(seconds: f64) -> Span {
    Span((seconds * 1e6) as u64)
}

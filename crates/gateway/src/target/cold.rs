//! Cold targets: how a VM learns of them, and its turns to send them requests.
//!
//! A target is cold after its start and whenever it says so, in its registration or in an
//! answer. The newest word counts; a registration is up to [`MAX_ROW_AGE`] old when it
//! arrives, so it does not end what an answer said just before. A target that could not be
//! reached may have restarted: it is treated as cold until it is known to be warm.
//!
//! Each VM decides by itself, with what it knows of the registered VMs (see
//! [`briarshift_routing::slow_start`]). It has no turns when it has just started, since it
//! may not know all the others yet, nor when it is cut off from the store for so long that
//! the others may have given its turns away.

use std::collections::BTreeMap;

use briarshift_catalog::{Catalog, SlowStart};
use briarshift_logging::Record;
use briarshift_routing::slow_start::{self, Turns};
use briarshift_store::registry::Target;
use briarshift_units::{Moment, PoolId, Span, TargetId, VmId};
use briarshift_wire::heartbeat::Failure;

use super::{Entry, State};
use crate::limit::{
    COLD_START_WAIT, LOSS_WINDOW, LOST_FAILURES, LOST_TARGET_TIME, LOST_TARGETS_DIVISOR,
    MAX_COLD_TIME, MAX_FEEDER_AGE, MAX_ROW_AGE, MEMBERSHIP_INTERVAL,
};
use crate::{Context, Output, peer};

/// Odd factor that spreads hashes over all bits.
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// How a VM learned that a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    /// Its registration says so.
    Row,
    /// An answer to this VM said so.
    Answer,
    /// It has started, and does not say.
    Start,
    /// It could not be reached, or no longer can, and may have restarted.
    Lost,
}

impl Word {
    fn label(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Answer => "answer",
            Self::Start => "start",
            Self::Lost => "lost",
        }
    }
}

/// A target that is cold, or may be.
#[derive(Debug, Clone)]
pub(super) struct Cold {
    until: Moment,
    by: Word,
    told_at: Moment,
    turns: Turns,
    /// The membership for which the turns were drawn.
    drawn_for: Option<u64>,
    /// This VM reaches so few targets of the pool that its own link must be at fault.
    is_ignored: bool,
}

/// The VMs that may send requests.
#[derive(Debug, Default)]
struct Membership {
    /// When each other VM was last registered. Those that no longer are may still send.
    vms: BTreeMap<VmId, Moment>,
    observed_at: Option<Moment>,
    /// Number of changes.
    changes: u64,
    has_turns: bool,
}

impl Membership {
    /// Takes over which VMs are registered. `has_turns` is true if this VM may have turns.
    fn observe(&mut self, peers: &peer::State, has_turns: bool, now: Moment) {
        if self.has_turns != has_turns {
            self.has_turns = has_turns;
            self.changes += 1;
        }
        if self.observed_at.is_some_and(|at| now.since(at) < MEMBERSHIP_INTERVAL) {
            return;
        }
        self.observed_at = Some(now);
        for vm in peers.vms() {
            match self.vms.get_mut(vm) {
                Some(at) => *at = now,
                None => {
                    self.vms.insert(vm.clone(), now);
                    self.changes += 1;
                }
            }
        }
        let known = self.vms.len();
        self.vms.retain(|_, at| now.since(*at) < MAX_FEEDER_AGE);
        self.changes += u64::from(self.vms.len() != known);
    }
}

/// What applies to the cold targets of all pools.
#[derive(Debug, Default)]
pub(super) struct Shared {
    slow_starts: BTreeMap<PoolId, SlowStart>,
    membership: Membership,
    /// When this VM first read all targets.
    known_since: Option<Moment>,
}

impl Shared {
    pub(super) fn slow_start(&self, target: &Target) -> Option<SlowStart> {
        self.slow_starts.get(&target.pool).copied()
    }

    /// Records that a snapshot has been applied.
    pub(super) fn record_snapshot(&mut self, now: Moment) {
        self.known_since.get_or_insert(now);
    }

    /// Returns how cold a target is that a row names for the first time, or with a later
    /// start; `None` if it is warm.
    fn started(&self, target: &Target, now: Moment) -> Option<Cold> {
        let slow_start = self.slow_start(target)?;
        // What was there before this VM has not just started.
        let unknown = self.known_since.map(|_| (slow_start.time, Word::Start));
        let (left, by) = target.warmup_left.map(|left| (left, Word::Row)).or(unknown)?;
        (Span::ZERO < left).then(|| Cold::new(left, by, now))
    }
}

impl Cold {
    fn new(left: Span, by: Word, now: Moment) -> Self {
        Self {
            until: now + left.min(MAX_COLD_TIME),
            by,
            told_at: now,
            turns: Turns::new(),
            drawn_for: None,
            is_ignored: false,
        }
    }

    fn is_lost(&self) -> bool {
        self.by == Word::Lost
    }

    fn log(&self, id: &TargetId, out: &mut Output) {
        let left = self.until.since(self.told_at);
        out.log(
            Record::new("target_cold")
                .with("target", id)
                .with("left", left)
                .with("by", self.by.label()),
        );
    }
}

impl Entry {
    /// Takes up how cold the target is that a row names for the first time, or with a later
    /// start.
    pub(super) fn start_cold(
        &mut self,
        id: &TargetId,
        shared: &Shared,
        now: Moment,
        out: &mut Output,
    ) {
        self.cold = shared.started(&self.target, now);
        if let Some(cold) = &self.cold {
            cold.log(id, out);
        }
    }

    /// Returns true if the target could not be reached and may have restarted.
    pub(super) fn is_lost(&self) -> bool {
        self.cold.as_ref().is_some_and(Cold::is_lost)
    }

    /// Returns when its coldness permits a request of this VM, at the earliest now.
    pub(super) fn warm_or_turn_at(&self, now: Moment) -> Moment {
        let Some(cold) = self.cold.as_ref().filter(|cold| !cold.is_ignored) else { return now };
        let turn_at = cold.turns.permitted_at().unwrap_or(cold.until);
        turn_at.min(cold.until).max(now)
    }

    /// Counts a request that this VM sends to the target.
    pub(super) fn record_cold_send(&mut self, now: Moment) {
        if let Some(cold) = &mut self.cold {
            cold.turns.record_send(now);
        }
    }

    /// Takes up how long the target remains cold from `now` on.
    fn set_cold(&mut self, id: &TargetId, left: Span, by: Word, now: Moment, out: &mut Output) {
        if left == Span::ZERO {
            return self.set_warm(id, by.label(), out);
        }
        let told = Cold::new(left, by, now);
        match &mut self.cold {
            Some(cold) => {
                let is_news = cold.by != by;
                let until = if by == Word::Lost { cold.until.max(told.until) } else { told.until };
                (cold.until, cold.by, cold.told_at) = (until, by, now);
                cold.is_ignored &= cold.is_lost();
                if is_news {
                    cold.log(id, out);
                }
            }
            None => {
                told.log(id, out);
                self.cold = Some(told);
            }
        }
    }

    /// Takes up that a target that could not be reached has answered. If it has restarted,
    /// it was not earlier than when it was lost.
    pub(super) fn record_found(&mut self, slow_start: Option<SlowStart>, now: Moment) {
        let lost = self.cold.as_mut().filter(|cold| cold.is_lost());
        if let (Some(cold), Some(slow_start)) = (lost, slow_start) {
            cold.until = cold.until.min(now + slow_start.time);
        }
    }

    fn set_warm(&mut self, id: &TargetId, by: &str, out: &mut Output) {
        if self.cold.take().is_some() {
            out.log(Record::new("target_warm").with("target", id).with("by", by));
        }
    }

    /// Takes up what a row of the same start says, which was written up to
    /// [`MAX_ROW_AGE`] ago.
    pub(super) fn learn_row(
        &mut self,
        id: &TargetId,
        shared: &Shared,
        now: Moment,
        out: &mut Output,
    ) {
        let (Some(_), Some(left)) = (shared.slow_start(&self.target), self.target.warmup_left)
        else {
            return;
        };
        let is_newer =
            |cold: &&Cold| cold.by == Word::Answer && now.since(cold.told_at) < MAX_ROW_AGE;
        if self.cold.as_ref().filter(is_newer).is_some_and(|cold| now + left <= cold.until) {
            return;
        }
        self.set_cold(id, left, Word::Row, now, out);
    }
}

impl State {
    /// Takes up which pools have a slow start.
    pub fn set_slow_starts(&mut self, catalog: &Catalog) {
        let pools = catalog.pools().filter_map(|pool| Some((pool.id.clone(), pool.slow_start?)));
        self.cold.slow_starts = pools.collect();
    }

    /// Records how long a target says in an answer to this VM that it remains cold.
    pub(super) fn record_coldness(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        left: Option<Span>,
        out: &mut Output,
    ) {
        let (Some(left), Some(entry)) = (left, self.entries.get_mut(id)) else { return };
        if self.cold.slow_start(&entry.target).is_some() {
            entry.set_cold(id, left, Word::Answer, ctx.at, out);
        }
    }

    /// Records that a target did not answer in time (`is_silent`) or could not be reached.
    /// One that is only slow answers other requests.
    pub fn record_failure(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        is_silent: bool,
        out: &mut Output,
    ) {
        let failures = self.entries.get(id).map_or(0, |entry| entry.health.failures());
        if !is_silent || LOST_FAILURES <= failures {
            self.record_lost(ctx, id, out);
        }
    }

    /// Records that a target could not be reached. It may have restarted when it answers
    /// again.
    pub fn record_lost(&mut self, ctx: &Context<'_>, id: &TargetId, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let Some(slow_start) = self.cold.slow_start(&entry.target) else { return };
        let left = LOST_TARGET_TIME.max(slow_start.time);
        entry.set_cold(id, left, Word::Lost, ctx.at, out);
    }

    /// Takes up which targets a peer could not reach. A second peer that says so rules out
    /// the first one's own link.
    pub fn record_peer_losses(
        &mut self,
        ctx: &Context<'_>,
        from: &VmId,
        failures: &[Failure],
        out: &mut Output,
    ) {
        if self.cold.slow_starts.is_empty() {
            return;
        }
        for failure in failures.iter().filter(|failure| failure.down) {
            let Some(id) = self.ids_by_hash.get(&failure.target).cloned() else { continue };
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let earlier = entry.lost_by.replace((from.clone(), ctx.at));
            let is_confirmed =
                earlier.is_some_and(|(vm, at)| vm != *from && ctx.at.since(at) < LOSS_WINDOW);
            if is_confirmed && entry.health.is_paused(ctx.at) {
                self.record_lost(ctx, &id, out);
            }
        }
    }

    /// Ends or begins this VM's turns at cold targets. `read_at` is when this VM last
    /// knew the operators' newest rows.
    pub fn tick_cold(
        &mut self,
        ctx: &Context<'_>,
        peers: &peer::State,
        read_at: Option<Moment>,
        out: &mut Output,
    ) {
        if self.cold.slow_starts.is_empty() {
            return;
        }
        let is_settled =
            self.cold.known_since.is_some_and(|at| COLD_START_WAIT <= ctx.at.since(at));
        let is_in_touch = read_at.is_some_and(|at| ctx.at.since(at) < MAX_FEEDER_AGE);
        self.cold.membership.observe(peers, is_settled && is_in_touch, ctx.at);
        self.ignore_lost();
        let shared = &self.cold;
        for (id, entry) in &mut self.entries {
            let Some(cold) = &mut entry.cold else { continue };
            let slow_start = shared.slow_start(&entry.target);
            let Some(slow_start) = slow_start.filter(|_| ctx.at < cold.until) else {
                entry.set_warm(id, "time", out);
                continue;
            };
            // The turns at several targets do not come together.
            let entropy = ctx.entropy ^ u64::from(entry.hash.0).wrapping_mul(SPREAD_FACTOR);
            let ctx = &Context { entropy, ..*ctx };
            draw_turns(ctx, id, cold, slow_start, &shared.membership, out);
        }
    }

    /// Takes no notice of lost targets of a pool if they are so many that this VM's own
    /// link must be at fault.
    fn ignore_lost(&mut self) {
        let mut counts: BTreeMap<PoolId, (usize, usize)> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.is_lost()) {
            counts.entry(entry.target.pool.clone()).or_default().0 += 1;
        }
        if counts.is_empty() {
            return;
        }
        for entry in self.entries.values() {
            if let Some((_, all)) = counts.get_mut(&entry.target.pool) {
                *all += 1;
            }
        }
        for entry in self.entries.values_mut().filter(|entry| entry.is_lost()) {
            let (lost, all) = counts.get(&entry.target.pool).copied().unwrap_or_default();
            if let Some(cold) = &mut entry.cold {
                cold.is_ignored = all < lost * LOST_TARGETS_DIVISOR;
            }
        }
    }
}

/// Draws this VM's turns at a cold target anew if the membership has changed.
fn draw_turns(
    ctx: &Context<'_>,
    id: &TargetId,
    cold: &mut Cold,
    slow_start: SlowStart,
    membership: &Membership,
    out: &mut Output,
) {
    if cold.drawn_for == Some(membership.changes) {
        return;
    }
    cold.drawn_for = Some(membership.changes);
    let others = membership.vms.keys().map(VmId::as_str);
    let interval = slow_start::interval(id.as_str(), ctx.me.vm.as_str(), others, slow_start.rate);
    let interval = interval.filter(|_| membership.has_turns);
    if interval.is_some() != cold.turns.interval().is_some() {
        let line = Record::new("target_turns").with("target", id);
        out.log(match interval {
            Some(interval) => line.with("every", interval),
            None => line.with("every", "none"),
        });
    }
    cold.turns.set_interval(interval, ctx.at, ctx.entropy);
}

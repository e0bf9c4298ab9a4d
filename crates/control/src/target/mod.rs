//! The state of all targets, as this VM knows it.
//!
//! The platform's list proposes targets, and polls decide whether they are up.
//! Each target is polled by one VM, chosen by rendezvous hashing among the live
//! VMs of the target's data centre, or among all live VMs if there are none.
//! Gossip spreads its reports together with their age. A VM that has received no
//! report of a target for a while polls the target itself. Two VMs with different
//! member lists may both poll a target for a short time, which costs extra calls
//! but violates no guarantee.
//!
//! A target that is leaving keeps this state for its start number, whether the
//! target itself, the list or a peer said so. If a request can't reach a target,
//! this VM polls the target at once and doesn't use it until the poll is
//! answered.

mod entry;
mod gossip;

pub use entry::Target;

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::rank;
use briarshift_store::{ListedVm, Role};
use briarshift_target::{Failure, LoadReport};
use briarshift_units::{ChatKey, Moment, PoolId, Span, TargetId, VmId};
use briarshift_wire::gossip::Load;

use self::entry::MAX_FAILURES;
use crate::{Context, Effect, Output, Record, Signal, member};

/// Time between two reads of the platform's list by one VM. It grows with the
/// fleet, see [`VMS_PER_LIST_INTERVAL`], because the platform answers a limited
/// number of reads.
const LIST_INTERVAL: Span = Span::from_secs(1);
/// Number of VMs that may read the list within one [`LIST_INTERVAL`].
const VMS_PER_LIST_INTERVAL: usize = 12;
/// Time between two polls of a target by the VM that polls it.
const POLL_INTERVAL: Span = Span::from_millis(500);
/// Time until the next poll after a first failure.
const RETRY_POLL_INTERVAL: Span = Span::from_millis(200);
/// Time between two polls of a target that is down or silent.
const DOWN_POLL_INTERVAL: Span = Span::from_secs(1);
/// Time after which a poll without an answer is repeated.
const POLL_TIMEOUT: Span = Span::from_secs(3);
/// Time without a report of a target after which any VM polls it.
const SILENCE: Span = Span::from_secs(2);
/// Added to [`SILENCE`] for each target, because reports of many targets take
/// longer to spread.
const SILENCE_PER_TARGET: Span = Span::from_millis(20);
/// How long a target that is neither listed nor answering is kept.
const RETENTION: Span = Span::from_secs(30);
/// A longer time between two events means that this VM was paused.
const MAX_EVENT_GAP: Span = Span::from_secs(1);
/// How long after a pause of this VM loads in gossip are ignored as outdated.
const STALE_GOSSIP_TIME: Span = Span::from_millis(500);

/// All known targets.
#[derive(Debug, Default)]
pub struct State {
    targets: BTreeMap<TargetId, Target>,
    listed_at: Option<Moment>,
    /// Version of the member list by which the pollers were assigned, or `None`
    /// if they must be assigned anew.
    members_epoch: Option<u64>,
    last_event_at: Option<Moment>,
    /// Time until which loads in gossip are ignored as outdated.
    caught_up_at: Moment,
    /// The last target whose load was sent in turn.
    repeat_cursor: Option<TargetId>,
}

impl State {
    /// Returns the target with an id.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the targets of a pool that take new work, ordered by id.
    pub fn candidates<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(move |target| &target.pool == pool && target.takes_work())
    }

    /// Runs periodic work: reads the platform's list and polls targets when they
    /// are due.
    pub fn tick(&mut self, ctx: &Context<'_>, members: &member::State, out: &mut Output) {
        self.detect_pause(ctx);
        self.read_list(ctx, members, out);
        if self.members_epoch != Some(members.epoch()) {
            self.members_epoch = Some(members.epoch());
            self.assign_pollers(ctx, members);
        }
        let silence = Span(SILENCE.0 + SILENCE_PER_TARGET.0 * self.targets.len() as u64);
        for target in self.targets.values_mut() {
            if target.end_suppression(ctx.at) {
                log(target, "released", out);
            }
            if is_due(target, ctx.at, silence) {
                poll(target, ctx.at, out);
            }
        }
    }

    /// Handles the platform's list of VMs. It proposes targets, and polls decide
    /// whether they are up.
    pub fn handle_list(&mut self, ctx: &Context<'_>, rows: &[ListedVm], out: &mut Output) {
        let mut seen = BTreeSet::new();
        for row in rows {
            let Role::Target { pool } = &row.role else { continue };
            let Ok(id) = row.vm.as_str().parse::<TargetId>() else { continue };
            if !self.targets.contains_key(&id) {
                self.members_epoch = None;
            }
            let target = self
                .targets
                .entry(id.clone())
                .or_insert_with(|| Target::new(id.clone(), pool.clone(), row, ctx.at));
            update(target, ctx, "listed", out, |target| target.handle_listing(row, ctx.at));
            seen.insert(id);
        }
        self.targets.retain(|id, target| {
            if seen.contains(id) {
                return true;
            }
            let missing = ctx.at.since(*target.unlisted_since.get_or_insert(ctx.at));
            let silent = ctx.at.since(target.reported_at);
            let kept = missing < RETENTION || (!target.down && silent < RETENTION);
            if !kept {
                out.log(Record::new("target_forgotten").with("target", id));
            }
            kept
        });
    }

    /// Handles the result of a poll.
    pub fn handle_report(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        result: Result<LoadReport, Failure>,
        out: &mut Output,
    ) {
        let silence = SILENCE;
        let Some(target) = self.targets.get_mut(id) else { return };
        match result {
            Ok(report) => update(target, ctx, "reported", out, |target| {
                target.handle_report(report, ctx.at);
            }),
            Err(_) => update(target, ctx, "no_answer", out, |target| {
                let is_silent = silence <= ctx.at.since(target.reported_at);
                target.handle_poll_failure(ctx.at, target.polled_here || is_silent);
            }),
        }
    }

    /// Handles loads that a peer sent in gossip.
    pub fn handle_gossip(&mut self, ctx: &Context<'_>, loads: &[Load], out: &mut Output) {
        self.detect_pause(ctx);
        let is_stale = ctx.at < self.caught_up_at;
        for load in loads {
            let Some(target) = self.targets.get_mut(&load.target) else { continue };
            let is_status_change =
                load.leaving != target.leaving_source || target.start() < load.start;
            if !is_stale || is_status_change {
                update(target, ctx, "told", out, |target| target.handle_peer_report(load, ctx.at));
            }
        }
    }

    /// Suspects a target that a request could not reach or that closed a
    /// connection early. It takes no work until a poll, which is sent at once, is
    /// answered.
    pub fn suspect(&mut self, ctx: &Context<'_>, id: &TargetId, out: &mut Output) {
        let Some(target) = self.targets.get_mut(id).filter(|target| !target.suspected) else {
            return;
        };
        update(target, ctx, "suspected", out, |target| target.suspected = true);
        poll(target, ctx.at, out);
    }

    /// Detects a pause of this VM. Gossip that arrived meanwhile is outdated.
    fn detect_pause(&mut self, ctx: &Context<'_>) {
        let paused = self.last_event_at.is_some_and(|at| MAX_EVENT_GAP <= ctx.at.since(at));
        self.last_event_at = Some(ctx.at);
        if paused {
            self.caught_up_at = ctx.at + STALE_GOSSIP_TIME;
        }
    }

    /// Reads the platform's list of VMs if that is due.
    fn read_list(&mut self, ctx: &Context<'_>, members: &member::State, out: &mut Output) {
        if self.listed_at.is_some_and(|at| ctx.at.since(at) < LIST_INTERVAL) {
            return;
        }
        let intervals = (members.live().count() + 1).div_ceil(VMS_PER_LIST_INTERVAL) as u64;
        let interval = Span(LIST_INTERVAL.0 * intervals);
        if self.listed_at.is_none_or(|at| interval <= ctx.at.since(at)) {
            self.listed_at = Some(ctx.at);
            out.push(Effect::ReadVmList);
        }
    }

    /// Decides which targets this VM polls.
    fn assign_pollers(&mut self, ctx: &Context<'_>, members: &member::State) {
        let mut live: Vec<_> = members.live().map(|peer| (&peer.vm, &peer.data_centre)).collect();
        if !members.is_leaving() || live.is_empty() {
            live.push((&ctx.me.vm, &ctx.me.data_centre));
        }
        for target in self.targets.values_mut() {
            let local = live.iter().filter(|(_, data_centre)| *data_centre == &target.data_centre);
            let poller = poller(&target.id, local.map(|(vm, _)| *vm));
            let poller =
                poller.or_else(|| self::poller(&target.id, live.iter().map(|(vm, _)| *vm)));
            target.polled_here = poller == Some(&ctx.me.vm);
        }
    }
}

/// Returns the VM among `vms` that polls a target.
fn poller<'a>(target: &TargetId, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let hash = rank::score(ChatKey(0), target.as_str());
    vms.max_by_key(|vm| (rank::score(ChatKey(hash), vm.as_str()), *vm))
}

/// Returns true if a target should be polled now.
fn is_due(target: &Target, at: Moment, silence: Span) -> bool {
    let is_silent = silence <= at.since(target.reported_at);
    let Some(polled_at) = target.polled_at else { return target.polled_here || is_silent };
    let waited = at.since(polled_at);
    if target.poll_pending {
        return POLL_TIMEOUT <= waited;
    }
    match target.failures {
        0 if target.polled_here => POLL_INTERVAL <= waited,
        0 => is_silent && DOWN_POLL_INTERVAL <= waited,
        1..MAX_FAILURES => RETRY_POLL_INTERVAL <= waited,
        _ => DOWN_POLL_INTERVAL <= waited,
    }
}

fn poll(target: &mut Target, at: Moment, out: &mut Output) {
    target.polled_at = Some(at);
    target.poll_pending = true;
    out.push(Effect::Poll { target: target.id.clone(), address: target.address });
}

/// Updates a target. Writes a log line if that changes whether it takes work,
/// and schedules gossip if its advertised state changes.
fn update(
    target: &mut Target,
    ctx: &Context<'_>,
    why: &'static str,
    out: &mut Output,
    apply: impl FnOnce(&mut Target),
) {
    let (advertised, took_work) = (target.advertised(), target.takes_work());
    apply(target);
    if advertised != target.advertised() && target.report.is_some() {
        target.sends_left = gossip::SENDS_PER_CHANGE;
        target.changed_at = ctx.at;
        out.signal(Signal::GossipSoon);
    }
    if took_work != target.takes_work() {
        log(target, why, out);
    }
}

fn log(target: &Target, why: &'static str, out: &mut Output) {
    let line = Record::new("target").with("target", &target.id).with("pool", &target.pool);
    let line = line.with("takes_work", target.takes_work()).with("start", target.start());
    out.log(line.with("why", target.unavailable_reason().unwrap_or(why)));
}

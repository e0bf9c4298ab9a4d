//! Targets as this VM believes them to be.
//!
//! The platform's list proposes targets, polls decide. One VM polls each
//! target: the first by rendezvous among the live VMs of the target's data
//! centre, or among all if none lives there. Its reports are spread by gossip
//! with their age; a VM that hears nothing of a target for a while polls it
//! itself. Two VMs whose lists of members disagree poll the same target twice
//! for a moment, which costs a call and no promise.
//!
//! Leaving is sticky for a start number, whoever says so: the target, the list
//! or a peer. A request that could not reach a target takes the target out of
//! use here until a poll, sent at once, has answered.

mod entry;
mod share;

pub use entry::Target;

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::rank;
use briarshift_store::{ListedVm, Role};
use briarshift_target::{Failure, LoadReport};
use briarshift_units::{ChatKey, Moment, PoolId, Span, TargetId, VmId};
use briarshift_wire::gossip::Load;

use self::entry::MAX_FAILURES;
use crate::{Context, Effect, Output, Record, Signal, member};

/// Time between two reads of the platform's list, for each [`LIST_VMS`] of the
/// fleet: the platform answers a limited number of reads.
const LIST_INTERVAL: Span = Span::from_secs(1);
/// VMs that may read the list once an interval.
const LIST_VMS: usize = 12;
/// Time between two polls of a target by its poller.
const POLL_INTERVAL: Span = Span::from_millis(500);
/// Time to the next poll after a first failure.
const RETRY_INTERVAL: Span = Span::from_millis(200);
/// Time between two polls of a target that is down, or not heard of.
const DOWN_INTERVAL: Span = Span::from_secs(1);
/// A poll not answered after this time is taken for lost.
const POLL_LOST: Span = Span::from_secs(3);
/// Time without word of a target after which any VM polls it.
const SILENCE: Span = Span::from_secs(2);
/// Added to [`SILENCE`] for each target: word of many takes longer to pass.
const SILENCE_EACH: Span = Span::from_millis(20);
/// How long a target that is neither listed nor answering is remembered.
const FORGET: Span = Span::from_secs(30);
/// Time without an event after which this VM takes itself for paused.
const PAUSE: Span = Span::from_secs(1);
/// How long after a pause peers' loads are too old to be believed.
const CATCH_UP: Span = Span::from_millis(500);

/// All known targets.
#[derive(Debug, Default)]
pub struct State {
    targets: BTreeMap<TargetId, Target>,
    listed_at: Option<Moment>,
    epoch: Option<u64>,
    seen_at: Option<Moment>,
    caught_up_at: Moment,
    cursor: Option<TargetId>,
}

impl State {
    /// One target.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Targets of a pool that take new work, in the order of their ids.
    pub fn candidates<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(move |target| &target.pool == pool && target.takes_work())
    }

    /// Reads the list and the loads when they are due.
    pub fn tick(&mut self, ctx: &Context<'_>, members: &member::State, out: &mut Output) {
        self.wake(ctx);
        self.read_list(ctx, members, out);
        if self.epoch != Some(members.epoch()) {
            self.epoch = Some(members.epoch());
            self.assign(ctx, members);
        }
        let silence = Span(SILENCE.0 + SILENCE_EACH.0 * self.targets.len() as u64);
        for target in self.targets.values_mut() {
            if target.release(ctx.at) {
                log(target, "released", out);
            }
            if is_due(target, ctx.at, silence) {
                poll(target, ctx.at, out);
            }
        }
    }

    /// Takes the platform's list: it proposes targets, polls decide.
    pub fn handle_list(&mut self, ctx: &Context<'_>, rows: &[ListedVm], out: &mut Output) {
        let mut seen = BTreeSet::new();
        for row in rows {
            let Role::Target { pool } = &row.role else { continue };
            let Ok(id) = row.vm.as_str().parse::<TargetId>() else { continue };
            if !self.targets.contains_key(&id) {
                self.epoch = None;
            }
            let target = self
                .targets
                .entry(id.clone())
                .or_insert_with(|| Target::new(id.clone(), pool.clone(), row, ctx.at));
            change(target, ctx, "listed", out, |target| target.listed(row, ctx.at));
            seen.insert(id);
        }
        self.targets.retain(|id, target| {
            if seen.contains(id) {
                return true;
            }
            let missing = ctx.at.since(*target.missing_since.get_or_insert(ctx.at));
            let silent = ctx.at.since(target.reported_at);
            let kept = missing < FORGET || (!target.down && silent < FORGET);
            if !kept {
                out.log(Record::new("target_forgotten").with("target", id));
            }
            kept
        });
    }

    /// Takes a target's report, or its failure to report.
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
            Ok(report) => change(target, ctx, "reported", out, |target| {
                target.answered(report, ctx.at);
            }),
            Err(_) => change(target, ctx, "no_answer", out, |target| {
                let unheard = silence <= ctx.at.since(target.reported_at);
                target.failed(ctx.at, target.duty || unheard);
            }),
        }
    }

    /// Takes peers' reports.
    pub fn handle_gossip(&mut self, ctx: &Context<'_>, loads: &[Load], out: &mut Output) {
        self.wake(ctx);
        let stale = ctx.at < self.caught_up_at;
        for load in loads {
            let Some(target) = self.targets.get_mut(&load.target) else { continue };
            let word = load.leaving != target.leaving_by || target.start() < load.start;
            if !stale || word {
                change(target, ctx, "told", out, |target| target.told(load, ctx.at));
            }
        }
    }

    /// A request found the target unreachable or dead: it takes no work until
    /// a poll, sent at once, has answered.
    pub fn suspect(&mut self, ctx: &Context<'_>, id: &TargetId, out: &mut Output) {
        let Some(target) = self.targets.get_mut(id).filter(|target| !target.suspected) else {
            return;
        };
        change(target, ctx, "suspected", out, |target| target.suspected = true);
        poll(target, ctx.at, out);
    }

    /// Notices a pause of this VM: gossip that waited for it is old.
    fn wake(&mut self, ctx: &Context<'_>) {
        let paused = self.seen_at.is_some_and(|at| PAUSE <= ctx.at.since(at));
        self.seen_at = Some(ctx.at);
        if paused {
            self.caught_up_at = ctx.at + CATCH_UP;
        }
    }

    fn read_list(&mut self, ctx: &Context<'_>, members: &member::State, out: &mut Output) {
        if self.listed_at.is_some_and(|at| ctx.at.since(at) < LIST_INTERVAL) {
            return;
        }
        let shares = (members.live().count() + 1).div_ceil(LIST_VMS) as u64;
        let interval = Span(LIST_INTERVAL.0 * shares);
        if self.listed_at.is_none_or(|at| interval <= ctx.at.since(at)) {
            self.listed_at = Some(ctx.at);
            out.push(Effect::ReadVmList);
        }
    }

    fn assign(&mut self, ctx: &Context<'_>, members: &member::State) {
        let mut live: Vec<_> = members.live().map(|peer| (&peer.vm, &peer.data_centre)).collect();
        if !members.is_leaving() || live.is_empty() {
            live.push((&ctx.me.vm, &ctx.me.data_centre));
        }
        for target in self.targets.values_mut() {
            let near = live.iter().filter(|(_, place)| *place == &target.data_centre);
            let first = first(&target.id, near.map(|(vm, _)| *vm));
            let first = first.or_else(|| self::first(&target.id, live.iter().map(|(vm, _)| *vm)));
            target.duty = first == Some(&ctx.me.vm);
        }
    }
}

/// The VM among `vms` that polls a target.
fn first<'a>(target: &TargetId, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let hash = rank::score(ChatKey(0), target.as_str());
    vms.max_by_key(|vm| (rank::score(ChatKey(hash), vm.as_str()), *vm))
}

fn is_due(target: &Target, at: Moment, silence: Span) -> bool {
    let unheard = silence <= at.since(target.reported_at);
    let Some(polled_at) = target.polled_at else { return target.duty || unheard };
    let waited = at.since(polled_at);
    if target.awaited {
        return POLL_LOST <= waited;
    }
    match target.failures {
        0 if target.duty => POLL_INTERVAL <= waited,
        0 => unheard && DOWN_INTERVAL <= waited,
        1..MAX_FAILURES => RETRY_INTERVAL <= waited,
        _ => DOWN_INTERVAL <= waited,
    }
}

fn poll(target: &mut Target, at: Moment, out: &mut Output) {
    target.polled_at = Some(at);
    target.awaited = true;
    out.push(Effect::Poll { target: target.id.clone(), address: target.address });
}

/// Changes a target, and tells the log and the peers if it matters to them.
fn change(
    target: &mut Target,
    ctx: &Context<'_>,
    why: &'static str,
    out: &mut Output,
    apply: impl FnOnce(&mut Target),
) {
    let (face, took_work) = (target.face(), target.takes_work());
    apply(target);
    if face != target.face() && target.report.is_some() {
        target.news = share::TRANSMISSIONS;
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
    out.log(line.with("why", target.why_not().unwrap_or(why)));
}

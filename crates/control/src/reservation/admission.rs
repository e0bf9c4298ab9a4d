//! Admission for one slice: exact counts of its reservations.
//!
//! A slice's admitting VM counts each reservation from its grant to its
//! release. A VM that takes over a slice first asks all VMs for the
//! reservations they hold, and grants none until they have answered or a time
//! limit has passed. Reservations that no VM announced are then estimated from
//! the targets' reports.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::admission::{Bound, Candidate, Choice, Request, Skipped, Snapshot};
use briarshift_routing::queue::{Position, Queue};
use briarshift_settings::{Kind, Pool};
use briarshift_units::{Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Denial, Requirements, Reservation};

use super::chat_targets::{self, ChatTargets};
use super::in_transit::InTransit;
use super::unaccounted::{self, Unaccounted};
use super::{Key, Partitioning, View};
use crate::{Output, Record};

/// Shortest time that a takeover gives an unresponsive VM to say that it admits.
const PROBE_WAIT: Span = Span::from_millis(50);
/// Longest time that a takeover waits for other VMs to send their reservations.
const TAKEOVER_WAIT: Span = Span::from_millis(300);
/// How long a request waits in a pool without any target, because a target that
/// has just started may not be known here yet.
const FIRST_TARGET_WAIT: Span = Span::from_millis(500);
/// How long a reservation is kept that its holder doesn't list. Its grant may
/// not have arrived there yet.
const GRANT_DELIVERY_WAIT: Span = Span::from_secs(1);

/// The phase of this VM's admission for a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// This VM does not admit.
    Idle,
    /// This VM is taking over and collects the reservations of other VMs.
    TakingOver {
        /// When the takeover started.
        since: Moment,
        /// The VMs that have sent their reservations.
        answered: BTreeSet<VmId>,
    },
    /// This VM admits.
    Admitting,
}

/// A request that waits for a reservation.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The VM that asks.
    pub vm: VmId,
    /// The reservation that it asks for.
    pub requirements: Requirements,
    /// Whether that VM considers the target that holds the chat's context to
    /// take work.
    pub context_target_available: bool,
    /// When the request started to wait.
    pub since: Moment,
}

/// The answer to a request for a reservation.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The VM that asked.
    pub vm: VmId,
    /// The request.
    pub request: RequestId,
    /// The target of the reservation, or why there is none.
    pub result: Result<TargetId, Denial>,
}

/// A granted reservation, as the admitting VM records it.
#[derive(Debug)]
struct Grant {
    vm: VmId,
    target: TargetId,
    overnight: bool,
    at: Moment,
    /// The chat, or `None` if this VM learned of the reservation from its
    /// holder's announcement.
    chat: Option<chat_targets::Key>,
}

/// Number of reservations on a target.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    load: u32,
    overnight: u32,
}

/// The reservations and the queue of one slice, as its admitting VM knows them.
#[derive(Debug)]
pub struct State {
    phase: Phase,
    grants: BTreeMap<RequestId, Grant>,
    counts: BTreeMap<TargetId, Count>,
    chat_targets: ChatTargets,
    /// Number of reservations that each VM holds.
    by_vm: BTreeMap<VmId, u32>,
    unaccounted: Unaccounted,
    queue: Queue<Waiting>,
    in_transit: InTransit,
}

impl Default for State {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            grants: BTreeMap::new(),
            counts: BTreeMap::new(),
            chat_targets: ChatTargets::default(),
            by_vm: BTreeMap::new(),
            unaccounted: Unaccounted::default(),
            queue: Queue::default(),
            in_transit: InTransit::default(),
        }
    }
}

impl State {
    /// Returns the phase of this VM's admission for the slice.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns true if requests wait here although this VM does not admit yet.
    pub fn awaits_takeover(&self) -> bool {
        self.phase == Phase::Idle && !self.queue.is_empty()
    }

    /// Starts to take over the slice.
    pub fn start_takeover(&mut self, at: Moment) {
        self.phase = Phase::TakingOver { since: at, answered: BTreeSet::new() };
    }

    /// Stops admitting and returns the requests that were waiting.
    pub fn step_down(&mut self) -> Vec<Waiting> {
        let mut old = std::mem::take(self);
        let positions = old.queue.positions();
        positions.into_iter().filter_map(|position| old.queue.remove(position)).collect()
    }

    /// Returns the target that a request already has a reservation on.
    pub fn granted_target(&self, request: RequestId) -> Option<&TargetId> {
        self.grants.get(&request).map(|grant| &grant.target)
    }

    /// Returns true if a request waits in the queue.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.queue.iter().any(|(_, waiting)| waiting.requirements.request == request)
    }

    /// Adds a request to the queue. If the queue is full, returns the denial of
    /// the request that was dropped for it.
    pub fn enqueue(&mut self, waiting: Waiting, limit: u32) -> Option<Answer> {
        let account = waiting.requirements.account.clone();
        let overnight = waiting.requirements.overnight;
        let shed = self.queue.push(&account, overnight, waiting, limit.max(1) as usize)?;
        let request = shed.requirements.request;
        Some(Answer { vm: shed.vm, request, result: Err(Denial::Full) })
    }

    /// Removes the reservation of a request that has ended, or its entry in the
    /// queue.
    pub fn release(&mut self, at: Moment, request: RequestId) {
        if let Some(grant) = self.grants.remove(&request) {
            self.remove(&grant);
            self.in_transit.record_release(at);
            return;
        }
        let position =
            self.queue.iter().find(|(_, waiting)| waiting.requirements.request == request);
        if let Some((position, _)) = position {
            self.queue.remove(position);
        }
    }

    /// Records all reservations that a VM holds. Removes those that it doesn't
    /// list, unless their grant is so recent that it may not have arrived.
    pub fn record_held(&mut self, at: Moment, vm: &VmId, held: Vec<Reservation>) {
        if let Phase::TakingOver { answered, .. } = &mut self.phase {
            answered.insert(vm.clone());
        }
        let known: BTreeSet<_> = held.iter().map(|held| held.request).collect();
        let lost = self.grants.iter().filter(|(request, grant)| {
            &grant.vm == vm && !known.contains(request) && GRANT_DELIVERY_WAIT <= at.since(grant.at)
        });
        let lost: Vec<_> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.release(at, request);
        }
        for Reservation { request, target, overnight } in held {
            if !self.grants.contains_key(&request) {
                let chat = None;
                self.add(request, Grant { vm: vm.clone(), target, overnight, at, chat });
            }
        }
    }

    /// Removes the reservations of lost VMs, whose requests have been aborted.
    pub fn drop_lost_vms(&mut self, at: Moment, may_hold: impl Fn(&VmId) -> bool) {
        self.by_vm.retain(|_, count| 0 < *count);
        if self.by_vm.keys().all(&may_hold) {
            return;
        }
        let lost = self.grants.iter().filter(|(_, grant)| !may_hold(&grant.vm));
        let lost: Vec<_> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.release(at, request);
        }
    }

    /// Ends a takeover once all `awaited` VMs have answered or the time limit
    /// has passed. Returns true if this VM admits from now on. With `probing`,
    /// an unresponsive VM is given time to answer as well.
    pub fn finish_takeover(
        &mut self,
        at: Moment,
        view: View<'_>,
        partitioning: &Partitioning,
        key: &Key,
        awaited: &[&VmId],
        probing: bool,
    ) -> bool {
        let Phase::TakingOver { since, answered } = &self.phase else { return false };
        let all = awaited.iter().all(|vm| answered.contains(vm));
        let wait = match (all, probing) {
            (true, false) => Span::ZERO,
            (true, true) => PROBE_WAIT,
            (false, _) => TAKEOVER_WAIT,
        };
        if at.since(*since) < wait {
            return false;
        }
        self.phase = Phase::Admitting;
        if !all {
            self.estimate(view, partitioning, key, unaccounted::FULL_WEIGHT);
        }
        true
    }

    /// Compares the counts with new reports. Requests that a target reports and
    /// that no VM announced belong to VMs that can't be reached.
    pub fn reconcile_reports(&mut self, view: View<'_>, partitioning: &Partitioning, key: &Key) {
        self.estimate(view, partitioning, key, unaccounted::NEW_REPORT_WEIGHT);
    }

    /// Grants reservations to waiting requests where possible, and denies
    /// requests that have waited too long.
    pub fn serve(
        &mut self,
        at: Moment,
        view: View<'_>,
        partitioning: &Partitioning,
        key: &Key,
        is_silent: impl Fn(&VmId) -> bool,
        out: &mut Output,
    ) -> Vec<Answer> {
        let mut answers = Vec::new();
        if self.phase != Phase::Admitting || self.queue.is_empty() {
            return answers;
        }
        let Some(pool) = view.document.pools.iter().find(|pool| pool.id == key.pool) else {
            return answers;
        };
        let targets = partitioning.targets(key);
        let mut snapshot = self.snapshot(at, view, partitioning, key, pool, &targets);
        // The requests of a silent VM may have ended. Their reservations count
        // in the load of their targets but not in the mean.
        let silent = self.by_vm.iter().filter(|(vm, _)| is_silent(vm));
        snapshot.other_load -= silent.map(|(_, count)| i64::from(*count)).sum::<i64>();
        // Once a request that may run on any target finds none free, the
        // remaining requests are only checked for their timeout.
        let mut exhausted = false;
        for position in self.queue.positions() {
            let Some(waiting) = self.queue.get(position) else { continue };
            let mut restricted = false;
            let mut skipped = String::new();
            let choice = if exhausted {
                Choice::WaitForAny
            } else {
                let avoid = self.chat_targets.avoid(at, &waiting.requirements, &targets);
                restricted = waiting.requirements.avoid.len() < avoid.len();
                let request = admission_request(at, view, pool, waiting, &avoid);
                let choice = snapshot.choose(&request);
                if let Choice::Candidate(index, _) = choice {
                    skipped = describe_skipped(&snapshot.skipped(&request, index));
                }
                let anywhere = avoid.is_empty() && !waiting.requirements.overnight;
                exhausted = choice == Choice::WaitForAny && anywhere;
                choice
            };
            let waited = at.since(waiting.since);
            let is_retry = !waiting.requirements.avoid.is_empty();
            let result = match choice {
                Choice::Candidate(index, reason) => {
                    let target = snapshot.candidates[index].target.clone();
                    let load = snapshot.candidates[index].load + 1;
                    let line = log_line(key, waiting, waited).with("target", &target);
                    let line = line.with("why", reason.as_str()).with("passed", &skipped);
                    let line = line.with("load", load);
                    out.log(line.with("cap", snapshot.cap()));
                    snapshot.reserve(index, waiting.requirements.overnight);
                    Ok(target)
                }
                // Other VMs may learn of a target that has just started before
                // this VM does.
                Choice::NoCandidate if !restricted && (is_retry || FIRST_TARGET_WAIT <= waited) => {
                    Err(Denial::Empty)
                }
                _ if Span::from_millis(pool.queue_wait_ms) <= waited => Err(Denial::Full),
                _ => continue,
            };
            if let Err(denial) = result {
                out.log(log_line(key, waiting, waited).with("denied", format_args!("{denial:?}")));
            }
            answers.extend(self.answer(at, position, result));
        }
        answers
    }

    /// Removes a request from the queue, counts its reservation if it got one,
    /// and returns the answer to its VM.
    fn answer(
        &mut self,
        at: Moment,
        position: Position,
        result: Result<TargetId, Denial>,
    ) -> Option<Answer> {
        let Waiting { vm, requirements, .. } = self.queue.dequeue(position)?;
        if let Ok(target) = &result {
            let (overnight, chat) =
                (requirements.overnight, Some(chat_targets::key(&requirements)));
            let grant = Grant { vm: vm.clone(), target: target.clone(), overnight, at, chat };
            self.add(requirements.request, grant);
            self.in_transit.record_grant(at);
        }
        Some(Answer { vm, request: requirements.request, result })
    }

    /// Returns a snapshot of the slice's targets to choose from.
    fn snapshot<'a>(
        &mut self,
        at: Moment,
        view: View<'_>,
        partitioning: &Partitioning,
        key: &Key,
        pool: &Pool,
        targets: &'a [TargetId],
    ) -> Snapshot<'a> {
        let available_context_targets =
            self.queue.iter().filter(|(_, waiting)| waiting.context_target_available);
        let available_context_targets = available_context_targets
            .filter_map(|(_, waiting)| Some(&waiting.requirements.cached_on.as_ref()?.0));
        let available_context_targets: BTreeSet<_> = available_context_targets.collect();
        let (mut candidates, mut expected_candidates, mut expected_load) =
            (Vec::with_capacity(targets.len()), 0, 0);
        for id in targets {
            let target = view.targets.get(id).filter(|target| target.leaving.is_none());
            let Some(target) = target else { continue };
            let Count { load, overnight } = self.counts.get(id).copied().unwrap_or_default();
            let takes_work = target.takes_work();
            let expected = !takes_work && partitioning.is_expected(id);
            if !takes_work && !available_context_targets.contains(id) {
                // The target may only seem dead and still run its requests.
                // (The requests of a dead target fail and are released at
                // once.) Its load counts in the mean as long as the target
                // itself does.
                expected_load += i64::from(load) * i64::from(expected);
                continue;
            }
            expected_candidates += u32::from(expected);
            let load = load + self.unaccounted.load(id);
            candidates.push(Candidate {
                target: id,
                start: target.start(),
                load,
                overnight,
                accepts_all: takes_work,
            });
        }
        let bound = match &pool.kind {
            Kind::Engine(engine) => {
                Bound::Mean { factor: engine.load_factor, overnight_share: engine.overnight_share }
            }
            Kind::Runner(runner) => Bound::Fixed(runner.concurrency),
        };
        let (other_load, other_targets) = partitioning.other_load(key);
        let other_load = other_load as i64 + expected_load - self.in_transit.load(at);
        let other_targets = other_targets.saturating_sub(expected_candidates);
        Snapshot { candidates, bound, other_load, other_targets }
    }

    /// Updates the estimates of unaccounted load from the targets' reports.
    fn estimate(&mut self, view: View<'_>, partitioning: &Partitioning, key: &Key, weight: f64) {
        for id in partitioning.targets(key).iter() {
            let Some(target) = view.targets.get(id) else { continue };
            let load = self.counts.get(id).copied().unwrap_or_default().load;
            self.unaccounted.compare(target, load, weight);
        }
    }

    fn add(&mut self, request: RequestId, grant: Grant) {
        if let Some(chat) = &grant.chat {
            self.chat_targets.add(grant.at, chat.clone(), grant.target.clone());
        }
        let count = self.counts.entry(grant.target.clone()).or_default();
        count.load += 1;
        count.overnight += u32::from(grant.overnight);
        *self.by_vm.entry(grant.vm.clone()).or_default() += 1;
        self.grants.insert(request, grant);
    }

    fn remove(&mut self, grant: &Grant) {
        if let Some(chat) = &grant.chat {
            self.chat_targets.remove(chat, &grant.target);
        }
        if let Some(count) = self.by_vm.get_mut(&grant.vm) {
            *count -= 1;
        }
        let Some(count) = self.counts.get_mut(&grant.target) else { return };
        count.load -= 1;
        count.overnight -= u32::from(grant.overnight);
        if count.load == 0 {
            self.counts.remove(&grant.target);
        }
    }
}

fn admission_request<'a>(
    at: Moment,
    view: View<'_>,
    pool: &Pool,
    waiting: &'a Waiting,
    avoid: &'a [TargetId],
) -> Request<'a> {
    let requirements = &waiting.requirements;
    let context_wait = match &pool.kind {
        Kind::Engine(engine) => Span::from_millis(engine.place_wait_ms),
        Kind::Runner(_) => Span::ZERO,
    };
    let cached_on = requirements.cached_on.as_ref().map(|(target, start)| (target, *start));
    Request {
        chat: requirements.chat,
        cached_on: cached_on
            .filter(|(target, _)| !view.cache.has_evicted(target, requirements.chat)),
        avoid,
        overnight: requirements.overnight,
        context_wait: context_wait - at.since(waiting.since),
    }
}

fn log_line(key: &Key, waiting: &Waiting, waited: Span) -> Record {
    let line =
        Record::new("place").with("request", waiting.requirements.request).with("pool", &key.pool);
    let line = line.with("slice", key.slice.0).with("for", &waiting.vm);
    line.with("account", &waiting.requirements.account).with("waited", waited)
}

/// Formats the targets that ranked higher but were skipped, with the reason for
/// each.
fn describe_skipped(skipped: &[Skipped<'_>]) -> String {
    if skipped.is_empty() {
        return "none".to_owned();
    }
    let names =
        skipped.iter().map(|skipped| format!("{}:{}", skipped.target, skipped.reason.as_str()));
    names.collect::<Vec<_>>().join(",")
}

//! The admitting side: exact counts of a slice's places.
//!
//! A slice's admitting VM counts each place from its grant to its release. A
//! VM that takes a slice over first asks all VMs for the places they hold, and
//! grants nothing until they have told or a grace period is over; places that
//! nobody told of are then taken from the targets' reports.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::admission::{Bound, Candidate, Choice, Request, Skipped, Snapshot};
use briarshift_routing::queue::{Position, Queue};
use briarshift_settings::{Kind, Pool};
use briarshift_units::{Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Denial, Requirements, Reservation};

use super::copies::{self, Copies};
use super::under_way::UnderWay;
use super::untold::{self, Untold};
use super::{Key, Roster, View};
use crate::{Output, Record};

/// Shortest wait for a VM that is doubted to say that it admits.
const PROBE: Span = Span::from_millis(50);
/// Longest wait for other VMs to tell what they hold.
const GRACE: Span = Span::from_millis(300);
/// How long a request waits for a first target to be known.
const EMPTY_GRACE: Span = Span::from_millis(500);
/// How long a place unknown to its holder is kept: its grant may be under way.
const GRANT_AGE: Span = Span::from_secs(1);

/// Whether the slice is admitted for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Another VM admits.
    Idle,
    /// About to admit: other VMs tell what they hold.
    Claiming {
        /// Since when.
        since: Moment,
        /// Who has told.
        told: BTreeSet<VmId>,
    },
    /// Admits.
    Admitting,
}

/// A request that waits for a place.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The VM that asks.
    pub vm: VmId,
    /// What it asks for.
    pub ask: Requirements,
    /// That VM believes that the target holding the context takes work.
    pub vouched: bool,
    /// Since when the request waits.
    pub since: Moment,
}

/// What came of an ask, for its VM.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The VM that asked.
    pub vm: VmId,
    /// The request.
    pub request: RequestId,
    /// The place, or why there is none.
    pub place: Result<TargetId, Denial>,
}

#[derive(Debug)]
struct Place {
    vm: VmId,
    target: TargetId,
    overnight: bool,
    at: Moment,
    /// `None` for a place that another VM told of.
    chat: Option<copies::Key>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    load: u32,
    overnight: u32,
}

/// One slice, as its admitting VM counts it.
#[derive(Debug)]
pub struct State {
    phase: Phase,
    places: BTreeMap<RequestId, Place>,
    counts: BTreeMap<TargetId, Count>,
    copies: Copies,
    by_vm: BTreeMap<VmId, u32>,
    untold: Untold,
    queue: Queue<Waiting>,
    under_way: UnderWay,
}

impl Default for State {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            places: BTreeMap::new(),
            counts: BTreeMap::new(),
            copies: Copies::default(),
            by_vm: BTreeMap::new(),
            untold: Untold::default(),
            queue: Queue::default(),
            under_way: UnderWay::default(),
        }
    }
}

impl State {
    /// Whether the slice is admitted for.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Starts to take the slice over.
    pub fn claim(&mut self, at: Moment) {
        self.phase = Phase::Claiming { since: at, told: BTreeSet::new() };
    }

    /// Stops admitting; returns the requests that waited.
    pub fn step_down(&mut self) -> Vec<Waiting> {
        let mut old = std::mem::take(self);
        let slots = old.queue.positions();
        slots.into_iter().filter_map(|slot| old.queue.remove(slot)).collect()
    }

    /// The target that a request already has a place on.
    pub fn placed(&self, request: RequestId) -> Option<&TargetId> {
        self.places.get(&request).map(|place| &place.target)
    }

    /// Whether a request waits here.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.queue.iter().any(|(_, waiting)| waiting.ask.request == request)
    }

    /// Adds a request to the queue; what had to go is denied.
    pub fn enqueue(&mut self, waiting: Waiting, limit: u32) -> Option<Answer> {
        let account = waiting.ask.account.clone();
        let overnight = waiting.ask.overnight;
        let shed = self.queue.push(&account, overnight, waiting, limit.max(1) as usize)?;
        let request = shed.ask.request;
        Some(Answer { vm: shed.vm, request, place: Err(Denial::Full) })
    }

    /// A request has ended or waits no longer.
    pub fn release(&mut self, at: Moment, request: RequestId) {
        if let Some(place) = self.places.remove(&request) {
            self.uncount(&place);
            self.under_way.released(at);
            return;
        }
        let slot = self.queue.iter().find(|(_, waiting)| waiting.ask.request == request);
        if let Some((slot, _)) = slot {
            self.queue.remove(slot);
        }
    }

    /// A VM tells all places that it holds.
    pub fn told(&mut self, at: Moment, vm: &VmId, held: Vec<Reservation>) {
        if let Phase::Claiming { told, .. } = &mut self.phase {
            told.insert(vm.clone());
        }
        let known: BTreeSet<_> = held.iter().map(|held| held.request).collect();
        let gone = self.places.iter().filter(|(request, place)| {
            &place.vm == vm && !known.contains(request) && GRANT_AGE <= at.since(place.at)
        });
        let gone: Vec<_> = gone.map(|(request, _)| *request).collect();
        for request in gone {
            self.release(at, request);
        }
        for Reservation { request, target, overnight } in held {
            if !self.places.contains_key(&request) {
                let chat = None;
                self.count(request, Place { vm: vm.clone(), target, overnight, at, chat });
            }
        }
    }

    /// Drops the places of VMs that are gone: their requests are broken off.
    pub fn retain(&mut self, at: Moment, is_known: impl Fn(&VmId) -> bool) {
        self.by_vm.retain(|_, count| 0 < *count);
        if self.by_vm.keys().all(&is_known) {
            return;
        }
        let gone = self.places.iter().filter(|(_, place)| !is_known(&place.vm));
        let gone: Vec<_> = gone.map(|(request, _)| *request).collect();
        for request in gone {
            self.release(at, request);
        }
    }

    /// Ends a claim once all `awaited` VMs have told, or the grace period is
    /// over. While `probing`, a doubted VM is given time to be heard.
    pub fn settle(
        &mut self,
        at: Moment,
        view: View<'_>,
        roster: &Roster,
        key: &Key,
        awaited: &[&VmId],
        probing: bool,
    ) -> bool {
        let Phase::Claiming { since, told } = &self.phase else { return false };
        let all = awaited.iter().all(|vm| told.contains(vm));
        let wait = match (all, probing) {
            (true, false) => Span::ZERO,
            (true, true) => PROBE,
            (false, _) => GRACE,
        };
        if at.since(*since) < wait {
            return false;
        }
        self.phase = Phase::Admitting;
        if !all {
            self.estimate(view, roster, key, untold::WHOLE);
        }
        true
    }

    /// Compares the count with new reports: what is reported and was never
    /// told is held by VMs that can't be heard.
    pub fn reported(&mut self, view: View<'_>, roster: &Roster, key: &Key) {
        self.estimate(view, roster, key, untold::WEIGHT);
    }

    /// Grants what can be granted and denies what has waited too long.
    pub fn serve(
        &mut self,
        at: Moment,
        view: View<'_>,
        roster: &Roster,
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
        let targets = roster.targets(key);
        let mut board = self.board(at, view, roster, key, pool, &targets);
        // What a silent VM holds may be gone: its places count on their
        // targets, but not for the mean.
        let silent = self.by_vm.iter().filter(|(vm, _)| is_silent(vm));
        board.other_load -= silent.map(|(_, count)| i64::from(*count)).sum::<i64>();
        // Once a request that may run anywhere finds no place, none is left:
        // what follows is only looked at for its timeout.
        let mut exhausted = false;
        for slot in self.queue.positions() {
            let Some(waiting) = self.queue.get(slot) else { continue };
            let mut held_back = false;
            let mut passed = String::new();
            let choice = if exhausted {
                Choice::WaitForAny
            } else {
                let avoid = self.copies.avoid(at, &waiting.ask, &targets);
                held_back = waiting.ask.avoid.len() < avoid.len();
                let want = want(at, view, pool, waiting, &avoid);
                let choice = board.choose(&want);
                if let Choice::Candidate(seat, _) = choice {
                    passed = names(&board.skipped(&want, seat));
                }
                let anywhere = avoid.is_empty() && !waiting.ask.overnight;
                exhausted = choice == Choice::WaitForAny && anywhere;
                choice
            };
            let waited = at.since(waiting.since);
            let retried = !waiting.ask.avoid.is_empty();
            let place = match choice {
                Choice::Candidate(seat, why) => {
                    let target = board.candidates[seat].target.clone();
                    let load = board.candidates[seat].load + 1;
                    let line = line(key, waiting, waited).with("target", &target);
                    let line = line.with("why", why.as_str()).with("passed", &passed);
                    let line = line.with("load", load);
                    out.log(line.with("cap", board.cap()));
                    board.reserve(seat, waiting.ask.overnight);
                    Ok(target)
                }
                // A target that is just starting may be known elsewhere first.
                Choice::NoCandidate if !held_back && (retried || EMPTY_GRACE <= waited) => {
                    Err(Denial::Empty)
                }
                _ if Span::from_millis(pool.queue_wait_ms) <= waited => Err(Denial::Full),
                _ => continue,
            };
            if let Err(denial) = place {
                out.log(line(key, waiting, waited).with("denied", format_args!("{denial:?}")));
            }
            answers.extend(self.answer(at, slot, place));
        }
        answers
    }

    fn answer(
        &mut self,
        at: Moment,
        slot: Position,
        place: Result<TargetId, Denial>,
    ) -> Option<Answer> {
        let Waiting { vm, ask, .. } = self.queue.dequeue(slot)?;
        if let Ok(target) = &place {
            let (overnight, chat) = (ask.overnight, Some(copies::key(&ask)));
            let place = Place { vm: vm.clone(), target: target.clone(), overnight, at, chat };
            self.count(ask.request, place);
            self.under_way.granted(at);
        }
        Some(Answer { vm, request: ask.request, place })
    }

    fn board<'a>(
        &mut self,
        at: Moment,
        view: View<'_>,
        roster: &Roster,
        key: &Key,
        pool: &Pool,
        targets: &'a [TargetId],
    ) -> Snapshot<'a> {
        let vouched = self.queue.iter().filter(|(_, waiting)| waiting.vouched);
        let vouched = vouched.filter_map(|(_, waiting)| Some(&waiting.ask.cached_on.as_ref()?.0));
        let vouched: BTreeSet<_> = vouched.collect();
        let (mut seats, mut unsure, mut hidden) = (Vec::with_capacity(targets.len()), 0, 0);
        for id in targets {
            let target = view.targets.get(id).filter(|target| target.leaving.is_none());
            let Some(target) = target else { continue };
            let Count { load, overnight } = self.counts.get(id).copied().unwrap_or_default();
            let open = target.takes_work();
            let expected = !open && roster.is_expected(id);
            if !open && !vouched.contains(id) {
                // It may only seem dead and still run what it was given; a
                // dead one's requests break off and are released at once.
                // Its load counts for the mean only while it does itself.
                hidden += i64::from(load) * i64::from(expected);
                continue;
            }
            unsure += u32::from(expected);
            let load = load + self.untold.load(id);
            seats.push(Candidate {
                target: id,
                start: target.start(),
                load,
                overnight,
                accepts_all: open,
            });
        }
        let bound = match &pool.kind {
            Kind::Engine(engine) => {
                Bound::Mean { factor: engine.load_factor, overnight_share: engine.overnight_share }
            }
            Kind::Runner(runner) => Bound::Fixed(runner.concurrency),
        };
        let (other_load, other_targets) = roster.others(key);
        let other_load = other_load as i64 + hidden - self.under_way.load(at);
        let other_targets = other_targets.saturating_sub(unsure);
        Snapshot { candidates: seats, bound, other_load, other_targets }
    }

    fn estimate(&mut self, view: View<'_>, roster: &Roster, key: &Key, weight: f64) {
        for id in roster.targets(key).iter() {
            let Some(target) = view.targets.get(id) else { continue };
            let load = self.counts.get(id).copied().unwrap_or_default().load;
            self.untold.compare(target, load, weight);
        }
    }

    fn count(&mut self, request: RequestId, place: Place) {
        if let Some(chat) = &place.chat {
            self.copies.add(place.at, chat.clone(), place.target.clone());
        }
        let count = self.counts.entry(place.target.clone()).or_default();
        count.load += 1;
        count.overnight += u32::from(place.overnight);
        *self.by_vm.entry(place.vm.clone()).or_default() += 1;
        self.places.insert(request, place);
    }

    fn uncount(&mut self, place: &Place) {
        if let Some(chat) = &place.chat {
            self.copies.remove(chat, &place.target);
        }
        if let Some(count) = self.by_vm.get_mut(&place.vm) {
            *count -= 1;
        }
        let Some(count) = self.counts.get_mut(&place.target) else { return };
        count.load -= 1;
        count.overnight -= u32::from(place.overnight);
        if count.load == 0 {
            self.counts.remove(&place.target);
        }
    }
}

fn want<'a>(
    at: Moment,
    view: View<'_>,
    pool: &Pool,
    waiting: &'a Waiting,
    avoid: &'a [TargetId],
) -> Request<'a> {
    let ask = &waiting.ask;
    let place_wait = match &pool.kind {
        Kind::Engine(engine) => Span::from_millis(engine.place_wait_ms),
        Kind::Runner(_) => Span::ZERO,
    };
    let held_on = ask.cached_on.as_ref().map(|(target, start)| (target, *start));
    Request {
        chat: ask.chat,
        held_on: held_on.filter(|(target, _)| !view.cache.has_evicted(target, ask.chat)),
        avoid,
        overnight: ask.overnight,
        context_wait: place_wait - at.since(waiting.since),
    }
}

fn line(key: &Key, waiting: &Waiting, waited: Span) -> Record {
    let line = Record::new("place").with("request", waiting.ask.request).with("pool", &key.pool);
    let line = line.with("slice", key.slice.0).with("for", &waiting.vm);
    line.with("account", &waiting.ask.account).with("waited", waited)
}

/// Targets that were passed over, with the reason of each.
fn names(passed: &[Skipped<'_>]) -> String {
    if passed.is_empty() {
        return "none".to_owned();
    }
    let names = passed.iter().map(|passed| format!("{}:{}", passed.target, passed.reason.as_str()));
    names.collect::<Vec<_>>().join(",")
}

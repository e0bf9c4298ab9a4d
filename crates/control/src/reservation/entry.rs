//! The asking side: this VM's own requests.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_units::{Moment, PoolId, RequestId, Span, TargetId, VmId};
use briarshift_wire::reservation::{Denial, Message, Peer, Requirements, Reservation};

use super::{Decision, Key, Request, Roster, Scope};
use crate::{Output, Record, Signal, target::Target};

/// An ask that is not answered by then goes to the next VM.
const ASK_TIMEOUT: Span = Span::from_millis(100);
/// A request that is known to wait is asked for again after this time, in case
/// the VM whose queue it is in was lost.
const QUEUE_TIMEOUT: Span = Span::from_millis(1000);
/// Releases are carried along with asks, or sent after this time.
const RELEASE_DELAY: Span = Span::from_millis(20);
/// VMs asked in vain before this VM decides alone.
const MAX_TIMEOUTS: u32 = 2;
/// Hops from VM to VM before this VM decides alone.
const MAX_HOPS: u32 = 8;

#[derive(Debug)]
struct Asked {
    key: Key,
    ask: Requirements,
    since: Moment,
    to: VmId,
    sent_at: Moment,
    queued: bool,
    timeouts: u32,
    hops: u32,
    missing: Option<VmId>,
}

#[derive(Debug)]
struct Place {
    pool: PoolId,
    target: TargetId,
    by: VmId,
    overnight: bool,
}

impl Place {
    fn key(&self, roster: &Roster) -> Key {
        Key { pool: self.pool.clone(), slice: roster.slice_of(&self.pool, &self.target) }
    }
}

#[derive(Debug)]
struct Batch {
    since: Moment,
    requests: Vec<RequestId>,
}

/// Requests of this VM that have a place or wait for one.
#[derive(Debug, Default)]
pub struct State {
    asked: BTreeMap<RequestId, Asked>,
    held: BTreeMap<RequestId, Place>,
    load: BTreeMap<TargetId, u32>,
    releases: BTreeMap<VmId, Batch>,
}

impl State {
    /// Notes a request that needs a place.
    pub fn open(&mut self, at: Moment, key: Key, ask: Requirements) {
        let asked = Asked {
            key,
            since: at,
            to: "-".parse().expect("a hyphen is an identifier"),
            sent_at: at,
            queued: false,
            timeouts: 0,
            hops: 0,
            missing: None,
            ask,
        };
        self.asked.insert(asked.ask.request, asked);
    }

    /// Forgets a request; returns its slice, and the VM that knows of it.
    pub fn close(&mut self, roster: &Roster, request: RequestId) -> Option<(Key, VmId)> {
        if let Some(asked) = self.asked.remove(&request) {
            return Some((asked.key, asked.to));
        }
        let place = self.held.remove(&request)?;
        if let Some(load) = self.load.get_mut(&place.target) {
            *load -= 1;
        }
        Some((place.key(roster), place.by))
    }

    /// The request waits in its admitting VM's queue.
    pub fn queued(&mut self, at: Moment, request: RequestId) {
        if let Some(asked) = self.asked.get_mut(&request) {
            asked.queued = true;
            asked.sent_at = at;
        }
    }

    /// The request gets no place.
    pub fn denied(&mut self, request: RequestId, reason: Denial, out: &mut Output) {
        if self.asked.remove(&request).is_some() {
            out.signal(Signal::ReservationDecided(Decision { request, result: Err(reason) }));
        }
    }

    /// Puts a release by for the next message to a VM.
    pub fn release_later(&mut self, at: Moment, vm: &VmId, request: RequestId) {
        let batch = Batch { since: at, requests: Vec::new() };
        let batch = self.releases.entry(vm.clone()).or_insert(batch);
        batch.requests.push(request);
    }

    /// Releases that have waited long enough for an ask to carry them.
    pub fn due_releases(&mut self, at: Moment) -> Vec<(VmId, Vec<RequestId>)> {
        let due = self.releases.extract_if(.., |_, batch| RELEASE_DELAY <= at.since(batch.since));
        due.map(|(vm, batch)| (vm, batch.requests)).collect()
    }

    /// Requests whose ask was not answered in time. One that waits in the
    /// queue of a VM that is lost by now need not wait for its own timeout.
    pub fn overdue(&self, at: Moment, is_lost: impl Fn(&VmId) -> bool) -> Vec<RequestId> {
        let overdue = self.asked.iter().filter(|(_, asked)| {
            let waits = asked.queued && !is_lost(&asked.to);
            let timeout = if waits { QUEUE_TIMEOUT } else { ASK_TIMEOUT };
            timeout <= at.since(asked.sent_at)
        });
        overdue.map(|(request, _)| *request).collect()
    }

    /// Slices in which this VM holds places.
    pub fn slices(&self, roster: &Roster) -> BTreeSet<Key> {
        self.held.values().map(|place| place.key(roster)).collect()
    }

    /// Places held in one slice.
    pub fn held(&self, key: &Key) -> Vec<Reservation> {
        let held = self.held.iter();
        let held = held.filter(|(_, place)| place.pool == key.pool && key.contains(&place.target));
        let held = held.map(|(request, place)| Reservation {
            request: *request,
            target: place.target.clone(),
            overnight: place.overnight,
        });
        held.collect()
    }

    /// Places held on a target.
    pub fn load(&self, target: &TargetId) -> u32 {
        self.load.get(target).copied().unwrap_or(0)
    }
}

impl super::State {
    /// Sends a request's ask to whoever admits for its slice.
    pub(super) fn send_ask(&mut self, scope: &mut Scope<'_>, request: RequestId) {
        let Some(asked) = self.entry.asked.get_mut(&request) else { return };
        let alone = MAX_TIMEOUTS <= asked.timeouts || MAX_HOPS <= asked.hops;
        if alone {
            self.duty.admit_alone(scope.ctx.at, &asked.key);
        }
        asked.key.slice = self.roster.slice(scope.view, &asked.ask);
        asked.to = self.duty.first(scope.ctx, scope.view, &asked.key).clone();
        asked.sent_at = scope.ctx.at;
        asked.queued = false;
        let (key, ask, missing) = (asked.key.clone(), asked.ask.clone(), asked.missing.clone());
        let waited = scope.ctx.at.since(asked.since);
        let to = asked.to.clone();
        let held_on = ask.cached_on.as_ref().and_then(|(id, _)| scope.view.targets.get(id));
        let vouched = held_on.is_some_and(Target::takes_work);
        if to == scope.ctx.me.vm {
            let request = Request { from: to, key, ask, waited, vouched, missing };
            self.asked(scope, request);
            return;
        }
        self.introduce(scope, &key, &to);
        let released = self.entry.releases.remove(&to).map(|batch| batch.requests);
        let released = released.unwrap_or_default();
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        let slice = key.slice;
        let message = Message::Reserve {
            requirements: ask,
            slice,
            waited_ms,
            context_target_available: vouched,
            unresponsive: missing,
            released,
        };
        self.send(scope, &to, message);
    }

    /// An ask was not answered: doubts its VM, and asks the next.
    pub(super) fn ask_again(&mut self, scope: &mut Scope<'_>, request: RequestId) {
        let Some(asked) = self.entry.asked.get_mut(&request) else { return };
        let to = asked.to.clone();
        if to == scope.ctx.me.vm {
            asked.sent_at = scope.ctx.at;
            return;
        }
        let pool = scope.view.document.pools.iter().find(|pool| pool.id == asked.key.pool);
        let limit = pool.map_or(0, |pool| pool.queue_wait_ms) + QUEUE_TIMEOUT.as_millis();
        if Span::from_millis(limit) < scope.ctx.at.since(asked.since) {
            self.entry.denied(request, Denial::NotAdmitting, scope.out);
            self.entry.release_later(scope.ctx.at, &to, request);
            return;
        }
        if !asked.queued {
            asked.timeouts += 1;
            asked.missing = Some(to.clone());
            scope.out.log(Record::new("ask_timeout").with("request", request).with("to", &to));
            self.duty.doubt(scope.ctx, &to);
        }
        self.send_ask(scope, request);
    }

    /// A VM says that another admits.
    pub(super) fn redirected(&mut self, scope: &mut Scope<'_>, request: RequestId, to: Peer) {
        let Some(asked) = self.entry.asked.get_mut(&request) else { return };
        asked.hops += 1;
        let key = asked.key.clone();
        // A VM that has just stepped down for another does not take the slice
        // back because a third has not heard of it yet.
        if to.vm != scope.ctx.me.vm || !self.duty.trusts_another(scope.ctx, &key) {
            self.duty.trust(scope.ctx.at, &key, to);
        }
        self.send_ask(scope, request);
    }

    /// A place was granted.
    pub(super) fn granted(
        &mut self,
        scope: &mut Scope<'_>,
        from: &VmId,
        request: RequestId,
        target: TargetId,
    ) {
        let asked = self.entry.asked.remove(&request);
        let Some(mut asked) = asked else {
            // Crossed answers: the place came from another VM meanwhile, or
            // the caller is gone.
            let kept = self.entry.held.get(&request).is_some_and(|place| place.by == *from);
            if !kept && *from != scope.ctx.me.vm {
                self.entry.release_later(scope.ctx.at, from, request);
            }
            return;
        };
        // A target that this VM believes dead is tried: the admitting VM may
        // know better, and a failed connection costs little.
        if scope.view.targets.get(&target).is_none_or(|target| target.leaving.is_some()) {
            scope
                .out
                .log(Record::new("grant_refused").with("request", request).with("target", &target));
            asked.ask.avoid.push(target);
            asked.hops += 1;
            let hopeless = MAX_HOPS < asked.hops;
            self.entry.asked.insert(request, asked);
            if *from == scope.ctx.me.vm {
                self.released(scope, &[request]);
            } else {
                self.entry.release_later(scope.ctx.at, from, request);
            }
            if hopeless {
                self.entry.denied(request, Denial::Empty, scope.out);
            } else {
                self.send_ask(scope, request);
            }
            return;
        }
        *self.entry.load.entry(target.clone()).or_default() += 1;
        let overnight = asked.ask.overnight;
        let (pool, target_id, by) = (asked.ask.pool, target.clone(), from.clone());
        let place = Place { pool, target: target_id, by, overnight };
        self.entry.held.insert(request, place);
        scope.out.signal(Signal::ReservationDecided(Decision { request, result: Ok(target) }));
    }
}

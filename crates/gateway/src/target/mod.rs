//! Targets: which ones accept requests, their load and their health.
//!
//! The load of a target is the number of requests that this VM has there, which
//! is exact, plus the numbers that its peers last reported. While some peers
//! are silent, the load that the target itself reports in its answers is used
//! if it is larger and recent.

mod cold;
mod data_centre;
mod evacuation;
mod exclusion;
mod leaving;
mod limit;
mod room;
mod speed;

use std::collections::{BTreeMap, HashMap};

use briarshift_logging::Record;
use briarshift_routing::health::Health;
use briarshift_routing::pause::Pause;
use briarshift_routing::selection::Candidate;
use briarshift_store::Position;
use briarshift_store::registry::{Name, Row, Status, Target, Value};
use briarshift_units::{
    DataCentre, Fingerprint, Moment, PartId, PoolId, RequestRate, Span, StartNumber, TargetId, VmId,
};
use briarshift_wire::heartbeat::{self, Failure, TargetHash};
use briarshift_wire::leaving::Leaving;

use crate::limit::{
    CRASH_SUSPICION_TIME, LAST_USE_OF_LEAVING, MAX_REPORT_AGE, MOVED_TARGET_PAUSE,
    UNCONFIRMED_TARGET_TTL,
};
use crate::peer::{Loads, News};
use crate::sync::Update;
use crate::{Context, Effect, Output};

/// What a target reports about itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Its load, if the answer states it.
    pub load: Option<Load>,
    /// Requests that it accepts from all VMs together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// It leaves, and wants no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this VM, if it names one.
    pub pause: Option<Span>,
    /// How long it remains cold, if it tells.
    pub cold: Option<Span>,
}

/// The load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual, if it
    /// states that.
    pub work_percent: Option<u32>,
}

/// A request that was interrupted at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interruption {
    /// The request.
    pub request: Fingerprint,
    /// Shared parts of its prompt, if its answer had not begun.
    pub parts: Vec<PartId>,
    /// When it was interrupted.
    pub at: Moment,
}

/// A request that ran on a target when the target went down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRequest {
    /// The request.
    pub request: Fingerprint,
    /// Shared parts of its prompt, if its answer had not begun.
    pub parts: Vec<PartId>,
    /// The target.
    pub target: TargetHash,
    /// Start number of the target's process, if it registers one.
    pub start: Option<StartNumber>,
}

/// A target as known to this VM.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The target's registration.
    pub target: Target,
    /// Hash of the target's id, which identifies it in heartbeats.
    pub hash: TargetHash,
    /// Requests of this VM at the target.
    pub requests: u32,
    /// Prompt tokens of these requests that the target has still to read.
    pub backlog: u64,
    /// Memory that these requests are expected to need, in tokens.
    memory: u64,
    /// Largest number of waiting requests that it has stated, once it has turned a request
    /// away while others waited.
    queue: Option<u32>,
    /// How fast it works.
    speed: speed::Speed,
    /// Health, judged by the target's answers.
    pub health: Health,
    version: Position,
    /// The row may be a remnant of a copy from which the store returned. The target gets
    /// nothing until its row is written again.
    is_remnant: bool,
    reported_load: Option<(Load, Moment)>,
    /// The limit on requests that it names.
    limit: Option<limit::Active>,
    /// The pause that it asked this VM for, and the recovery after it.
    pause: Option<Pause>,
    /// Until when it is cold, and this VM's turns meanwhile.
    cold: Option<cold::Cold>,
    /// The peer that last could not reach it, and when it said so.
    lost_by: Option<(VmId, Moment)>,
    /// When this VM learned from an answer or a peer that it leaves.
    left_at: Option<Moment>,
    /// What operators want of its data centre.
    standing: evacuation::Standing,
    /// When its registration ended, if that was while the store was failing.
    ended_at: Option<Moment>,
    /// When another target last answered at its address.
    moved_at: Option<Moment>,
    /// Requests that were recently interrupted here.
    interrupted: Vec<Interruption>,
    /// Failures since the last heartbeat.
    failures: u8,
}

impl Entry {
    fn new(id: &TargetId, target: Target, version: Position) -> Self {
        Self {
            target,
            hash: TargetHash::of(id.as_str()),
            requests: 0,
            backlog: 0,
            memory: 0,
            queue: None,
            speed: speed::Speed::default(),
            health: Health::default(),
            version,
            is_remnant: false,
            reported_load: None,
            limit: None,
            pause: None,
            cold: None,
            lost_by: None,
            left_at: None,
            standing: evacuation::Standing::default(),
            ended_at: None,
            moved_at: None,
            interrupted: Vec::new(),
            failures: 0,
        }
    }

    /// Returns the load that the target last reported, if that is recent.
    pub fn reported_load(&self, now: Moment) -> Option<Load> {
        let recent = self.reported_load.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE);
        recent.map(|(load, _)| load)
    }

    /// Returns the number of requests at the target from all VMs, and the
    /// number of prompt tokens that it has still to read for them.
    fn load(&self, query: &Query<'_>) -> (u32, u64) {
        let peers = query.peer_loads.at(self.hash);
        let counted = self.requests.saturating_add(peers.requests);
        let backlog = self.backlog.saturating_add(peers.backlog);
        if query.all_peers_live {
            return (counted, backlog);
        }
        let reported = self.reported_load(query.now);
        let reported = reported.map_or(0, |load| load.running.saturating_add(load.waiting));
        (counted.max(reported), backlog)
    }

    /// Returns true if the target accepts requests, as far as this VM knows.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.target.status == Status::Ready
            && !self.is_remnant
            && !self.is_evacuated()
            && self.left_at.is_none()
            && self.ended_at.is_none()
            && !self.has_moved(now)
    }

    /// Returns true if the target may get a request if there is no other one: its
    /// registration ended while the store was failing, or it has just begun to leave.
    fn is_last_resort(&self, now: Moment) -> bool {
        self.target.status == Status::Ready
            && !self.is_remnant
            && !self.is_evacuated()
            && self.left_at.is_none_or(|at| now.since(at) < LAST_USE_OF_LEAVING)
            && !self.has_moved(now)
    }

    /// Returns true if neither a limit nor a pause nor coldness holds a request to the
    /// target back.
    fn is_permitted(&self, query: &Query<'_>) -> bool {
        let is_paused = self.pause.is_some_and(|it| !it.permits(self.requests, query.now));
        !is_paused
            && self.warm_or_turn_at(query.now) <= query.now
            && self.permitted_at(query) <= query.now
    }

    fn has_moved(&self, now: Moment) -> bool {
        self.moved_at.is_some_and(|at| now.since(at) < MOVED_TARGET_PAUSE)
    }

    /// Removes the interrupted requests and returns a crash for each recent
    /// one.
    fn take_crashes(&mut self, now: Moment) -> Vec<CrashedRequest> {
        let (target, start) = (self.hash, self.target.start);
        let crash =
            |Interruption { request, parts, .. }| CrashedRequest { request, parts, target, start };
        let interrupted = std::mem::take(&mut self.interrupted).into_iter();
        interrupted.filter(|it| now.since(it.at) < CRASH_SUSPICION_TIME).map(crash).collect()
    }
}

/// Parameters of a lookup of candidates.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// This VM's data centre.
    pub data_centre: &'a DataCentre,
    /// The loads that peers reported.
    pub peer_loads: &'a Loads,
    /// Whether all peers are live.
    pub all_peers_live: bool,
    /// Whether peers learn where the request goes, because its prompt has shared parts.
    pub is_shared_prompt: bool,
    /// Decides when the request may go to a data centre that has been taken back: the key
    /// of its prompt, or a random number.
    pub readmission_key: u64,
    /// The current time.
    pub now: Moment,
}

/// All targets.
#[derive(Debug, Default)]
pub struct State {
    // Ordered, so that equal events lead to equal decisions.
    entries: BTreeMap<TargetId, Entry>,
    ids_by_hash: HashMap<TargetHash, TargetId>,
    data_centres: data_centre::State,
    evacuations: evacuation::Words,
    limit_news: limit::News,
    cold: cold::Shared,
    /// Targets that have said that they leave.
    left: BTreeMap<TargetId, leaving::Left>,
    leaving_news: News<Leaving>,
    /// A target has stated its speed.
    states_speed: bool,
    speed_news: speed::News,
}

impl State {
    /// Returns the target with this id.
    pub fn get(&self, id: &TargetId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the target with this hash of its id.
    pub fn get_by_hash(&self, hash: TargetHash) -> Option<(&TargetId, &Entry)> {
        self.entries.get_key_value(self.ids_by_hash.get(&hash)?)
    }

    /// Returns the number of targets that accept requests.
    pub fn ready_count(&self, now: Moment) -> usize {
        self.entries.values().filter(|entry| entry.is_ready(now)).count()
    }

    /// Applies rows from the store. Returns the crashes of targets that
    /// restarted, moved or disappeared.
    pub fn update(
        &mut self,
        ctx: &Context<'_>,
        update: &Update,
        out: &mut Output,
    ) -> Vec<CrashedRequest> {
        let mut crashes = Vec::new();
        let is_first = update.snapshot && self.entries.is_empty();
        if update.snapshot {
            let is_listed =
                |id: &TargetId| update.rows.iter().any(|row| row.name == Name::Target(id.clone()));
            let unlisted: Vec<_> =
                self.entries.keys().filter(|id| !is_listed(id)).cloned().collect();
            for id in unlisted {
                self.remove(ctx, &id, update.lapsed_at, out, &mut crashes);
            }
        }
        for row in &update.rows {
            let Name::Target(id) = &row.name else { continue };
            match &row.value {
                Some(Value::Target(target)) => {
                    if update.has_returned && !is_first && self.is_doubtful(id, target) {
                        self.keep_or_doubt(id, target, row, out);
                    } else {
                        self.upsert(ctx, id, target, row, out, &mut crashes);
                    }
                }
                _ => {
                    let known = self.entries.get(id).map(|entry| entry.version);
                    if known.is_some_and(|known| known < row.version) {
                        self.remove(ctx, id, update.lapsed_at, out, &mut crashes);
                    }
                }
            }
        }
        self.update_evacuations(ctx, update, !is_first, out);
        if update.snapshot {
            self.cold.record_snapshot(ctx.at);
        }
        crashes
    }

    /// Returns true if a row from the copy from which the store has returned says that a
    /// target is ready, which may no longer be true.
    fn is_doubtful(&self, id: &TargetId, target: &Target) -> bool {
        let is_known = |entry: &Entry| target.start <= entry.target.start;
        target.status == Status::Ready && self.entries.get(id).is_none_or(is_known)
    }

    /// Applies a row from the copy from which the store has returned. It may be older than
    /// what this VM knows: a target that was ready stays so, one that has begun to leave does
    /// not come back, and one that this VM doesn't know, or that has gone, is not used until
    /// its row is written again.
    fn keep_or_doubt(&mut self, id: &TargetId, target: &Target, row: &Row, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(id) else {
            out.log(registration_record(id, target, row.version).with("remnant", true));
            let mut entry = Entry::new(id, target.clone(), row.version);
            entry.is_remnant = true;
            self.ids_by_hash.insert(entry.hash, id.clone());
            self.entries.insert(id.clone(), entry);
            return;
        };
        entry.version = row.version;
        if entry.target.start == target.start && entry.target.address == target.address {
            entry.ended_at = None;
        }
    }

    fn upsert(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        target: &Target,
        row: &Row,
        out: &mut Output,
        crashes: &mut Vec<CrashedRequest>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else {
            out.log(registration_record(id, target, row.version));
            let mut entry = Entry::new(id, target.clone(), row.version);
            entry.start_cold(id, &self.cold, ctx.at, out);
            entry.left_at = self.left.get(id).and_then(|left| left.since(target));
            self.ids_by_hash.insert(entry.hash, id.clone());
            self.entries.insert(id.clone(), entry);
            return;
        };
        // A row may repeat what is known, or come from an earlier start of the
        // target.
        if row.version < entry.version || target.start < entry.target.start {
            return;
        }
        let changed = entry.target.status != target.status
            || entry.target.address != target.address
            || entry.target.start != target.start;
        if changed {
            out.log(registration_record(id, target, row.version));
        }
        if entry.target.start != target.start || entry.target.address != target.address {
            crashes.extend(entry.take_crashes(ctx.at));
            out.push(Effect::CloseConnections(entry.target.address));
            let (requests, backlog, memory) = (entry.requests, entry.backlog, entry.memory);
            let new = Entry::new(id, target.clone(), row.version);
            *entry = Entry { requests, backlog, memory, ..new };
            entry.start_cold(id, &self.cold, ctx.at, out);
            entry.left_at = self.left.get(id).and_then(|left| left.since(target));
            if entry.left_at.is_none() {
                self.left.remove(id);
            }
            return;
        }
        entry.target = target.clone();
        if entry.version < row.version {
            entry.learn_row(id, &self.cold, ctx.at, out);
        }
        entry.version = row.version;
        entry.is_remnant = false;
        entry.ended_at = None;
        entry.moved_at = None;
    }

    /// Removes a target, or marks its registration as lapsed, since it may return.
    fn remove(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        lapsed_at: Option<Moment>,
        out: &mut Output,
        crashes: &mut Vec<CrashedRequest>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if lapsed_at.is_some() {
            if entry.ended_at.is_none() {
                entry.ended_at = lapsed_at;
                out.log(Record::new("target_unsure").with("target", id));
            }
            return;
        }
        crashes.extend(entry.take_crashes(ctx.at));
        out.log(Record::new("target_gone").with("target", id).with("requests", entry.requests));
        out.push(Effect::CloseConnections(entry.target.address));
        self.ids_by_hash.remove(&entry.hash);
        self.entries.remove(id);
    }

    /// Removes targets whose registration has not returned in time.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.entries.retain(|id, entry| {
            let gone = entry.ended_at.is_some_and(|at| UNCONFIRMED_TARGET_TTL <= ctx.at.since(at));
            if gone {
                out.log(
                    Record::new("target_gone")
                        .with("target", id)
                        .with("after", UNCONFIRMED_TARGET_TTL),
                );
                out.push(Effect::CloseConnections(entry.target.address));
                self.ids_by_hash.remove(&entry.hash);
            }
            !gone
        });
    }

    /// Sets the data centres from which heartbeats no longer arrive, each with
    /// the time of the last one.
    pub fn set_silent_data_centres(
        &mut self,
        silent: BTreeMap<DataCentre, Moment>,
        out: &mut Output,
    ) {
        self.data_centres.set_silent(silent, out);
    }

    /// Returns the targets of a pool that may get a request, except those in
    /// `tried` and those that a limit, a pause or coldness holds back. Targets of a data
    /// centre that has been taken back are left out for a while if others have room. Targets
    /// whose registration ended while the store was failing, and those that have just begun
    /// to leave, are returned only if the pool has no others, even if these have been tried or
    /// are held back.
    pub fn candidates<'a>(
        &'a self,
        query: &Query<'_>,
        pool: &PoolId,
        tried: &[TargetId],
    ) -> Vec<Candidate<'a>> {
        let now = query.now;
        let of_pool = |(id, entry): &(&'a TargetId, &'a Entry)| {
            entry.target.pool == *pool && !tried.contains(id) && entry.is_permitted(query)
        };
        let candidate = |(id, entry): (&'a TargetId, &'a Entry)| self.candidate(query, id, entry);
        let is_ready = |entry: &Entry| entry.target.pool == *pool && entry.is_ready(now);
        let has_ready = self.entries.values().any(is_ready);
        let is_usable = |(_, entry): &(&TargetId, &Entry)| match has_ready {
            true => entry.is_ready(now),
            false => entry.is_last_resort(now),
        };
        let usable = self.entries.iter().filter(of_pool).filter(is_usable);
        if !self.evacuations.has_readmission() {
            return usable.map(candidate).collect();
        }
        let mut usable: Vec<_> = usable.collect();
        let is_readmitted = |(_, entry): &(&TargetId, &Entry)| entry.is_readmitted(query);
        let has_room = |(_, entry): &(&TargetId, &Entry)| {
            self.is_healthy(entry, now) && entry.load(query).0 < entry.target.slots
        };
        if usable.iter().any(|it| is_readmitted(it) && has_room(it)) {
            usable.retain(is_readmitted);
        }
        usable.into_iter().map(candidate).collect()
    }

    fn is_healthy(&self, entry: &Entry, now: Moment) -> bool {
        !entry.health.is_paused(now) && !self.data_centres.is_cut_off(&entry.target.data_centre)
    }

    fn candidate<'a>(
        &self,
        query: &Query<'_>,
        id: &'a TargetId,
        entry: &'a Entry,
    ) -> Candidate<'a> {
        let Query { data_centre, now, .. } = *query;
        let (load, backlog) = entry.load(query);
        Candidate {
            name: id.as_str(),
            load,
            backlog,
            slots: entry.target.slots,
            local: entry.target.data_centre == *data_centre,
            healthy: self.is_healthy(entry, now),
            error_rate: entry.health.error_rate(now),
        }
    }

    /// Counts a request that this VM, one of `vms`, sends to a target, and its unread
    /// prompt tokens.
    pub fn record_send(&mut self, id: &TargetId, tokens: u64, vms: usize, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.requests += 1;
        entry.backlog += tokens;
        entry.record_limited_send(vms, now);
        entry.record_cold_send(now);
    }

    /// Removes prompt tokens that a target has read from its backlog.
    pub fn remove_backlog(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.backlog = entry.backlog.saturating_sub(tokens);
        }
    }

    /// Removes a request that has ended, and its unread prompt tokens.
    pub fn remove_request(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.requests = entry.requests.saturating_sub(1);
            entry.backlog = entry.backlog.saturating_sub(tokens);
        }
    }

    /// Stores what a target reported in an answer to this VM, one of `vms`; `ok` is true
    /// for a success.
    pub fn set_report(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        report: Report,
        ok: bool,
        vms: usize,
        out: &mut Output,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if let Some(load) = report.load {
            entry.reported_load = Some((load, ctx.at));
            entry.speed.set_stated(load.work_percent, ctx.at);
            self.states_speed |= load.work_percent.is_some();
        }
        if let Some(wait) = report.pause {
            let pause = Pause::new(wait, ctx.at, ctx.entropy);
            entry.pause.get_or_insert(pause).extend(pause);
            out.log(Record::new("target_pause").with("target", id).with("wait", wait));
        }
        if report.is_leaving {
            self.record_leaving(ctx, id, out);
        }
        self.record_coldness(ctx, id, report.cold, out);
        self.record_limit(ctx, id, report.limit, ok, vms, out);
    }

    /// Records that a target answered, and whether it succeeded.
    pub fn record_answer(&mut self, id: &TargetId, ok: bool, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health.record_answer(ok, now);
            entry.record_found(self.cold.slow_start(&entry.target), now);
            if ok && entry.pause.as_mut().is_some_and(|pause| pause.record_answer(now)) {
                entry.pause = None;
            }
            self.data_centres.record_answer(&entry.target.data_centre);
        }
    }

    /// Records that a target could not be reached or did not answer in time.
    pub fn record_unreachable(&mut self, id: &TargetId, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.health.record_unreachable(now);
        entry.failures = entry.failures.saturating_add(1);
        self.data_centres.record_failure(&entry.target.data_centre, now);
    }

    /// Returns the crashes of a target whose process is gone: one for each request that it
    /// has recently broken off.
    pub fn take_crashes(&mut self, id: &TargetId, now: Moment) -> Vec<CrashedRequest> {
        self.entries.get_mut(id).map_or_else(Vec::new, |entry| entry.take_crashes(now))
    }

    /// Returns true if a target has recently broken off requests, so that a check can tell
    /// whether it crashed.
    pub fn has_interrupted(&self, id: &TargetId, now: Moment) -> bool {
        let is_recent = |it: &Interruption| now.since(it.at) < CRASH_SUSPICION_TIME;
        self.entries.get(id).is_some_and(|entry| entry.interrupted.iter().any(is_recent))
    }

    /// Records that a request was interrupted at a target. It counts as a crash
    /// if the target turns out to be down.
    pub fn record_interruption(&mut self, id: &TargetId, interruption: Interruption) {
        if let Some(entry) = self.entries.get_mut(id) {
            let now = interruption.at;
            entry.interrupted.retain(|it| now.since(it.at) < CRASH_SUSPICION_TIME);
            entry.interrupted.push(interruption);
            entry.failures = entry.failures.saturating_add(1);
            entry.health.record_answer(false, now);
        }
    }

    /// Records that another target answers at this target's address.
    pub fn mark_moved(&mut self, id: &TargetId, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.moved_at = Some(now);
        }
    }

    /// Returns the targets that failed since the last heartbeat, and resets
    /// their failure counts.
    pub fn take_failures(&mut self, now: Moment) -> Vec<Failure> {
        let mut failed = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| 0 < entry.failures) {
            let failures = std::mem::take(&mut entry.failures);
            let down = entry.health.is_paused(now);
            failed.push(Failure { target: entry.hash, count: failures, down });
        }
        failed
    }

    /// Applies failures of targets that a peer reported.
    pub fn apply_peer_failures(&mut self, peer_failures: &[Failure], now: Moment) {
        if peer_failures.is_empty() {
            return;
        }
        let peer_failures: HashMap<_, _> =
            peer_failures.iter().map(|failure| (failure.target, failure)).collect();
        for entry in self.entries.values_mut() {
            if let Some(failure) = peer_failures.get(&entry.hash) {
                entry.health.record_peer_report(failure.count, failure.down, now);
            }
        }
    }

    /// Returns this VM's load at each target that has requests of this VM, for
    /// its heartbeat.
    pub fn loads(&self) -> Vec<heartbeat::Load> {
        let busy = self.entries.values().filter(|entry| 0 < entry.requests);
        busy.map(|entry| heartbeat::Load {
            target: entry.hash,
            requests: entry.requests,
            backlog: entry.backlog,
            memory: entry.memory,
        })
        .collect()
    }
}

fn registration_record(id: &TargetId, target: &Target, version: Position) -> Record {
    let status = match target.status {
        Status::Ready => "ready",
        Status::Leaving => "leaving",
    };
    Record::new("target")
        .with("target", id)
        .with("pool", &target.pool)
        .with("address", target.address)
        .with("data_centre", &target.data_centre)
        .with("standing", status)
        .with("version", version)
}

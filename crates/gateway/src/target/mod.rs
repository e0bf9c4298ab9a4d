//! Targets: who may be sent to, their load and health.
//!
//! A target's load is what this VM has there, counted exactly, and what its
//! peers last said that they have. Where beats are missing, the load that the
//! target itself reports with its answers serves instead, while it is fresh.

mod centre;

use std::collections::{BTreeMap, HashMap};

use briarshift_logging::Record;
use briarshift_routing::health::Health;
use briarshift_routing::selection::Candidate;
use briarshift_store::Version;
use briarshift_store::registry::{Name, Row, Status, Target, Value};
use briarshift_units::{DataCentre, Fingerprint, Moment, PoolId, TargetId};
use briarshift_wire::heartbeat::{Crash, Failure, Load, TargetHash};

use crate::limit::{
    CRASH_SUSPICION_TIME, MAX_REPORT_AGE, MOVED_TARGET_PAUSE, UNCONFIRMED_TARGET_TTL,
};
use crate::peer::Loads;
use crate::sync::Update;
use crate::{Context, Effect, Output};

/// What a target says of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// One target as this VM believes it to be.
#[derive(Debug, Clone)]
pub struct Entry {
    /// As it registered itself.
    pub target: Target,
    /// Its name in beats.
    pub mark: TargetHash,
    /// Requests of this VM that it holds.
    pub requests: u32,
    /// Prompt tokens of these that it has still to read.
    pub backlog: u64,
    /// What its answers tell.
    pub health: Health,
    version: Version,
    report: Option<(Report, Moment)>,
    /// Its registration ended at this moment, while the store was in trouble.
    ended: Option<Moment>,
    /// Another target answered at its address at this moment.
    moved: Option<Moment>,
    suspects: Vec<(Fingerprint, Moment)>,
    /// Failures since the last beat.
    failures: u8,
}

impl Entry {
    fn new(id: &TargetId, target: Target, version: Version) -> Self {
        Self {
            target,
            mark: TargetHash::of(id.as_str()),
            requests: 0,
            backlog: 0,
            health: Health::default(),
            version,
            report: None,
            ended: None,
            moved: None,
            suspects: Vec::new(),
            failures: 0,
        }
    }

    /// What it last said of its load, if that is fresh.
    pub fn report(&self, now: Moment) -> Option<Report> {
        let fresh = self.report.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE);
        fresh.map(|(report, _)| report)
    }

    /// Requests that it holds from all VMs, and tokens still to be read there.
    fn load(&self, glance: &Glance<'_>) -> (u32, u64) {
        let told = glance.others.at(self.mark);
        let counted = self.requests.saturating_add(told.requests);
        let backlog = self.backlog.saturating_add(told.backlog);
        if glance.complete {
            return (counted, backlog);
        }
        let reported = self.report(glance.now).map_or(0, |report| report.running + report.waiting);
        (counted.max(reported), backlog)
    }

    fn takes_work(&self, now: Moment) -> bool {
        self.target.status == Status::Ready && self.ended.is_none() && !self.has_moved(now)
    }

    fn has_moved(&self, now: Moment) -> bool {
        self.moved.is_some_and(|at| now.since(at) < MOVED_TARGET_PAUSE)
    }

    /// Strikes against the requests that broke off here shortly before.
    fn struck(&mut self, now: Moment) -> Vec<Crash> {
        let target = self.mark;
        let suspects = std::mem::take(&mut self.suspects).into_iter();
        let late = suspects.filter(|(_, at)| now.since(*at) < CRASH_SUSPICION_TIME);
        late.map(|(request, _)| Crash { request, target }).collect()
    }
}

/// From where and when targets are looked at.
#[derive(Debug, Clone, Copy)]
pub struct Glance<'a> {
    /// The VM's data centre.
    pub data_centre: &'a DataCentre,
    /// What peers told that they have.
    pub others: &'a Loads,
    /// Whether all peers are heard.
    pub complete: bool,
    /// The moment.
    pub now: Moment,
}

/// All targets.
#[derive(Debug, Default)]
pub struct State {
    // Ordered, so that equal events give equal decisions.
    entries: BTreeMap<TargetId, Entry>,
    marks: HashMap<TargetHash, TargetId>,
    centres: centre::State,
}

impl State {
    /// A target by its id.
    pub fn get(&self, id: &TargetId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// A target by its name in beats.
    pub fn marked(&self, mark: TargetHash) -> Option<(&TargetId, &Entry)> {
        self.entries.get_key_value(self.marks.get(&mark)?)
    }

    /// Targets that take new work.
    pub fn ready(&self, now: Moment) -> usize {
        self.entries.values().filter(|entry| entry.takes_work(now)).count()
    }

    /// Takes in rows from the store. Returns the strikes of targets that died.
    pub fn update(
        &mut self,
        ctx: &Context<'_>,
        update: &Update,
        troubled: bool,
        out: &mut Output,
    ) -> Vec<Crash> {
        let mut strikes = Vec::new();
        if update.whole {
            let named =
                |id: &TargetId| update.rows.iter().any(|row| row.name == Name::Target(id.clone()));
            let missing: Vec<_> = self.entries.keys().filter(|id| !named(id)).cloned().collect();
            for id in missing {
                self.remove(ctx, &id, troubled, out, &mut strikes);
            }
        }
        for row in &update.rows {
            let Name::Target(id) = &row.name else { continue };
            match &row.value {
                Some(Value::Target(target)) => {
                    self.put(ctx, id, target, row, out, &mut strikes);
                }
                _ => {
                    let known = self.entries.get(id).map(|entry| entry.version);
                    if known.is_some_and(|known| known < row.version) {
                        self.remove(ctx, id, troubled, out, &mut strikes);
                    }
                }
            }
        }
        strikes
    }

    fn put(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        target: &Target,
        row: &Row,
        out: &mut Output,
        strikes: &mut Vec<Crash>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else {
            out.log(registered(id, target, row.version));
            let entry = Entry::new(id, target.clone(), row.version);
            self.marks.insert(entry.mark, id.clone());
            self.entries.insert(id.clone(), entry);
            return;
        };
        // A row may repeat what is known, or be of an earlier start.
        if row.version < entry.version || target.start < entry.target.start {
            return;
        }
        let changed = entry.target.status != target.status
            || entry.target.address != target.address
            || entry.target.start != target.start;
        if changed {
            out.log(registered(id, target, row.version));
        }
        if entry.target.start != target.start || entry.target.address != target.address {
            strikes.extend(entry.struck(ctx.at));
            out.push(Effect::CloseConnections(entry.target.address));
            let (requests, backlog) = (entry.requests, entry.backlog);
            *entry = Entry { requests, backlog, ..Entry::new(id, target.clone(), row.version) };
            return;
        }
        entry.target = target.clone();
        entry.version = row.version;
        entry.ended = None;
        entry.moved = None;
    }

    fn remove(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        troubled: bool,
        out: &mut Output,
        strikes: &mut Vec<Crash>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if troubled {
            if entry.ended.is_none() {
                entry.ended = Some(ctx.at);
                out.log(Record::new("target_unsure").with("target", id));
            }
            return;
        }
        strikes.extend(entry.struck(ctx.at));
        out.log(Record::new("target_gone").with("target", id).with("requests", entry.requests));
        out.push(Effect::CloseConnections(entry.target.address));
        self.marks.remove(&entry.mark);
        self.entries.remove(id);
    }

    /// Drops targets whose registration has not come back.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.entries.retain(|id, entry| {
            let gone = entry.ended.is_some_and(|at| UNCONFIRMED_TARGET_TTL <= ctx.at.since(at));
            if gone {
                out.log(
                    Record::new("target_gone")
                        .with("target", id)
                        .with("after", UNCONFIRMED_TARGET_TTL),
                );
                out.push(Effect::CloseConnections(entry.target.address));
                self.marks.remove(&entry.mark);
            }
            !gone
        });
    }

    /// Notes the data centres whose VMs are not heard, and since when.
    pub fn silent(&mut self, silent: BTreeMap<DataCentre, Moment>, out: &mut Output) {
        self.centres.silent(silent, out);
    }

    /// Targets of a pool that a new request may go to, without those named in
    /// `tried`. Targets whose registration is in doubt come only if no other
    /// is left.
    pub fn seats<'a>(
        &'a self,
        glance: &Glance<'_>,
        pool: &PoolId,
        tried: &[TargetId],
    ) -> Vec<Candidate<'a>> {
        let now = glance.now;
        let of_pool = |(id, entry): &(&'a TargetId, &'a Entry)| {
            entry.target.pool == *pool && !tried.contains(id)
        };
        let seat = |(id, entry): (&'a TargetId, &'a Entry)| self.seat(glance, id, entry);
        let all = self.entries.iter().filter(of_pool);
        let sure: Vec<_> =
            all.clone().filter(|(_, entry)| entry.takes_work(now)).map(seat).collect();
        if !sure.is_empty() {
            return sure;
        }
        let unsure = |(_, entry): &(&TargetId, &Entry)| {
            entry.target.status == Status::Ready && !entry.has_moved(now)
        };
        all.filter(unsure).map(seat).collect()
    }

    fn seat<'a>(&self, glance: &Glance<'_>, id: &'a TargetId, entry: &'a Entry) -> Candidate<'a> {
        let Glance { data_centre, now, .. } = *glance;
        let (load, backlog) = entry.load(glance);
        Candidate {
            name: id.as_str(),
            load,
            backlog,
            slots: entry.target.slots,
            local: entry.target.data_centre == *data_centre,
            healthy: !entry.health.is_paused(now)
                && !self.centres.is_cut(&entry.target.data_centre),
            error_rate: entry.health.error_rate(now),
        }
    }

    /// A request goes to a target, with prompt tokens to read.
    pub fn sent(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.requests += 1;
            entry.backlog += tokens;
        }
    }

    /// A target has read a request's prompt.
    pub fn begun(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.backlog = entry.backlog.saturating_sub(tokens);
        }
    }

    /// A request has left a target.
    pub fn left(&mut self, id: &TargetId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.requests = entry.requests.saturating_sub(1);
            entry.backlog = entry.backlog.saturating_sub(tokens);
        }
    }

    /// A target told its load.
    pub fn reported(&mut self, id: &TargetId, report: Report, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.report = Some((report, now));
        }
    }

    /// A target answered, well or not.
    pub fn answered(&mut self, id: &TargetId, well: bool, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health.record_answer(well, now);
            self.centres.answered(&entry.target.data_centre);
        }
    }

    /// A target could not be reached or fell silent. Returns the strikes of
    /// requests that broke off there shortly before.
    pub fn unreachable(&mut self, id: &TargetId, now: Moment) -> Vec<Crash> {
        let Some(entry) = self.entries.get_mut(id) else { return Vec::new() };
        entry.health.record_unreachable(now);
        entry.failures = entry.failures.saturating_add(1);
        self.centres.failed(&entry.target.data_centre, now);
        entry.struck(now)
    }

    /// A request broke off at a target; it is struck if the target turns out
    /// to have died.
    pub fn broke(&mut self, id: &TargetId, request: Fingerprint, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.suspects.retain(|(_, at)| now.since(*at) < CRASH_SUSPICION_TIME);
            entry.suspects.push((request, now));
            entry.failures = entry.failures.saturating_add(1);
            entry.health.record_answer(false, now);
        }
    }

    /// Another target answers at this one's address.
    pub fn moved(&mut self, id: &TargetId, now: Moment) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.moved = Some(now);
        }
    }

    /// Targets that failed since the last beat, for the next one.
    pub fn troubles(&mut self, now: Moment) -> Vec<Failure> {
        let mut troubles = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| 0 < entry.failures) {
            let failures = std::mem::take(&mut entry.failures);
            let down = entry.health.is_paused(now);
            troubles.push(Failure { target: entry.mark, count: failures, down });
        }
        troubles
    }

    /// A peer told of targets that failed it.
    pub fn told(&mut self, troubles: &[Failure], now: Moment) {
        if troubles.is_empty() {
            return;
        }
        let troubles: HashMap<_, _> =
            troubles.iter().map(|trouble| (trouble.target, trouble)).collect();
        for entry in self.entries.values_mut() {
            if let Some(trouble) = troubles.get(&entry.mark) {
                entry.health.record_peer_report(trouble.count, trouble.down, now);
            }
        }
    }

    /// What this VM has at targets, for its beat.
    pub fn loads(&self) -> Vec<Load> {
        let busy = self.entries.values().filter(|entry| 0 < entry.requests);
        busy.map(|entry| Load {
            target: entry.mark,
            requests: entry.requests,
            backlog: entry.backlog,
        })
        .collect()
    }
}

fn registered(id: &TargetId, target: &Target, version: Version) -> Record {
    let standing = match target.status {
        Status::Ready => "ready",
        Status::Leaving => "leaving",
    };
    Record::new("target")
        .with("target", id)
        .with("pool", &target.pool)
        .with("address", target.address)
        .with("data_centre", &target.data_centre)
        .with("standing", standing)
        .with("version", version.0)
}

//! One target as this VM believes it to be.

use std::net::SocketAddr;

use briarshift_store::{ListedVm, Status};
use briarshift_target::LoadReport;
use briarshift_units::{DataCentre, Moment, PoolId, Span, StartNumber, TargetId};
use briarshift_wire::gossip::{Leaving, Load};

use crate::Damper;

/// Failed polls in a row that make a target dead.
pub(super) const MAX_FAILURES: u32 = 2;
/// Reports with an older start number that are put down to answers crossing.
const MAX_OLDER: u32 = 3;
/// How long the platform's list may lag.
const LIST_LAG: Span = Span::from_secs(10);
/// How long the list must call a target live before its own word that the
/// target was leaving is void.
const LIST_RECALL: Span = Span::from_secs(30);

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Its pool.
    pub pool: PoolId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its last report; `None` before the first.
    pub report: Option<LoadReport>,
    /// When the last report was made, as far as this VM can tell.
    pub reported_at: Moment,
    /// Start number for which it is leaving. Sticky: only a new start clears
    /// it.
    pub leaving: Option<StartNumber>,
    pub(super) leaving_by: Leaving,
    pub(super) down: bool,
    pub(super) failures: u32,
    pub(super) suspected: bool,
    pub(super) held: bool,
    pub(super) polled_at: Option<Moment>,
    pub(super) awaited: bool,
    pub(super) duty: bool,
    pub(super) news: u32,
    pub(super) changed_at: Moment,
    pub(super) missing_since: Option<Moment>,
    damper: Damper,
    older: u32,
    started_at: Moment,
    standing: Option<Status>,
    live_since: Option<Moment>,
}

/// What was seen of a target, here or by a peer.
#[derive(Debug)]
pub(super) struct Sight {
    pub report: LoadReport,
    pub at: Moment,
    pub leaving: Leaving,
    pub down: bool,
}

/// What of a target is news when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Face {
    start: StartNumber,
    leaving: Leaving,
    down: bool,
}

impl Target {
    pub(super) fn new(id: TargetId, pool: PoolId, row: &ListedVm, at: Moment) -> Self {
        Self {
            id,
            pool,
            data_centre: row.data_centre.clone(),
            address: row.address,
            report: None,
            reported_at: at,
            leaving: None,
            leaving_by: Leaving::No,
            down: false,
            failures: 0,
            suspected: false,
            held: false,
            polled_at: None,
            awaited: false,
            duty: false,
            news: 0,
            changed_at: at,
            missing_since: None,
            damper: Damper::default(),
            older: 0,
            started_at: at,
            standing: None,
            live_since: None,
        }
    }

    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        self.report.is_some() && self.why_not().is_none()
    }

    /// Whether this VM is the one that polls it.
    pub fn is_polled_here(&self) -> bool {
        self.duty
    }

    /// Start number of its process.
    pub fn start(&self) -> StartNumber {
        self.report.as_ref().map_or(StartNumber(0), |report| report.start)
    }

    /// Why it takes no new work, for the log.
    pub(super) fn why_not(&self) -> Option<&'static str> {
        let reasons = [
            (self.leaving.is_some(), "leaving"),
            (self.suspected, "suspected"),
            (MAX_FAILURES <= self.failures, "no_answer"),
            (self.down, "down"),
            (self.held, "flapping"),
            (self.report.is_none(), "no_report"),
        ];
        reasons.into_iter().find(|(holds, _)| *holds).map(|(_, why)| why)
    }

    pub(super) fn face(&self) -> Face {
        Face { start: self.start(), leaving: self.leaving_by, down: self.down }
    }

    /// Takes a report that this VM read itself. Returns false if it must be
    /// one that crossed a newer one.
    pub(super) fn answered(&mut self, report: LoadReport, at: Moment) -> bool {
        self.awaited = false;
        self.older = if report.start < self.start() { self.older + 1 } else { 0 };
        if 0 < self.older && self.older < MAX_OLDER {
            return false;
        }
        let was_out = self.suspected || MAX_FAILURES <= self.failures;
        self.suspected = false;
        self.failures = 0;
        let leaving = if report.leaving { Leaving::Reported } else { Leaving::No };
        let restarted = self.see(Sight { report, at, leaving, down: false });
        if was_out && !restarted {
            self.back(at);
        }
        true
    }

    /// Takes the failure of a poll.
    pub(super) fn failed(&mut self, at: Moment, authority: bool) {
        self.awaited = false;
        let step = if self.suspected { MAX_FAILURES } else { 1 };
        self.suspected = false;
        self.failures = self.failures.saturating_add(step);
        if authority && MAX_FAILURES <= self.failures && self.report.is_some() {
            self.down = true;
            self.reported_at = at;
        }
    }

    /// Takes a peer's word.
    pub(super) fn told(&mut self, load: &Load, at: Moment) {
        if load.start < self.start() {
            return;
        }
        let seen = Moment(at.0.saturating_sub(Span::from_millis(load.age_ms.into()).0));
        let started = self.start() < load.start;
        if !started {
            self.depart(load.leaving, load.start, at);
        }
        if !started && seen <= self.reported_at {
            return;
        }
        let report = LoadReport {
            start: load.start,
            running: load.running,
            waiting: load.waiting,
            leaving: load.leaving == Leaving::Reported,
            models: load.models.clone(),
            fencing: load.fencing,
        };
        self.see(Sight { report, at: seen, leaving: load.leaving, down: load.down });
        if started {
            self.failures = 0;
            self.suspected = false;
        }
    }

    /// Takes up what was seen. Returns whether it is a new process.
    fn see(&mut self, sight: Sight) -> bool {
        let Sight { report, at, leaving, down } = sight;
        let (first, started) = (self.report.is_none(), self.start() < report.start);
        if started {
            self.started_at = at;
        }
        match self.leaving {
            Some(StartNumber(0)) if first => self.leaving = Some(report.start),
            Some(start) if start < report.start => self.stay(),
            _ => {}
        }
        self.depart(leaving, report.start, at);
        let was_down = std::mem::replace(&mut self.down, down);
        self.report = Some(report);
        self.reported_at = at;
        let restarted = started && !first;
        if restarted || (was_down && !down) {
            self.back(at);
        }
        restarted
    }

    fn back(&mut self, at: Moment) {
        self.damper.record_return(at);
        self.held = self.damper.is_suppressed(at);
    }

    /// Whether its hold has ended by now.
    pub(super) fn release(&mut self, at: Moment) -> bool {
        let released = self.held && !self.damper.is_suppressed(at);
        self.held &= !released;
        released
    }

    fn depart(&mut self, by: Leaving, start: StartNumber, at: Moment) {
        let recalled = by == Leaving::Listed && self.is_recalled(at);
        if by <= self.leaving_by || recalled {
            return;
        }
        self.leaving = Some(start);
        self.leaving_by = by;
    }

    fn stay(&mut self) {
        self.leaving = None;
        self.leaving_by = Leaving::No;
    }

    fn is_recalled(&self, at: Moment) -> bool {
        self.live_since.is_some_and(|since| LIST_RECALL <= at.since(since))
    }

    /// Takes its row of the platform's list.
    pub(super) fn listed(&mut self, row: &ListedVm, at: Moment) {
        self.missing_since = None;
        if self.address != row.address {
            // Another VM has taken the id: nothing seen of the old one holds.
            self.address = row.address;
            self.report = None;
            self.failures = 0;
            self.suspected = false;
            self.down = false;
            self.awaited = false;
        }
        let before = self.standing.replace(row.status);
        if row.status == Status::Live {
            self.live_since.get_or_insert(at);
            if self.leaving_by == Leaving::Listed && self.is_recalled(at) {
                self.stay();
            }
            return;
        }
        self.live_since = None;
        // A list that lags may still speak of the process before a restart.
        let settled = LIST_LAG <= at.since(self.started_at);
        if before != Some(Status::Leaving) || settled {
            self.depart(Leaving::Listed, self.start(), at);
        }
    }

    /// Its load for peers; `None` before the first report.
    pub(super) fn load(&self, at: Moment) -> Option<Load> {
        let report = self.report.as_ref()?;
        Some(Load {
            target: self.id.clone(),
            start: report.start,
            running: report.running,
            waiting: report.waiting,
            leaving: self.leaving_by,
            down: self.down,
            models: report.models.clone(),
            fencing: report.fencing,
            age_ms: u32::try_from(at.since(self.reported_at).as_millis() + 1).unwrap_or(u32::MAX),
        })
    }
}

//! The state of one target, as this VM knows it.

use std::net::SocketAddr;

use briarshift_store::{ListedVm, Status};
use briarshift_target::LoadReport;
use briarshift_units::{DataCentre, Moment, PoolId, Span, StartNumber, TargetId};
use briarshift_wire::gossip::{Leaving, Load};

use crate::Damper;

/// Number of consecutive failed polls after which a target counts as down.
pub(super) const MAX_FAILURES: u32 = 2;
/// A report with an older start number is ignored as reordered, unless it is at
/// least the third one in a row.
const MAX_OLDER_REPORTS: u32 = 3;
/// Longest lag of the platform's list.
const LIST_LAG: Span = Span::from_secs(10);
/// How long the list must contain a target as live before the list's own earlier
/// entry as leaving is void.
const LIST_OVERRIDE: Span = Span::from_secs(30);

/// A target and its last known state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's id.
    pub id: TargetId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The last report, or `None` before the first.
    pub report: Option<LoadReport>,
    /// When the last report was made, as far as this VM knows.
    pub reported_at: Moment,
    /// Start number of the process that is leaving. Only a new start clears it.
    pub leaving: Option<StartNumber>,
    /// How this VM knows that the target is leaving.
    pub(super) leaving_source: Leaving,
    pub(super) down: bool,
    /// Number of consecutive failed polls.
    pub(super) failures: u32,
    /// Whether a request could not reach it since the last poll.
    pub(super) suspected: bool,
    /// Whether the damper keeps it out of use.
    pub(super) suppressed: bool,
    pub(super) polled_at: Option<Moment>,
    pub(super) poll_pending: bool,
    /// Whether this VM is the one that polls it.
    pub(super) polled_here: bool,
    /// Number of gossip messages that its last change is still added to.
    pub(super) sends_left: u32,
    pub(super) changed_at: Moment,
    pub(super) unlisted_since: Option<Moment>,
    damper: Damper,
    /// Number of consecutive reports with an older start number.
    older_reports: u32,
    started_at: Moment,
    listed_status: Option<Status>,
    listed_live_since: Option<Moment>,
}

/// The state of a target as observed by this VM or a peer.
#[derive(Debug)]
pub(super) struct Observation {
    pub report: LoadReport,
    pub at: Moment,
    pub leaving: Leaving,
    pub down: bool,
}

/// The state of a target whose changes are sent to peers first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Advertised {
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
            leaving_source: Leaving::No,
            down: false,
            failures: 0,
            suspected: false,
            suppressed: false,
            polled_at: None,
            poll_pending: false,
            polled_here: false,
            sends_left: 0,
            changed_at: at,
            unlisted_since: None,
            damper: Damper::default(),
            older_reports: 0,
            started_at: at,
            listed_status: None,
            listed_live_since: None,
        }
    }

    /// Returns true if the target takes new work.
    pub fn takes_work(&self) -> bool {
        self.report.is_some() && self.unavailable_reason().is_none()
    }

    /// Returns true if this VM is the one that polls the target.
    pub fn is_polled_here(&self) -> bool {
        self.polled_here
    }

    /// Returns the start number of the target's process, 0 before the first
    /// report.
    pub fn start(&self) -> StartNumber {
        self.report.as_ref().map_or(StartNumber(0), |report| report.start)
    }

    /// Returns why the target takes no new work, as written to the log.
    pub(super) fn unavailable_reason(&self) -> Option<&'static str> {
        let reasons = [
            (self.leaving.is_some(), "leaving"),
            (self.suspected, "suspected"),
            (MAX_FAILURES <= self.failures, "no_answer"),
            (self.down, "down"),
            (self.suppressed, "flapping"),
            (self.report.is_none(), "no_report"),
        ];
        reasons.into_iter().find(|(applies, _)| *applies).map(|(_, why)| why)
    }

    pub(super) fn advertised(&self) -> Advertised {
        Advertised { start: self.start(), leaving: self.leaving_source, down: self.down }
    }

    /// Handles a report that this VM read itself. Returns false if the report is
    /// ignored as reordered.
    pub(super) fn handle_report(&mut self, report: LoadReport, at: Moment) -> bool {
        self.poll_pending = false;
        self.older_reports = if report.start < self.start() { self.older_reports + 1 } else { 0 };
        if 0 < self.older_reports && self.older_reports < MAX_OLDER_REPORTS {
            return false;
        }
        let was_unavailable = self.suspected || MAX_FAILURES <= self.failures;
        self.suspected = false;
        self.failures = 0;
        let leaving = if report.leaving { Leaving::Reported } else { Leaving::No };
        let restarted = self.observe(Observation { report, at, leaving, down: false });
        if was_unavailable && !restarted {
            self.record_return(at);
        }
        true
    }

    /// Handles a failed poll. Only with `may_declare_down` is the target reported
    /// to peers as down.
    pub(super) fn handle_poll_failure(&mut self, at: Moment, may_declare_down: bool) {
        self.poll_pending = false;
        // A suspected target counts as down after a single failed poll.
        let added = if self.suspected { MAX_FAILURES } else { 1 };
        self.suspected = false;
        self.failures = self.failures.saturating_add(added);
        if may_declare_down && MAX_FAILURES <= self.failures && self.report.is_some() {
            self.down = true;
            self.reported_at = at;
        }
    }

    /// Handles the target's load as sent by a peer.
    pub(super) fn handle_peer_report(&mut self, load: &Load, at: Moment) {
        if load.start < self.start() {
            return;
        }
        let observed_at = Moment(at.0.saturating_sub(Span::from_millis(load.age_ms.into()).0));
        let is_new_start = self.start() < load.start;
        if !is_new_start {
            self.mark_leaving(load.leaving, load.start, at);
        }
        if !is_new_start && observed_at <= self.reported_at {
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
        self.observe(Observation {
            report,
            at: observed_at,
            leaving: load.leaving,
            down: load.down,
        });
        if is_new_start {
            self.failures = 0;
            self.suspected = false;
        }
    }

    /// Applies an observation. Returns true if the target was restarted.
    fn observe(&mut self, observation: Observation) -> bool {
        let Observation { report, at, leaving, down } = observation;
        let (first, is_new_start) = (self.report.is_none(), self.start() < report.start);
        if is_new_start {
            self.started_at = at;
        }
        match self.leaving {
            Some(StartNumber(0)) if first => self.leaving = Some(report.start),
            Some(start) if start < report.start => self.clear_leaving(),
            _ => {}
        }
        self.mark_leaving(leaving, report.start, at);
        let was_down = std::mem::replace(&mut self.down, down);
        self.report = Some(report);
        self.reported_at = at;
        let restarted = is_new_start && !first;
        if restarted || (was_down && !down) {
            self.record_return(at);
        }
        restarted
    }

    /// Records that the target came back, which may suppress it for a while.
    fn record_return(&mut self, at: Moment) {
        self.damper.record_return(at);
        self.suppressed = self.damper.is_suppressed(at);
    }

    /// Puts the target back into use if its suppression has ended, and returns
    /// true if so.
    pub(super) fn end_suppression(&mut self, at: Moment) -> bool {
        let ended = self.suppressed && !self.damper.is_suppressed(at);
        self.suppressed &= !ended;
        ended
    }

    /// Marks the target as leaving, unless that is known already from the same or
    /// a more reliable source, or the list contained it as live for long enough.
    fn mark_leaving(&mut self, by: Leaving, start: StartNumber, at: Moment) {
        let listed_live = by == Leaving::Listed && self.is_listed_live(at);
        if by <= self.leaving_source || listed_live {
            return;
        }
        self.leaving = Some(start);
        self.leaving_source = by;
    }

    fn clear_leaving(&mut self) {
        self.leaving = None;
        self.leaving_source = Leaving::No;
    }

    /// Returns true if the list has contained the target as live for long enough
    /// to override its own entry as leaving.
    fn is_listed_live(&self, at: Moment) -> bool {
        self.listed_live_since.is_some_and(|since| LIST_OVERRIDE <= at.since(since))
    }

    /// Handles the target's entry in the platform's list.
    pub(super) fn handle_listing(&mut self, row: &ListedVm, at: Moment) {
        self.unlisted_since = None;
        if self.address != row.address {
            // Another VM has taken over the id, so the old state is void.
            self.address = row.address;
            self.report = None;
            self.failures = 0;
            self.suspected = false;
            self.down = false;
            self.poll_pending = false;
        }
        let previous_status = self.listed_status.replace(row.status);
        if row.status == Status::Live {
            self.listed_live_since.get_or_insert(at);
            if self.leaving_source == Leaving::Listed && self.is_listed_live(at) {
                self.clear_leaving();
            }
            return;
        }
        self.listed_live_since = None;
        // A list that lags may still describe the process before a restart.
        let list_is_current = LIST_LAG <= at.since(self.started_at);
        if previous_status != Some(Status::Leaving) || list_is_current {
            self.mark_leaving(Leaving::Listed, self.start(), at);
        }
    }

    /// Returns the target's load for gossip, or `None` before the first report.
    pub(super) fn to_load(&self, at: Moment) -> Option<Load> {
        let report = self.report.as_ref()?;
        Some(Load {
            target: self.id.clone(),
            start: report.start,
            running: report.running,
            waiting: report.waiting,
            leaving: self.leaving_source,
            down: self.down,
            models: report.models.clone(),
            fencing: report.fencing,
            age_ms: u32::try_from(at.since(self.reported_at).as_millis() + 1).unwrap_or(u32::MAX),
        })
    }
}

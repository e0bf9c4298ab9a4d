//! Targets as this VM believes them to be.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_platform::{Listed, Role, Standing};
use briarshift_target::{Failure, Report};
use briarshift_units::{DataCentre, Moment, PoolId, Span, Start, TargetId};

use crate::{Context, Effect, Output, Record};

/// Time between two reads of the platform's list.
const LIST_INTERVAL: Span = Span::from_secs(1);
/// Time between two reads of a target's load.
const POLL_INTERVAL: Span = Span::from_millis(500);
/// Failed polls in a row that make a target dead.
const MAX_FAILURES: u32 = 2;

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
    pub report: Option<Report>,
    /// When the last report arrived.
    pub reported_at: Moment,
    /// Start number for which it is leaving. Sticky: only a new start clears
    /// it.
    pub leaving: Option<Start>,
    failures: u32,
    polled_at: Option<Moment>,
}

impl Target {
    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        self.report.is_some() && self.leaving.is_none() && self.failures < MAX_FAILURES
    }

    /// Start number of its process.
    pub fn start(&self) -> Start {
        self.report.as_ref().map_or(Start(0), |report| report.start)
    }
}

/// All known targets.
#[derive(Debug, Default)]
pub struct State {
    targets: BTreeMap<TargetId, Target>,
    listed_at: Option<Moment>,
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
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if self.listed_at.is_none_or(|at| LIST_INTERVAL <= ctx.at.since(at)) {
            self.listed_at = Some(ctx.at);
            out.push(Effect::List);
        }
        for target in self.targets.values_mut() {
            if target.polled_at.is_some_and(|at| ctx.at.since(at) < POLL_INTERVAL) {
                continue;
            }
            target.polled_at = Some(ctx.at);
            out.push(Effect::Poll { target: target.id.clone(), address: target.address });
        }
    }

    /// Takes the platform's list: it proposes targets, polls decide.
    pub fn list(&mut self, rows: &[Listed]) {
        for row in rows {
            let Role::Target { pool } = &row.role else { continue };
            let Ok(id) = row.vm.as_str().parse::<TargetId>() else { continue };
            let target = self.targets.entry(id.clone()).or_insert_with(|| Target {
                id,
                pool: pool.clone(),
                data_centre: row.data_centre.clone(),
                address: row.address,
                report: None,
                reported_at: Moment::default(),
                leaving: None,
                failures: 0,
                polled_at: None,
            });
            if target.address != row.address {
                target.address = row.address;
                target.report = None;
            }
            if row.standing == Standing::Leaving {
                target.leaving.get_or_insert(target.start());
            }
        }
    }

    /// Takes a target's report, or its failure to report.
    pub fn load(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        result: Result<Report, Failure>,
        out: &mut Output,
    ) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let took_work = target.takes_work();
        match result {
            Ok(report) => {
                target.failures = 0;
                target.reported_at = ctx.at;
                if target.leaving.is_some_and(|start| start < report.start) {
                    target.leaving = None;
                }
                if report.leaving {
                    target.leaving = Some(report.start);
                }
                target.report = Some(report);
            }
            Err(_) => target.failures = target.failures.saturating_add(1),
        }
        if took_work != target.takes_work() {
            let line = Record::new("target").with("target", id).with("pool", &target.pool);
            out.log(line.with("takes_work", target.takes_work()).with("start", target.start()));
        }
    }

    /// A request found the target unreachable or dead.
    pub fn suspect(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.failures = MAX_FAILURES;
        }
    }
}

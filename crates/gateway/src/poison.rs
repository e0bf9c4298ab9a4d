//! Requests that crash the targets that run them.
//!
//! A request is known by a hash of its account, path and body. Each target
//! that died while it ran counts once, whichever VM saw it: strikes travel in
//! beats. A request with enough strikes is refused everywhere.

use std::collections::HashMap;

use briarshift_logging::Record;
use briarshift_units::{Fingerprint, Moment};
use briarshift_wire::heartbeat::{Crash, TargetHash};

use crate::limit::{
    CRASH_SEND_TIME, CRASH_TTL, MAX_HEARTBEAT_CRASHES, MAX_SUSPECT_REQUESTS, POISON_CRASHES,
};
use crate::{Context, Output};

/// Strikes against requests.
#[derive(Debug, Default)]
pub struct State {
    strikes: HashMap<Fingerprint, Vec<(TargetHash, Moment)>>,
    told: Vec<(Crash, Moment)>,
}

impl State {
    /// Whether a request has crashed too many targets.
    pub fn is_poison(&self, request: Fingerprint) -> bool {
        self.strikes.get(&request).is_some_and(|marks| POISON_CRASHES <= marks.len())
    }

    /// This VM saw a target die running a request.
    pub fn strike(&mut self, ctx: &Context<'_>, strike: Crash, out: &mut Output) {
        if self.add(ctx, strike, out) {
            self.told.push((strike, ctx.at));
        }
    }

    /// A peer told of a strike.
    pub fn told(&mut self, ctx: &Context<'_>, strike: Crash, out: &mut Output) {
        self.add(ctx, strike, out);
    }

    /// Strikes to tell the peers now.
    pub fn to_tell(&self) -> Vec<Crash> {
        self.told.iter().rev().take(MAX_HEARTBEAT_CRASHES).map(|(strike, _)| *strike).collect()
    }

    /// Forgets what is old.
    pub fn tick(&mut self, ctx: &Context<'_>) {
        self.told.retain(|(_, at)| ctx.at.since(*at) < CRASH_SEND_TIME);
        self.strikes
            .retain(|_, marks| marks.last().is_some_and(|(_, at)| ctx.at.since(*at) < CRASH_TTL));
    }

    fn add(&mut self, ctx: &Context<'_>, strike: Crash, out: &mut Output) -> bool {
        if MAX_SUSPECT_REQUESTS <= self.strikes.len() && !self.strikes.contains_key(&strike.request)
        {
            out.log(Record::new("strikes_full").with("fingerprint", strike.request));
            return false;
        }
        let marks = self.strikes.entry(strike.request).or_default();
        if marks.iter().any(|(mark, _)| *mark == strike.target) {
            return false;
        }
        marks.push((strike.target, ctx.at));
        let line = Record::new("strike").with("fingerprint", strike.request);
        out.log(line.with("strikes", marks.len()));
        true
    }
}

//! Requests that crash the targets that run them.
//!
//! A request is identified by a hash of its API key, path (with the query) and
//! body. Each target that crashed while it ran the request counts once,
//! whichever VM noticed it, because VMs exchange crashes in heartbeats. A
//! request with enough crashes is refused by all VMs.

use std::collections::HashMap;

use briarshift_logging::Record;
use briarshift_units::{Fingerprint, Moment};
use briarshift_wire::heartbeat::{Crash, TargetHash};

use crate::limit::{
    CRASH_SEND_TIME, CRASH_TTL, MAX_HEARTBEAT_CRASHES, MAX_SUSPECT_REQUESTS, POISON_CRASHES,
};
use crate::{Context, Output};

/// Crashes by request, and those to send to peers.
#[derive(Debug, Default)]
pub struct State {
    crashes: HashMap<Fingerprint, Vec<(TargetHash, Moment)>>,
    outgoing: Vec<(Crash, Moment)>,
}

impl State {
    /// Returns true if a request has crashed too many targets.
    pub fn is_poison(&self, request: Fingerprint) -> bool {
        self.crashes.get(&request).is_some_and(|targets| POISON_CRASHES <= targets.len())
    }

    /// Records a target crash that this VM noticed, and reports it to the
    /// peers.
    pub fn record_crash(&mut self, ctx: &Context<'_>, crash: Crash, out: &mut Output) {
        if self.insert(ctx, crash, out) {
            self.outgoing.push((crash, ctx.at));
        }
    }

    /// Records a target crash that a peer reported.
    pub fn record_peer_crash(&mut self, ctx: &Context<'_>, crash: Crash, out: &mut Output) {
        self.insert(ctx, crash, out);
    }

    /// Returns the newest crashes for the next heartbeat.
    pub fn crashes_to_send(&self) -> Vec<Crash> {
        self.outgoing.iter().rev().take(MAX_HEARTBEAT_CRASHES).map(|(crash, _)| *crash).collect()
    }

    /// Removes expired entries.
    pub fn tick(&mut self, ctx: &Context<'_>) {
        self.outgoing.retain(|(_, at)| ctx.at.since(*at) < CRASH_SEND_TIME);
        self.crashes.retain(|_, targets| {
            targets.last().is_some_and(|(_, at)| ctx.at.since(*at) < CRASH_TTL)
        });
    }

    fn insert(&mut self, ctx: &Context<'_>, crash: Crash, out: &mut Output) -> bool {
        if MAX_SUSPECT_REQUESTS <= self.crashes.len() && !self.crashes.contains_key(&crash.request)
        {
            out.log(Record::new("strikes_full").with("fingerprint", crash.request));
            return false;
        }
        let targets = self.crashes.entry(crash.request).or_default();
        if targets.iter().any(|(target, _)| *target == crash.target) {
            return false;
        }
        targets.push((crash.target, ctx.at));
        let line = Record::new("strike").with("fingerprint", crash.request);
        out.log(line.with("strikes", targets.len()));
        true
    }
}

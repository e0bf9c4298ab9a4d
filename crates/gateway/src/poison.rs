//! Requests, and parts of prompts, that crash the targets that run them.
//!
//! A request is identified by a hash of its API key, path (with the query) and
//! body. Each start of a target that crashed while it ran the request counts once,
//! whichever VM noticed it, because VMs exchange crashes in heartbeats. A
//! request with enough crashes is refused by all VMs, even if its pool has fewer
//! targets than that. A whole answer shows that the request is sound and that its
//! targets crashed for another reason, so the crashes before it no longer count.
//!
//! Parts are found by [`briarshift_routing::blame`]. VMs exchange the crashes and
//! answers that it judges by in reports of their own, at once.

use std::collections::HashMap;

use briarshift_logging::Record;
use briarshift_routing::blame::Ledger;
use briarshift_units::{Fingerprint, Moment, PartId, PartSet};
use briarshift_wire::crash::{PromptCrash, Report};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Crash, TargetHash};

use crate::limit::{
    CRASH_REPEAT_TIME, CRASH_SEND_TIME, CRASH_TTL, MAX_CRASH_REPORT_ITEMS, MAX_HEARTBEAT_CRASHES,
    MAX_SUSPECT_PARTS, MAX_SUSPECT_REQUESTS, POISON_CRASHES,
};
use crate::peer::News;
use crate::request::Arrival;
use crate::target::CrashedRequest;
use crate::{Context, Effect, Output, peer};

/// Crashes by request and by part, and those to send to peers.
#[derive(Debug, Default)]
pub struct State {
    crashes: HashMap<Fingerprint, Vec<Seen>>,
    outgoing: Vec<(Crash, Moment)>,
    ledger: Ledger<TargetHash>,
    /// What to tell peers.
    news: News<Item>,
    /// What is refused has changed since it was last written.
    is_unsaved: bool,
}

/// A crash under a request, and when this VM learned of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    crash: Crash,
    at: Moment,
}

impl Seen {
    /// Returns true if a crash that is reported now is this one.
    fn is_same(&self, crash: Crash, now: Moment) -> bool {
        let is_repeated = crash.start.is_some() || now.since(self.at) < CRASH_REPEAT_TIME;
        self.crash == crash && is_repeated
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Item {
    Crash(PromptCrash),
    Cleared(PartId),
    Answered(Fingerprint),
}

impl State {
    /// Returns true if a request has crashed too many targets, or if its prompt has a
    /// part that has.
    pub fn is_poison(&self, arrival: &Arrival, now: Moment) -> bool {
        let crashes = self.crashes.get(&arrival.fingerprint);
        crashes.is_some_and(|crashes| POISON_CRASHES <= crashes.len())
            || self.ledger.blocked(&suspect_parts(arrival), now).is_some()
    }

    /// Returns true if a target crashed that ran a request, or a prompt with one of its
    /// parts.
    pub fn is_suspect(&self, arrival: &Arrival) -> bool {
        self.crashes.contains_key(&arrival.fingerprint)
            || suspect_parts(arrival).into_iter().any(|part| self.ledger.is_suspect(part))
    }

    /// Records a target crash that this VM noticed, and reports it to the
    /// peers.
    pub fn record_crash(&mut self, ctx: &Context<'_>, crash: CrashedRequest, out: &mut Output) {
        let CrashedRequest { request, parts, target, start } = crash;
        let crash = Crash { request, target, start };
        if self.insert(ctx, crash, out) {
            self.outgoing.push((crash, ctx.at));
        }
        if !parts.is_empty() {
            let crash = PromptCrash { target, parts };
            self.insert_prompt_crash(ctx, &crash, out);
            self.news.add(Item::Crash(crash));
        }
    }

    /// Records a target crash that a peer reported.
    pub fn record_peer_crash(&mut self, ctx: &Context<'_>, crash: Crash, out: &mut Output) {
        self.insert(ctx, crash, out);
    }

    /// Records that the answer to a prompt has begun, which shows that its parts crash
    /// no target.
    pub fn record_answer(&mut self, arrival: &Arrival, out: &mut Output) {
        for part in self.ledger.record_answer(&suspect_parts(arrival)) {
            out.log(Record::new("part_cleared").with("part", part).with("by", &arrival.attempt));
            self.news.add(Item::Cleared(part));
        }
    }

    /// Records that a request was answered in full, which shows that it crashes no target.
    pub fn record_completion(&mut self, arrival: &Arrival, out: &mut Output) {
        let request = arrival.fingerprint;
        if self.acquit(request, arrival.attempt.as_str(), out) {
            self.news.add(Item::Answered(request));
        }
    }

    /// Forgets the crashes of a request that `source` saw answered. Returns true if there
    /// were any.
    fn acquit(&mut self, request: Fingerprint, source: &str, out: &mut Output) -> bool {
        let Some(crashes) = self.crashes.remove(&request) else { return false };
        self.outgoing.retain(|(crash, _)| crash.request != request);
        self.is_unsaved |= POISON_CRASHES <= crashes.len();
        let line = Record::new("strikes_cleared").with("fingerprint", request);
        out.log(line.with("strikes", crashes.len()).with("by", source));
        true
    }

    /// Returns the newest crashes for the next heartbeat.
    pub fn crashes_to_send(&self) -> Vec<Crash> {
        self.outgoing.iter().rev().take(MAX_HEARTBEAT_CRASHES).map(|(crash, _)| *crash).collect()
    }

    /// Applies a peer's report.
    pub fn receive(&mut self, ctx: &Context<'_>, report: Report, out: &mut Output) {
        for crash in &report.crashes {
            self.insert_prompt_crash(ctx, crash, out);
        }
        for part in self.ledger.record_answer(&report.cleared) {
            out.log(Record::new("part_cleared").with("part", part).with("by", &report.from));
        }
        for &request in &report.answered {
            self.acquit(request, report.from.as_str(), out);
        }
        for parts in report.blocked {
            self.block(ctx, parts, report.from.as_str(), out);
        }
        for crash in report.requests {
            self.insert(ctx, crash, out);
        }
    }

    /// Restores crashes of requests that a VM had recorded before this one started.
    pub fn restore(&mut self, ctx: &Context<'_>, crashes: &[Crash], out: &mut Output) {
        for &crash in crashes {
            self.insert(ctx, crash, out);
        }
        self.is_unsaved = false;
    }

    /// Lets what is refused be written again, if there is anything, since the store may have
    /// lost it.
    pub fn mark_unsaved(&mut self) {
        self.is_unsaved = true;
    }

    /// Returns true if what is refused has changed since this was last called.
    pub fn take_unsaved(&mut self) -> bool {
        std::mem::take(&mut self.is_unsaved)
    }

    /// Returns the crashes of all requests that are refused, up to the maximum of a
    /// report, and the blocked sets of parts.
    pub fn refused(&self, now: Moment) -> (Vec<Crash>, Vec<PartSet>) {
        (self.refused_crashes(), self.blocked_sets(now))
    }

    fn refused_crashes(&self) -> Vec<Crash> {
        let poison = self.crashes.values().filter(|crashes| POISON_CRASHES <= crashes.len());
        let crashes = poison.flatten().map(|seen| seen.crash);
        crashes.take(MAX_CRASH_REPORT_ITEMS).collect()
    }

    /// Blocks parts that `source` reports as blocked.
    pub fn block(&mut self, ctx: &Context<'_>, parts: PartSet, source: &str, out: &mut Output) {
        let prompt: Vec<_> = parts.iter().collect();
        if self.ledger.blocked(&prompt, ctx.at).is_none() {
            out.log(Record::new("part_blocked").with("part", &parts).with("by", source));
            self.ledger.block(parts, ctx.at);
        }
    }

    /// Returns the blocked sets, up to the maximum of a report.
    fn blocked_sets(&self, now: Moment) -> Vec<PartSet> {
        self.ledger.all_blocked(now).take(MAX_CRASH_REPORT_ITEMS).cloned().collect()
    }

    /// Returns all that this VM refuses, for a VM that has just started, if there is
    /// anything.
    pub fn summary(&self, ctx: &Context<'_>) -> Option<Datagram> {
        let requests = self.refused_crashes();
        let blocked = self.blocked_sets(ctx.at);
        if requests.is_empty() && blocked.is_empty() {
            return None;
        }
        Some(Datagram::CrashReport(Report { blocked, requests, ..report(ctx, Vec::new()) }))
    }

    /// Removes expired entries, and sends news to the peers.
    pub fn tick(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        self.outgoing.retain(|(_, at)| ctx.at.since(*at) < CRASH_SEND_TIME);
        self.crashes.retain(|_, crashes| {
            let is_recent = crashes.last().is_some_and(|seen| ctx.at.since(seen.at) < CRASH_TTL);
            self.is_unsaved |= !is_recent && POISON_CRASHES <= crashes.len();
            is_recent
        });
        self.ledger.prune(ctx.at);
        let news = self.news.take_due(MAX_CRASH_REPORT_ITEMS, ctx.at);
        if !news.is_empty() {
            let datagram = Datagram::CrashReport(report(ctx, news));
            out.push(Effect::Broadcast { addresses: peers.addresses(), datagram });
        }
    }

    fn insert_prompt_crash(&mut self, ctx: &Context<'_>, crash: &PromptCrash, out: &mut Output) {
        let Some(parts) = self.ledger.record_crash(&crash.parts, crash.target, ctx.at) else {
            return;
        };
        self.is_unsaved = true;
        let crashes = parts.iter().map(|part| self.ledger.crashes(part)).max();
        let line = Record::new("part_blocked").with("part", parts).with("by", &ctx.me.vm);
        out.log(line.with("crashes", crashes.unwrap_or(0)));
    }

    fn insert(&mut self, ctx: &Context<'_>, crash: Crash, out: &mut Output) -> bool {
        if MAX_SUSPECT_REQUESTS <= self.crashes.len() && !self.crashes.contains_key(&crash.request)
        {
            out.log(Record::new("strikes_full").with("fingerprint", crash.request));
            return false;
        }
        let crashes = self.crashes.entry(crash.request).or_default();
        if crashes.iter().any(|seen| seen.is_same(crash, ctx.at)) {
            return false;
        }
        crashes.push(Seen { crash, at: ctx.at });
        self.is_unsaved |= POISON_CRASHES <= crashes.len();
        let line = Record::new("strike").with("fingerprint", crash.request);
        out.log(line.with("strikes", crashes.len()));
        true
    }
}

fn report(ctx: &Context<'_>, news: Vec<Item>) -> Report {
    let mut report = Report {
        from: ctx.me.vm.clone(),
        crashes: Vec::new(),
        cleared: Vec::new(),
        answered: Vec::new(),
        blocked: Vec::new(),
        requests: Vec::new(),
    };
    for item in news {
        match item {
            Item::Crash(crash) => report.crashes.push(crash),
            Item::Cleared(part) => report.cleared.push(part),
            Item::Answered(request) => report.answered.push(request),
        }
    }
    report
}

/// Returns the parts of a prompt that may crash targets under other requests too: all
/// but the last, which belongs to the request itself.
pub fn suspect_parts(arrival: &Arrival) -> Vec<PartId> {
    let shared = &arrival.parts[..arrival.parts.len().saturating_sub(1)];
    shared.iter().take(MAX_SUSPECT_PARTS).map(|part| PartId(part.id)).collect()
}

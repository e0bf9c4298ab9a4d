//! Crashes recorded for fingerprints, and trials that this VM requests.

use std::collections::BTreeMap;

use briarshift_units::{Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::{Message, Trial};

use super::coordinator::{self, Grant, coordinator};
use super::{CRASH_RETENTION, Decision, Denial, MAX_CRASHES, Status, Step, View};
use crate::{Context, Effect, Output, Record, Signal};

/// Time from a first crash until a trial may be granted, so that VMs that run a
/// copy can report it. It is well above the network delay between data centres.
const FIRST_TRIAL_DELAY: Span = Span::from_millis(300);
/// Time between two requests for the same trial.
const REQUEST_INTERVAL: Span = Span::from_millis(500);
/// Longest time that a request waits for its trial.
const MAX_TRIAL_WAIT: Span = Span::from_secs(10);
/// Maximum number of fingerprints with recorded crashes. The one with the oldest
/// crash is removed first.
const MAX_RECORDS: usize = 16_384;

/// The crashes recorded for one fingerprint.
#[derive(Debug)]
struct CrashRecord {
    targets: Vec<TargetId>,
    first: Moment,
    last: Moment,
}

/// A trial that this VM requested or runs.
#[derive(Debug)]
struct PendingTrial {
    trial: Trial,
    since: Moment,
    requested_at: Moment,
    /// The VM that the trial was last requested from.
    coordinator: VmId,
    granted: bool,
}

/// Crashes recorded for fingerprints, and trials.
#[derive(Debug, Default)]
pub struct State {
    records: BTreeMap<Fingerprint, CrashRecord>,
    trials: BTreeMap<RequestId, PendingTrial>,
    coordinator: coordinator::State,
}

impl State {
    /// Returns whether requests with a fingerprint may run.
    pub fn status(&self, ctx: &Context<'_>, fingerprint: Fingerprint) -> Status {
        let record = self.records.get(&fingerprint);
        match record.filter(|record| ctx.at.since(record.last) < CRASH_RETENTION) {
            None => Status::Clean,
            Some(record) if record.targets.len() < MAX_CRASHES => Status::Suspect,
            Some(_) => Status::Refused,
        }
    }

    /// Records that a target crashed while it ran a request of this VM, and
    /// informs all peers.
    pub fn record_crash(
        &mut self,
        step: &mut Step<'_>,
        fingerprint: Fingerprint,
        target: &TargetId,
    ) {
        self.add_crashes(step.ctx, fingerprint, std::slice::from_ref(target), step.out);
        // All known crashes are sent, because a member that joined after the
        // first one doesn't know it.
        for target in self.crashed_targets(fingerprint) {
            broadcast(step.view, &Message::Crash { fingerprint, target }, step.out);
        }
    }

    /// Clears the crashes of a request that succeeded.
    pub fn clear_crashes(&mut self, step: &mut Step<'_>, fingerprint: Fingerprint) {
        if self.remove_record(fingerprint, step.out) {
            broadcast(step.view, &Message::Clear { fingerprint }, step.out);
        }
    }

    /// Requests a trial for a request, or reports one that runs already. If the
    /// trial is only requested, a [`Decision`] follows as a signal.
    pub fn request_trial(&mut self, step: &mut Step<'_>, trial: Trial) {
        let request = trial.request;
        if trial.running.is_none() && self.status(step.ctx, trial.fingerprint) == Status::Refused {
            let target = Err(Denial::Refused);
            step.out.signal(Signal::TrialDecided(Decision { request, target }));
            return;
        }
        let coordinator = coordinator(step.ctx, step.view, &trial);
        let granted = trial.running.is_some();
        let pending = PendingTrial {
            trial,
            since: step.ctx.at,
            requested_at: step.ctx.at,
            coordinator,
            granted,
        };
        self.trials.insert(request, pending);
        self.send_request(step, request);
    }

    /// Ends a trial, or withdraws the request for it.
    pub fn end_trial(&mut self, step: &mut Step<'_>, id: RequestId) {
        let Some(pending) = self.trials.remove(&id) else { return };
        let crashed_targets = self.crashed_targets(pending.trial.fingerprint);
        let done = Message::Done { request: id, crashed_targets };
        self.send(step, &pending.coordinator, done);
    }

    /// Handles a message from a peer.
    pub fn handle_message(&mut self, step: &mut Step<'_>, from: &VmId, message: Message) {
        match message {
            Message::Crash { fingerprint, target } => {
                self.add_crashes(step.ctx, fingerprint, &[target], step.out);
            }
            Message::Clear { fingerprint } => {
                self.remove_record(fingerprint, step.out);
            }
            Message::RequestTrial { trial, crashed_targets } => {
                self.handle_request(step, from, trial, &crashed_targets);
            }
            Message::Grant { request, target } => {
                self.handle_grant(step, from, request, target);
            }
            Message::Done { request, crashed_targets } => {
                if let Some(fingerprint) = self.coordinator.remove(request) {
                    self.add_crashes(step.ctx, fingerprint, &crashed_targets, step.out);
                }
                self.grant_trials(step);
            }
        }
    }

    /// Runs periodic work: repeats and expires requests for trials, grants
    /// trials, and removes expired crashes.
    pub fn tick(&mut self, step: &mut Step<'_>) {
        self.records.retain(|_, record| step.ctx.at.since(record.last) < CRASH_RETENTION);
        let pending = self.trials.iter().filter(|(_, pending)| !pending.granted);
        let pending: Vec<_> =
            pending.map(|(id, pending)| (*id, pending.since, pending.requested_at)).collect();
        for (request, since, requested_at) in pending {
            if MAX_TRIAL_WAIT <= step.ctx.at.since(since) {
                self.deny(step, request, Denial::TimedOut);
            } else if REQUEST_INTERVAL <= step.ctx.at.since(requested_at) {
                self.send_request(step, request);
            }
        }
        self.coordinator.expire(step.ctx.at);
        self.grant_trials(step);
    }

    fn crashed_targets(&self, fingerprint: Fingerprint) -> Vec<TargetId> {
        self.records.get(&fingerprint).map(|record| record.targets.clone()).unwrap_or_default()
    }

    fn add_crashes(
        &mut self,
        ctx: &Context<'_>,
        fingerprint: Fingerprint,
        targets: &[TargetId],
        out: &mut Output,
    ) {
        for target in targets {
            if MAX_RECORDS <= self.records.len() {
                let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
                let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
                oldest.and_then(|oldest| self.records.remove(&oldest));
            }
            let fresh = CrashRecord { targets: Vec::new(), first: ctx.at, last: ctx.at };
            let record = self.records.entry(fingerprint).or_insert(fresh);
            if record.targets.contains(target) {
                continue;
            }
            record.targets.push(target.clone());
            record.last = ctx.at;
            let line = Record::new("strike").with("fingerprint", fingerprint);
            out.log(line.with("target", target).with("strikes", record.targets.len()));
            out.signal(Signal::CrashRecorded(fingerprint));
        }
    }

    fn remove_record(&mut self, fingerprint: Fingerprint, out: &mut Output) -> bool {
        let known = self.records.remove(&fingerprint).is_some();
        if known {
            out.log(Record::new("strikes_cleared").with("fingerprint", fingerprint));
        }
        known
    }

    fn send_request(&mut self, step: &mut Step<'_>, request: RequestId) {
        let Some(pending) = self.trials.get_mut(&request) else { return };
        let fingerprint = pending.trial.fingerprint;
        pending.requested_at = step.ctx.at;
        pending.coordinator = coordinator(step.ctx, step.view, &pending.trial);
        let (to, trial) = (pending.coordinator.clone(), pending.trial.clone());
        let crashed_targets = self.crashed_targets(fingerprint);
        self.send(step, &to, Message::RequestTrial { trial, crashed_targets });
    }

    fn handle_request(
        &mut self,
        step: &mut Step<'_>,
        from: &VmId,
        trial: Trial,
        crashed_targets: &[TargetId],
    ) {
        let fingerprint = trial.fingerprint;
        self.add_crashes(step.ctx, fingerprint, crashed_targets, step.out);
        if self.status(step.ctx, fingerprint) == Status::Refused && trial.running.is_none() {
            self.send_crashes(step, from, fingerprint);
            return;
        }
        if let Some(grant) = self.coordinator.add(step.ctx, from, trial) {
            self.send_grant(step, grant);
        }
        self.grant_trials(step);
    }

    fn handle_grant(
        &mut self,
        step: &mut Step<'_>,
        from: &VmId,
        request: RequestId,
        target: TargetId,
    ) {
        let Some(pending) = self.trials.get_mut(&request) else {
            // The request has given up meanwhile, and the coordinator may not
            // know that.
            self.send(step, from, Message::Done { request, crashed_targets: Vec::new() });
            return;
        };
        if !std::mem::replace(&mut pending.granted, true) {
            pending.coordinator = from.clone();
            step.out.signal(Signal::TrialDecided(Decision { request, target: Ok(target) }));
        }
    }

    fn deny(&mut self, step: &mut Step<'_>, request: RequestId, denial: Denial) {
        self.end_trial(step, request);
        step.out.signal(Signal::TrialDecided(Decision { request, target: Err(denial) }));
    }

    /// Grants the trials that can start now, and denies those whose fingerprint
    /// is refused.
    fn grant_trials(&mut self, step: &mut Step<'_>) {
        let refused = |state: &Self, fingerprint: Fingerprint| {
            state.status(step.ctx, fingerprint) == Status::Refused
        };
        let own = self.trials.values().filter(|pending| !pending.granted);
        let own = own.filter(|pending| refused(self, pending.trial.fingerprint));
        let own: Vec<_> = own.map(|pending| pending.trial.request).collect();
        for request in own {
            self.deny(step, request, Denial::Refused);
        }
        let waiting = self.coordinator.waiting_fingerprints().into_iter();
        let waiting: Vec<_> = waiting.filter(|f| refused(self, *f)).collect();
        for fingerprint in waiting {
            for vm in self.coordinator.reject(fingerprint) {
                self.send_crashes(step, &vm, fingerprint);
            }
        }
        let records = &self.records;
        let ready = |fingerprint: Fingerprint| {
            records
                .get(&fingerprint)
                .is_none_or(|record| FIRST_TRIAL_DELAY <= step.ctx.at.since(record.first))
        };
        let crashed_targets = |fingerprint: Fingerprint| {
            records.get(&fingerprint).map(|record| record.targets.clone()).unwrap_or_default()
        };
        for grant in self.coordinator.grant(step.ctx, step.view, ready, crashed_targets) {
            self.send_grant(step, grant);
        }
    }

    /// Sends all crashes of a fingerprint to a VM, which then refuses its
    /// requests.
    fn send_crashes(&mut self, step: &mut Step<'_>, vm: &VmId, fingerprint: Fingerprint) {
        for target in self.crashed_targets(fingerprint) {
            self.send(step, vm, Message::Crash { fingerprint, target });
        }
    }

    fn send_grant(&mut self, step: &mut Step<'_>, grant: Grant) {
        let line = Record::new("trial").with("request", grant.request).with("vm", &grant.to);
        step.out.log(line.with("target", &grant.target));
        let message = Message::Grant { request: grant.request, target: grant.target };
        self.send(step, &grant.to, message);
    }

    /// Sends a message to a VM. A message to this VM itself is handled directly.
    fn send(&mut self, step: &mut Step<'_>, to: &VmId, message: Message) {
        if *to == step.ctx.me.vm {
            self.handle_message(step, &step.ctx.me.vm, message);
        } else if let Some(member) = step.view.members.get(to) {
            let message = briarshift_wire::Message::Poison(message);
            step.out.push(Effect::Send { to: to.clone(), address: member.address, message });
        }
    }
}

fn broadcast(view: View<'_>, message: &Message, out: &mut Output) {
    for member in view.members.live() {
        let message = briarshift_wire::Message::Poison(message.clone());
        out.push(Effect::Send { to: member.vm.clone(), address: member.address, message });
    }
}

//! Grants trials: at most one copy of a fingerprint at a time, and at most one
//! suspect request per target.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::rank;
use briarshift_units::{ChatKey, Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::Trial;

use super::View;
use crate::Context;

/// Time after which a granted trial is considered over if its VM doesn't report
/// its end.
const MAX_TRIAL_DURATION: Span = Span::from_secs(600);
/// Time after which a requested trial is dropped if its VM doesn't repeat the
/// request.
const REQUEST_EXPIRY: Span = Span::from_secs(3);
/// Maximum number of trials kept.
const MAX_TRIALS: usize = 4_096;

#[derive(Debug)]
struct Entry {
    from: VmId,
    trial: Trial,
    /// Where the trial runs, or `None` while it waits.
    target: Option<TargetId>,
    /// When the trial was granted or last requested.
    since: Moment,
}

/// A trial that is granted to a VM.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) to: VmId,
    pub(super) request: RequestId,
    pub(super) target: TargetId,
}

/// Running and waiting trials, as the coordinator knows them.
#[derive(Debug, Default)]
pub(super) struct State {
    trials: BTreeMap<RequestId, Entry>,
}

/// Returns the VM that grants the trials of a trial's pool.
pub(super) fn coordinator(ctx: &Context<'_>, view: View<'_>, trial: &Trial) -> VmId {
    let live = view.members.live().map(|member| &member.vm);
    let score = |vm: &VmId| rank::score(ChatKey(0), &format!("{}/{vm}", trial.pool));
    live.chain([&ctx.me.vm]).max_by_key(|vm| score(vm)).unwrap_or(&ctx.me.vm).clone()
}

impl State {
    /// Adds a trial that is requested or runs already. Returns the grant again
    /// if the trial was granted before, because the first grant may have been
    /// lost.
    pub(super) fn add(&mut self, ctx: &Context<'_>, from: &VmId, trial: Trial) -> Option<Grant> {
        if let Some(entry) = self.trials.get_mut(&trial.request) {
            let Some(target) = &entry.target else {
                entry.since = ctx.at;
                return None;
            };
            let (request, target) = (trial.request, target.clone());
            let waiting = trial.running.is_none();
            return waiting.then(|| Grant { to: from.clone(), request, target });
        }
        if self.trials.len() < MAX_TRIALS {
            let target = trial.running.clone();
            let entry = Entry { from: from.clone(), target, since: ctx.at, trial };
            self.trials.insert(entry.trial.request, entry);
        }
        None
    }

    /// Removes a trial that has ended or is no longer requested. Returns its
    /// fingerprint.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Fingerprint> {
        self.trials.remove(&request).map(|entry| entry.trial.fingerprint)
    }

    /// Returns the fingerprints with a waiting trial.
    pub(super) fn waiting_fingerprints(&self) -> BTreeSet<Fingerprint> {
        let waiting = self.trials.values().filter(|entry| entry.target.is_none());
        waiting.map(|entry| entry.trial.fingerprint).collect()
    }

    /// Removes trials whose VMs have stopped reporting.
    pub(super) fn expire(&mut self, at: Moment) {
        self.trials.retain(|_, entry| {
            let limit = if entry.target.is_some() { MAX_TRIAL_DURATION } else { REQUEST_EXPIRY };
            at.since(entry.since) < limit
        });
    }

    /// Grants the waiting trials that can start now. `ready` returns true if a
    /// trial of a fingerprint may start yet, and `crashed_targets` returns the
    /// targets that crashed while they ran it.
    pub(super) fn grant(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        ready: impl Fn(Fingerprint) -> bool,
        crashed_targets: impl Fn(Fingerprint) -> Vec<TargetId>,
    ) -> Vec<Grant> {
        let running = self.trials.values().filter(|entry| entry.target.is_some());
        let mut fingerprints_in_trial: BTreeSet<_> =
            running.clone().map(|e| e.trial.fingerprint).collect();
        let mut targets_in_trial: BTreeSet<_> =
            running.filter_map(|entry| entry.target.clone()).collect();
        let mut grants = Vec::new();
        for entry in self.trials.values_mut().filter(|entry| entry.target.is_none()) {
            let fingerprint = entry.trial.fingerprint;
            if fingerprints_in_trial.contains(&fingerprint) || !ready(fingerprint) {
                continue;
            }
            let crashed = crashed_targets(fingerprint);
            let is_available =
                |id: &TargetId| !targets_in_trial.contains(id) && !crashed.contains(id);
            let available = view
                .targets
                .candidates(&entry.trial.pool)
                .filter(|t| is_available(&t.id))
                .collect();
            let ranked =
                rank::order(ChatKey(fingerprint.0), available, |target| target.id.as_str());
            let Some(chosen) = ranked.first() else { continue };
            fingerprints_in_trial.insert(fingerprint);
            targets_in_trial.insert(chosen.id.clone());
            entry.target = Some(chosen.id.clone());
            entry.since = ctx.at;
            let (to, request) = (entry.from.clone(), entry.trial.request);
            grants.push(Grant { to, request, target: chosen.id.clone() });
        }
        grants
    }

    /// Removes the waiting trials of a fingerprint and returns their VMs.
    pub(super) fn reject(&mut self, fingerprint: Fingerprint) -> BTreeSet<VmId> {
        let waits =
            |entry: &Entry| entry.trial.fingerprint == fingerprint && entry.target.is_none();
        let vms = self.trials.values().filter(|entry| waits(entry));
        let vms = vms.map(|entry| entry.from.clone()).collect();
        self.trials.retain(|_, entry| !waits(entry));
        vms
    }
}

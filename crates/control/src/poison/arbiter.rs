//! Grants trials: one copy of a fingerprint, and one suspect a target.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_routing::rank;
use briarshift_units::{ChatKey, Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::Trial;

use super::View;
use crate::Context;

/// How long a granted trial holds its target if its VM falls silent.
const TRIAL_LIMIT: Span = Span::from_secs(600);
/// How long a wanted trial is kept after it was last asked for.
const ASK_LIMIT: Span = Span::from_secs(3);
/// Most trials kept.
const MAX_TRIALS: usize = 4_096;

#[derive(Debug)]
struct Entry {
    from: VmId,
    trial: Trial,
    target: Option<TargetId>,
    since: Moment,
}

/// A trial to be granted to a VM.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) to: VmId,
    pub(super) request: RequestId,
    pub(super) target: TargetId,
}

/// Trials that run, or wait, as the granting VM knows them.
#[derive(Debug, Default)]
pub(super) struct State {
    trials: BTreeMap<RequestId, Entry>,
}

/// The VM that grants a pool's trials.
pub(super) fn arbiter(ctx: &Context<'_>, view: View<'_>, trial: &Trial) -> VmId {
    let live = view.members.live().map(|member| &member.vm);
    let score = |vm: &VmId| rank::score(ChatKey(0), &format!("{}/{vm}", trial.pool));
    live.chain([&ctx.me.vm]).max_by_key(|vm| score(vm)).unwrap_or(&ctx.me.vm).clone()
}

impl State {
    /// Notes a trial that is wanted or runs. One granted before is granted
    /// again: the first grant may have been lost.
    pub(super) fn ask(&mut self, ctx: &Context<'_>, from: &VmId, trial: Trial) -> Option<Grant> {
        if let Some(entry) = self.trials.get_mut(&trial.request) {
            let Some(target) = &entry.target else {
                entry.since = ctx.at;
                return None;
            };
            let (request, target) = (trial.request, target.clone());
            let wanted = trial.running.is_none();
            return wanted.then(|| Grant { to: from.clone(), request, target });
        }
        if self.trials.len() < MAX_TRIALS {
            let target = trial.running.clone();
            let entry = Entry { from: from.clone(), target, since: ctx.at, trial };
            self.trials.insert(entry.trial.request, entry);
        }
        None
    }

    /// A trial ended, or is wanted no longer.
    pub(super) fn done(&mut self, request: RequestId) -> Option<Fingerprint> {
        self.trials.remove(&request).map(|entry| entry.trial.fingerprint)
    }

    /// Fingerprints for which a trial is wanted.
    pub(super) fn waiting(&self) -> BTreeSet<Fingerprint> {
        let waiting = self.trials.values().filter(|entry| entry.target.is_none());
        waiting.map(|entry| entry.trial.fingerprint).collect()
    }

    /// Forgets trials whose VMs fell silent.
    pub(super) fn expire(&mut self, at: Moment) {
        self.trials.retain(|_, entry| {
            let limit = if entry.target.is_some() { TRIAL_LIMIT } else { ASK_LIMIT };
            at.since(entry.since) < limit
        });
    }

    /// Grants what can be granted now. `ready` says whether a fingerprint may
    /// be tried yet, and `struck` which targets died under it.
    pub(super) fn serve(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        ready: impl Fn(Fingerprint) -> bool,
        struck: impl Fn(Fingerprint) -> Vec<TargetId>,
    ) -> Vec<Grant> {
        let running = self.trials.values().filter(|entry| entry.target.is_some());
        let mut tried: BTreeSet<_> = running.clone().map(|e| e.trial.fingerprint).collect();
        let mut busy: BTreeSet<_> = running.filter_map(|entry| entry.target.clone()).collect();
        let mut grants = Vec::new();
        for entry in self.trials.values_mut().filter(|entry| entry.target.is_none()) {
            let fingerprint = entry.trial.fingerprint;
            if tried.contains(&fingerprint) || !ready(fingerprint) {
                continue;
            }
            let dead = struck(fingerprint);
            let free = |id: &TargetId| !busy.contains(id) && !dead.contains(id);
            let free = view.targets.candidates(&entry.trial.pool).filter(|t| free(&t.id)).collect();
            let ranked = rank::order(ChatKey(fingerprint.0), free, |target| target.id.as_str());
            let Some(chosen) = ranked.first() else { continue };
            tried.insert(fingerprint);
            busy.insert(chosen.id.clone());
            entry.target = Some(chosen.id.clone());
            entry.since = ctx.at;
            let (to, request) = (entry.from.clone(), entry.trial.request);
            grants.push(Grant { to, request, target: chosen.id.clone() });
        }
        grants
    }

    /// VMs that wait for a trial of a fingerprint; they wait no longer.
    pub(super) fn reject(&mut self, fingerprint: Fingerprint) -> BTreeSet<VmId> {
        let waits =
            |entry: &Entry| entry.trial.fingerprint == fingerprint && entry.target.is_none();
        let vms = self.trials.values().filter(|entry| waits(entry));
        let vms = vms.map(|entry| entry.from.clone()).collect();
        self.trials.retain(|_, entry| !waits(entry));
        vms
    }
}

//! Strikes against fingerprints, and trials that this VM wants.

use std::collections::BTreeMap;

use briarshift_units::{Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::{Message, Trial};

use super::arbiter::{self, Grant, arbiter};
use super::{Decision, Denial, MAX_STRIKES, Scope, Standing, View, WINDOW};
use crate::{Context, Effect, Output, Record, Signal};

/// Wait after a first strike before a trial is granted, so that VMs which run
/// a copy can report it: well above the delay between data centres.
const GRACE: Span = Span::from_millis(300);
/// Time between two asks for one trial.
const ASK_INTERVAL: Span = Span::from_millis(500);
/// How long a request waits for its trial.
const ASK_WAIT: Span = Span::from_secs(10);
/// Most fingerprints kept; the oldest is forgotten first.
const MAX_CASES: usize = 16_384;

#[derive(Debug)]
struct Case {
    targets: Vec<TargetId>,
    first: Moment,
    last: Moment,
}

#[derive(Debug)]
struct Wanted {
    trial: Trial,
    since: Moment,
    asked: Moment,
    /// The VM asked last, and whether it granted.
    arbiter: VmId,
    granted: bool,
}

/// Strikes against fingerprints.
#[derive(Debug, Default)]
pub struct State {
    cases: BTreeMap<Fingerprint, Case>,
    wanted: BTreeMap<RequestId, Wanted>,
    arbiter: arbiter::State,
}

impl State {
    /// What is known of a fingerprint.
    pub fn standing(&self, ctx: &Context<'_>, fingerprint: Fingerprint) -> Standing {
        let case = self.cases.get(&fingerprint);
        match case.filter(|case| ctx.at.since(case.last) < WINDOW) {
            None => Standing::Clean,
            Some(case) if case.targets.len() < MAX_STRIKES => Standing::Suspect,
            Some(_) => Standing::Refused,
        }
    }

    /// A target died while it ran a request of this VM.
    pub fn strike(&mut self, scope: &mut Scope<'_>, fingerprint: Fingerprint, target: &TargetId) {
        self.note(scope.ctx, fingerprint, std::slice::from_ref(target), scope.out);
        // A member that joined since the first strike has not heard of it.
        for target in self.struck(fingerprint) {
            tell_all(scope.view, &Message::Crash { fingerprint, target }, scope.out);
        }
    }

    /// A request ended well.
    pub fn clear(&mut self, scope: &mut Scope<'_>, fingerprint: Fingerprint) {
        if self.forget(fingerprint, scope.out) {
            tell_all(scope.view, &Message::Clear { fingerprint }, scope.out);
        }
    }

    /// Wants a trial for a request, or reports one that runs. For one that is
    /// wanted, a [`Decision`] follows.
    pub fn attempt(&mut self, scope: &mut Scope<'_>, trial: Trial) {
        let request = trial.request;
        if trial.running.is_none()
            && self.standing(scope.ctx, trial.fingerprint) == Standing::Refused
        {
            let target = Err(Denial::Refused);
            scope.out.signal(Signal::TrialDecided(Decision { request, target }));
            return;
        }
        let arbiter = arbiter(scope.ctx, scope.view, &trial);
        let granted = trial.running.is_some();
        let wanted = Wanted { trial, since: scope.ctx.at, asked: scope.ctx.at, arbiter, granted };
        self.wanted.insert(request, wanted);
        self.ask(scope, request);
    }

    /// A trial ended, or its request waits for it no longer.
    pub fn over(&mut self, scope: &mut Scope<'_>, id: RequestId) {
        let Some(wanted) = self.wanted.remove(&id) else { return };
        let struck = self.struck(wanted.trial.fingerprint);
        let done = Message::Done { request: id, crashed_targets: struck };
        self.send(scope, &wanted.arbiter, done);
    }

    /// A peer's message.
    pub fn handle_message(&mut self, scope: &mut Scope<'_>, from: &VmId, message: Message) {
        match message {
            Message::Crash { fingerprint, target } => {
                self.note(scope.ctx, fingerprint, &[target], scope.out);
            }
            Message::Clear { fingerprint } => {
                self.forget(fingerprint, scope.out);
            }
            Message::RequestTrial { trial, crashed_targets: struck } => {
                self.asked(scope, from, trial, &struck)
            }
            Message::Grant { request, target } => {
                self.granted(scope, from, request, target);
            }
            Message::Done { request, crashed_targets: struck } => {
                if let Some(fingerprint) = self.arbiter.done(request) {
                    self.note(scope.ctx, fingerprint, &struck, scope.out);
                }
                self.serve(scope);
            }
        }
    }

    /// Periodic work: asks again, gives up, grants, forgets.
    pub fn tick(&mut self, scope: &mut Scope<'_>) {
        self.cases.retain(|_, case| scope.ctx.at.since(case.last) < WINDOW);
        let pending = self.wanted.iter().filter(|(_, wanted)| !wanted.granted);
        let pending: Vec<_> =
            pending.map(|(id, wanted)| (*id, wanted.since, wanted.asked)).collect();
        for (request, since, asked) in pending {
            if ASK_WAIT <= scope.ctx.at.since(since) {
                self.deny(scope, request, Denial::Late);
            } else if ASK_INTERVAL <= scope.ctx.at.since(asked) {
                self.ask(scope, request);
            }
        }
        self.arbiter.expire(scope.ctx.at);
        self.serve(scope);
    }

    fn struck(&self, fingerprint: Fingerprint) -> Vec<TargetId> {
        self.cases.get(&fingerprint).map(|case| case.targets.clone()).unwrap_or_default()
    }

    fn note(
        &mut self,
        ctx: &Context<'_>,
        fingerprint: Fingerprint,
        targets: &[TargetId],
        out: &mut Output,
    ) {
        for target in targets {
            if MAX_CASES <= self.cases.len() {
                let oldest = self.cases.iter().min_by_key(|(_, case)| case.last);
                let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
                oldest.and_then(|oldest| self.cases.remove(&oldest));
            }
            let fresh = Case { targets: Vec::new(), first: ctx.at, last: ctx.at };
            let case = self.cases.entry(fingerprint).or_insert(fresh);
            if case.targets.contains(target) {
                continue;
            }
            case.targets.push(target.clone());
            case.last = ctx.at;
            let line = Record::new("strike").with("fingerprint", fingerprint);
            out.log(line.with("target", target).with("strikes", case.targets.len()));
            out.signal(Signal::CrashRecorded(fingerprint));
        }
    }

    fn forget(&mut self, fingerprint: Fingerprint, out: &mut Output) -> bool {
        let known = self.cases.remove(&fingerprint).is_some();
        if known {
            out.log(Record::new("strikes_cleared").with("fingerprint", fingerprint));
        }
        known
    }

    fn ask(&mut self, scope: &mut Scope<'_>, request: RequestId) {
        let Some(wanted) = self.wanted.get_mut(&request) else { return };
        let fingerprint = wanted.trial.fingerprint;
        wanted.asked = scope.ctx.at;
        wanted.arbiter = arbiter(scope.ctx, scope.view, &wanted.trial);
        let (to, trial) = (wanted.arbiter.clone(), wanted.trial.clone());
        let struck = self.struck(fingerprint);
        self.send(scope, &to, Message::RequestTrial { trial, crashed_targets: struck });
    }

    fn asked(&mut self, scope: &mut Scope<'_>, from: &VmId, trial: Trial, struck: &[TargetId]) {
        let fingerprint = trial.fingerprint;
        self.note(scope.ctx, fingerprint, struck, scope.out);
        if self.standing(scope.ctx, fingerprint) == Standing::Refused && trial.running.is_none() {
            self.refuse(scope, from, fingerprint);
            return;
        }
        if let Some(grant) = self.arbiter.ask(scope.ctx, from, trial) {
            self.grant(scope, grant);
        }
        self.serve(scope);
    }

    fn granted(
        &mut self,
        scope: &mut Scope<'_>,
        from: &VmId,
        request: RequestId,
        target: TargetId,
    ) {
        let Some(wanted) = self.wanted.get_mut(&request) else {
            // It gave up meanwhile, and the arbiter may not have heard.
            self.send(scope, from, Message::Done { request, crashed_targets: Vec::new() });
            return;
        };
        if !std::mem::replace(&mut wanted.granted, true) {
            wanted.arbiter = from.clone();
            scope.out.signal(Signal::TrialDecided(Decision { request, target: Ok(target) }));
        }
    }

    fn deny(&mut self, scope: &mut Scope<'_>, request: RequestId, denial: Denial) {
        self.over(scope, request);
        scope.out.signal(Signal::TrialDecided(Decision { request, target: Err(denial) }));
    }

    /// Grants what can be granted, and turns away what is refused by now.
    fn serve(&mut self, scope: &mut Scope<'_>) {
        let refused = |state: &Self, fingerprint: Fingerprint| {
            state.standing(scope.ctx, fingerprint) == Standing::Refused
        };
        let own = self.wanted.values().filter(|wanted| !wanted.granted);
        let own = own.filter(|wanted| refused(self, wanted.trial.fingerprint));
        let own: Vec<_> = own.map(|wanted| wanted.trial.request).collect();
        for request in own {
            self.deny(scope, request, Denial::Refused);
        }
        let waiting = self.arbiter.waiting().into_iter();
        let waiting: Vec<_> = waiting.filter(|f| refused(self, *f)).collect();
        for fingerprint in waiting {
            for vm in self.arbiter.reject(fingerprint) {
                self.refuse(scope, &vm, fingerprint);
            }
        }
        let cases = &self.cases;
        let ready = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).is_none_or(|case| GRACE <= scope.ctx.at.since(case.first))
        };
        let struck = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).map(|case| case.targets.clone()).unwrap_or_default()
        };
        for grant in self.arbiter.serve(scope.ctx, scope.view, ready, struck) {
            self.grant(scope, grant);
        }
    }

    /// Tells a VM all strikes, which refuses the request there.
    fn refuse(&mut self, scope: &mut Scope<'_>, vm: &VmId, fingerprint: Fingerprint) {
        for target in self.struck(fingerprint) {
            self.send(scope, vm, Message::Crash { fingerprint, target });
        }
    }

    fn grant(&mut self, scope: &mut Scope<'_>, grant: Grant) {
        let line = Record::new("trial").with("request", grant.request).with("vm", &grant.to);
        scope.out.log(line.with("target", &grant.target));
        let message = Message::Grant { request: grant.request, target: grant.target };
        self.send(scope, &grant.to, message);
    }

    /// Sends a message, to this VM itself without the network.
    fn send(&mut self, scope: &mut Scope<'_>, to: &VmId, message: Message) {
        if *to == scope.ctx.me.vm {
            self.handle_message(scope, &scope.ctx.me.vm, message);
        } else if let Some(member) = scope.view.members.get(to) {
            let message = briarshift_wire::Message::Poison(message);
            scope.out.push(Effect::Send { to: to.clone(), address: member.address, message });
        }
    }
}

fn tell_all(view: View<'_>, message: &Message, out: &mut Output) {
    for member in view.members.live() {
        let message = briarshift_wire::Message::Poison(message.clone());
        out.push(Effect::Send { to: member.vm.clone(), address: member.address, message });
    }
}

//! Strikes against fingerprints, and trials that this VM wants.

use std::collections::BTreeMap;

use briarshift_units::{Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::{Message, Trial};

use super::arbiter::{self, Grant, arbiter};
use super::{Denial, MAX_STRIKES, Standing, Verdict, View, WINDOW};
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
    pub fn strike(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        fingerprint: Fingerprint,
        target: &TargetId,
        out: &mut Output,
    ) {
        self.note(ctx, fingerprint, std::slice::from_ref(target), out);
        // A member that joined since the first strike has not heard of it.
        for target in self.struck(fingerprint) {
            tell_all(view, &Message::Strike { fingerprint, target }, out);
        }
    }

    /// A request ended well.
    pub fn clear(&mut self, view: View<'_>, fingerprint: Fingerprint, out: &mut Output) {
        if self.forget(fingerprint, out) {
            tell_all(view, &Message::Clear { fingerprint }, out);
        }
    }

    /// Wants a trial for a request, or reports one that runs. For one that is
    /// wanted, a [`Verdict`] follows.
    pub fn attempt(&mut self, ctx: &Context<'_>, view: View<'_>, trial: Trial, out: &mut Output) {
        let request = trial.request;
        if trial.running.is_none() && self.standing(ctx, trial.fingerprint) == Standing::Refused {
            let target = Err(Denial::Refused);
            out.signal(Signal::Tried(Verdict { request, target }));
            return;
        }
        let arbiter = arbiter(ctx, view, &trial);
        let granted = trial.running.is_some();
        let wanted = Wanted { trial, since: ctx.at, asked: ctx.at, arbiter, granted };
        self.wanted.insert(request, wanted);
        self.ask(ctx, view, request, out);
    }

    /// A trial ended, or its request waits for it no longer.
    pub fn over(&mut self, ctx: &Context<'_>, view: View<'_>, id: RequestId, out: &mut Output) {
        let Some(wanted) = self.wanted.remove(&id) else { return };
        let struck = self.struck(wanted.trial.fingerprint);
        let done = Message::Done { request: id, struck };
        self.send(ctx, view, &wanted.arbiter, done, out);
    }

    /// A peer's message.
    pub fn peer(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        from: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        match message {
            Message::Strike { fingerprint, target } => {
                self.note(ctx, fingerprint, &[target], out);
            }
            Message::Clear { fingerprint } => {
                self.forget(fingerprint, out);
            }
            Message::Ask { trial, struck } => self.asked(ctx, view, from, trial, &struck, out),
            Message::Grant { request, target } => {
                self.granted(ctx, view, from, request, target, out);
            }
            Message::Done { request, struck } => {
                if let Some(fingerprint) = self.arbiter.done(request) {
                    self.note(ctx, fingerprint, &struck, out);
                }
                self.serve(ctx, view, out);
            }
        }
    }

    /// Periodic work: asks again, gives up, grants, forgets.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        self.cases.retain(|_, case| ctx.at.since(case.last) < WINDOW);
        let pending = self.wanted.iter().filter(|(_, wanted)| !wanted.granted);
        let pending: Vec<_> =
            pending.map(|(id, wanted)| (*id, wanted.since, wanted.asked)).collect();
        for (request, since, asked) in pending {
            if ASK_WAIT <= ctx.at.since(since) {
                self.deny(ctx, view, request, Denial::Late, out);
            } else if ASK_INTERVAL <= ctx.at.since(asked) {
                self.ask(ctx, view, request, out);
            }
        }
        self.arbiter.expire(ctx.at);
        self.serve(ctx, view, out);
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
            out.signal(Signal::Struck(fingerprint));
        }
    }

    fn forget(&mut self, fingerprint: Fingerprint, out: &mut Output) -> bool {
        let known = self.cases.remove(&fingerprint).is_some();
        if known {
            out.log(Record::new("strikes_cleared").with("fingerprint", fingerprint));
        }
        known
    }

    fn ask(&mut self, ctx: &Context<'_>, view: View<'_>, request: RequestId, out: &mut Output) {
        let Some(wanted) = self.wanted.get_mut(&request) else { return };
        let fingerprint = wanted.trial.fingerprint;
        wanted.asked = ctx.at;
        wanted.arbiter = arbiter(ctx, view, &wanted.trial);
        let (to, trial) = (wanted.arbiter.clone(), wanted.trial.clone());
        let struck = self.struck(fingerprint);
        self.send(ctx, view, &to, Message::Ask { trial, struck }, out);
    }

    fn asked(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        from: &VmId,
        trial: Trial,
        struck: &[TargetId],
        out: &mut Output,
    ) {
        let fingerprint = trial.fingerprint;
        self.note(ctx, fingerprint, struck, out);
        if self.standing(ctx, fingerprint) == Standing::Refused && trial.running.is_none() {
            self.refuse(ctx, view, from, fingerprint, out);
            return;
        }
        if let Some(grant) = self.arbiter.ask(ctx, from, trial) {
            self.grant(ctx, view, grant, out);
        }
        self.serve(ctx, view, out);
    }

    fn granted(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        from: &VmId,
        request: RequestId,
        target: TargetId,
        out: &mut Output,
    ) {
        let Some(wanted) = self.wanted.get_mut(&request) else {
            // It gave up meanwhile, and the arbiter may not have heard.
            self.send(ctx, view, from, Message::Done { request, struck: Vec::new() }, out);
            return;
        };
        if !std::mem::replace(&mut wanted.granted, true) {
            wanted.arbiter = from.clone();
            out.signal(Signal::Tried(Verdict { request, target: Ok(target) }));
        }
    }

    fn deny(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        request: RequestId,
        denial: Denial,
        out: &mut Output,
    ) {
        self.over(ctx, view, request, out);
        out.signal(Signal::Tried(Verdict { request, target: Err(denial) }));
    }

    /// Grants what can be granted, and turns away what is refused by now.
    fn serve(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        let refused = |state: &Self, fingerprint: Fingerprint| {
            state.standing(ctx, fingerprint) == Standing::Refused
        };
        let own = self.wanted.values().filter(|wanted| !wanted.granted);
        let own = own.filter(|wanted| refused(self, wanted.trial.fingerprint));
        let own: Vec<_> = own.map(|wanted| wanted.trial.request).collect();
        for request in own {
            self.deny(ctx, view, request, Denial::Refused, out);
        }
        let waiting = self.arbiter.waiting().into_iter();
        let waiting: Vec<_> = waiting.filter(|f| refused(self, *f)).collect();
        for fingerprint in waiting {
            for vm in self.arbiter.reject(fingerprint) {
                self.refuse(ctx, view, &vm, fingerprint, out);
            }
        }
        let cases = &self.cases;
        let ready = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).is_none_or(|case| GRACE <= ctx.at.since(case.first))
        };
        let struck = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).map(|case| case.targets.clone()).unwrap_or_default()
        };
        for grant in self.arbiter.serve(ctx, view, ready, struck) {
            self.grant(ctx, view, grant, out);
        }
    }

    /// Tells a VM all strikes, which refuses the request there.
    fn refuse(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        vm: &VmId,
        fingerprint: Fingerprint,
        out: &mut Output,
    ) {
        for target in self.struck(fingerprint) {
            self.send(ctx, view, vm, Message::Strike { fingerprint, target }, out);
        }
    }

    fn grant(&mut self, ctx: &Context<'_>, view: View<'_>, grant: Grant, out: &mut Output) {
        let line = Record::new("trial").with("request", grant.request).with("vm", &grant.to);
        out.log(line.with("target", &grant.target));
        let message = Message::Grant { request: grant.request, target: grant.target };
        self.send(ctx, view, &grant.to, message, out);
    }

    /// Sends a message, to this VM itself without the network.
    fn send(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        to: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        if *to == ctx.me.vm {
            self.peer(ctx, view, &ctx.me.vm, message, out);
        } else if let Some(member) = view.members.get(to) {
            let message = briarshift_wire::Message::Poison(message);
            out.push(Effect::Send { to: to.clone(), address: member.address, message });
        }
    }
}

fn tell_all(view: View<'_>, message: &Message, out: &mut Output) {
    for member in view.members.live() {
        let message = briarshift_wire::Message::Poison(message.clone());
        out.push(Effect::Send { to: member.vm.clone(), address: member.address, message });
    }
}

//! Strikes against fingerprints, and trials that this VM wants.

use std::collections::BTreeMap;

use briarshift_units::{Fingerprint, Moment, RequestId, Span, TargetId, VmId};
use briarshift_wire::poison::{Message, Trial};

use super::arbiter::{self, Grant, arbiter};
use super::{Denial, MAX_STRIKES, Standing, Turn, Verdict, View, WINDOW};
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
    pub fn strike(&mut self, turn: &mut Turn<'_>, fingerprint: Fingerprint, target: &TargetId) {
        self.note(turn.ctx, fingerprint, std::slice::from_ref(target), turn.out);
        // A member that joined since the first strike has not heard of it.
        for target in self.struck(fingerprint) {
            tell_all(turn.view, &Message::Crash { fingerprint, target }, turn.out);
        }
    }

    /// A request ended well.
    pub fn clear(&mut self, turn: &mut Turn<'_>, fingerprint: Fingerprint) {
        if self.forget(fingerprint, turn.out) {
            tell_all(turn.view, &Message::Clear { fingerprint }, turn.out);
        }
    }

    /// Wants a trial for a request, or reports one that runs. For one that is
    /// wanted, a [`Verdict`] follows.
    pub fn attempt(&mut self, turn: &mut Turn<'_>, trial: Trial) {
        let request = trial.request;
        if trial.running.is_none()
            && self.standing(turn.ctx, trial.fingerprint) == Standing::Refused
        {
            let target = Err(Denial::Refused);
            turn.out.signal(Signal::Tried(Verdict { request, target }));
            return;
        }
        let arbiter = arbiter(turn.ctx, turn.view, &trial);
        let granted = trial.running.is_some();
        let wanted = Wanted { trial, since: turn.ctx.at, asked: turn.ctx.at, arbiter, granted };
        self.wanted.insert(request, wanted);
        self.ask(turn, request);
    }

    /// A trial ended, or its request waits for it no longer.
    pub fn over(&mut self, turn: &mut Turn<'_>, id: RequestId) {
        let Some(wanted) = self.wanted.remove(&id) else { return };
        let struck = self.struck(wanted.trial.fingerprint);
        let done = Message::Done { request: id, crashed_targets: struck };
        self.send(turn, &wanted.arbiter, done);
    }

    /// A peer's message.
    pub fn peer(&mut self, turn: &mut Turn<'_>, from: &VmId, message: Message) {
        match message {
            Message::Crash { fingerprint, target } => {
                self.note(turn.ctx, fingerprint, &[target], turn.out);
            }
            Message::Clear { fingerprint } => {
                self.forget(fingerprint, turn.out);
            }
            Message::RequestTrial { trial, crashed_targets: struck } => {
                self.asked(turn, from, trial, &struck)
            }
            Message::Grant { request, target } => {
                self.granted(turn, from, request, target);
            }
            Message::Done { request, crashed_targets: struck } => {
                if let Some(fingerprint) = self.arbiter.done(request) {
                    self.note(turn.ctx, fingerprint, &struck, turn.out);
                }
                self.serve(turn);
            }
        }
    }

    /// Periodic work: asks again, gives up, grants, forgets.
    pub fn tick(&mut self, turn: &mut Turn<'_>) {
        self.cases.retain(|_, case| turn.ctx.at.since(case.last) < WINDOW);
        let pending = self.wanted.iter().filter(|(_, wanted)| !wanted.granted);
        let pending: Vec<_> =
            pending.map(|(id, wanted)| (*id, wanted.since, wanted.asked)).collect();
        for (request, since, asked) in pending {
            if ASK_WAIT <= turn.ctx.at.since(since) {
                self.deny(turn, request, Denial::Late);
            } else if ASK_INTERVAL <= turn.ctx.at.since(asked) {
                self.ask(turn, request);
            }
        }
        self.arbiter.expire(turn.ctx.at);
        self.serve(turn);
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

    fn ask(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        let Some(wanted) = self.wanted.get_mut(&request) else { return };
        let fingerprint = wanted.trial.fingerprint;
        wanted.asked = turn.ctx.at;
        wanted.arbiter = arbiter(turn.ctx, turn.view, &wanted.trial);
        let (to, trial) = (wanted.arbiter.clone(), wanted.trial.clone());
        let struck = self.struck(fingerprint);
        self.send(turn, &to, Message::RequestTrial { trial, crashed_targets: struck });
    }

    fn asked(&mut self, turn: &mut Turn<'_>, from: &VmId, trial: Trial, struck: &[TargetId]) {
        let fingerprint = trial.fingerprint;
        self.note(turn.ctx, fingerprint, struck, turn.out);
        if self.standing(turn.ctx, fingerprint) == Standing::Refused && trial.running.is_none() {
            self.refuse(turn, from, fingerprint);
            return;
        }
        if let Some(grant) = self.arbiter.ask(turn.ctx, from, trial) {
            self.grant(turn, grant);
        }
        self.serve(turn);
    }

    fn granted(&mut self, turn: &mut Turn<'_>, from: &VmId, request: RequestId, target: TargetId) {
        let Some(wanted) = self.wanted.get_mut(&request) else {
            // It gave up meanwhile, and the arbiter may not have heard.
            self.send(turn, from, Message::Done { request, crashed_targets: Vec::new() });
            return;
        };
        if !std::mem::replace(&mut wanted.granted, true) {
            wanted.arbiter = from.clone();
            turn.out.signal(Signal::Tried(Verdict { request, target: Ok(target) }));
        }
    }

    fn deny(&mut self, turn: &mut Turn<'_>, request: RequestId, denial: Denial) {
        self.over(turn, request);
        turn.out.signal(Signal::Tried(Verdict { request, target: Err(denial) }));
    }

    /// Grants what can be granted, and turns away what is refused by now.
    fn serve(&mut self, turn: &mut Turn<'_>) {
        let refused = |state: &Self, fingerprint: Fingerprint| {
            state.standing(turn.ctx, fingerprint) == Standing::Refused
        };
        let own = self.wanted.values().filter(|wanted| !wanted.granted);
        let own = own.filter(|wanted| refused(self, wanted.trial.fingerprint));
        let own: Vec<_> = own.map(|wanted| wanted.trial.request).collect();
        for request in own {
            self.deny(turn, request, Denial::Refused);
        }
        let waiting = self.arbiter.waiting().into_iter();
        let waiting: Vec<_> = waiting.filter(|f| refused(self, *f)).collect();
        for fingerprint in waiting {
            for vm in self.arbiter.reject(fingerprint) {
                self.refuse(turn, &vm, fingerprint);
            }
        }
        let cases = &self.cases;
        let ready = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).is_none_or(|case| GRACE <= turn.ctx.at.since(case.first))
        };
        let struck = |fingerprint: Fingerprint| {
            cases.get(&fingerprint).map(|case| case.targets.clone()).unwrap_or_default()
        };
        for grant in self.arbiter.serve(turn.ctx, turn.view, ready, struck) {
            self.grant(turn, grant);
        }
    }

    /// Tells a VM all strikes, which refuses the request there.
    fn refuse(&mut self, turn: &mut Turn<'_>, vm: &VmId, fingerprint: Fingerprint) {
        for target in self.struck(fingerprint) {
            self.send(turn, vm, Message::Crash { fingerprint, target });
        }
    }

    fn grant(&mut self, turn: &mut Turn<'_>, grant: Grant) {
        let line = Record::new("trial").with("request", grant.request).with("vm", &grant.to);
        turn.out.log(line.with("target", &grant.target));
        let message = Message::Grant { request: grant.request, target: grant.target };
        self.send(turn, &grant.to, message);
    }

    /// Sends a message, to this VM itself without the network.
    fn send(&mut self, turn: &mut Turn<'_>, to: &VmId, message: Message) {
        if *to == turn.ctx.me.vm {
            self.peer(turn, &turn.ctx.me.vm, message);
        } else if let Some(member) = turn.view.members.get(to) {
            let message = briarshift_wire::Message::Poison(message);
            turn.out.push(Effect::Send { to: to.clone(), address: member.address, message });
        }
    }
}

fn tell_all(view: View<'_>, message: &Message, out: &mut Output) {
    for member in view.members.live() {
        let message = briarshift_wire::Message::Poison(message.clone());
        out.push(Effect::Send { to: member.vm.clone(), address: member.address, message });
    }
}

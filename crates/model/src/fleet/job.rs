//! Sends, from the gateway to the target and back.

use std::net::SocketAddr;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{End, Event as Request, Send, SendId};
use briarshift_routing::cache::{Prefix, prefixes};
use briarshift_units::Span;

use super::{Fleet, WAY, What};
use crate::desk::Accepted;
use crate::engine::{Step, Work};
use crate::results::Outcome;
use crate::target::Server;

/// A part read again after this time is no loss.
const AGAIN: Span = Span::from_secs(10);

/// One send.
pub(super) struct Job {
    pub(super) vm: usize,
    pub(super) send: SendId,
    pub(super) caller: usize,
    pub(super) target: usize,
    pub(super) given: Vec<Prefix>,
    pub(super) rank: u8,
    pub(super) begun: bool,
}

impl Fleet<'_> {
    pub(super) fn send(&mut self, vm: usize, caller: usize, send: &Send) {
        let Some(target) = self.targets.iter().position(|t| t.id == send.target) else { return };
        self.sent += 1;
        let given = self.given(caller, send.fetch_from);
        let (send, rank) = (send.id, send.priority);
        let job = Job { vm, send, caller, target, given, rank, begun: false };
        self.jobs.insert(self.sent, job);
        self.clock.after(WAY, What::Send(self.sent));
    }

    /// The parts of a caller's prompt that the target at an address gives.
    fn given(&self, caller: usize, holder: Option<SocketAddr>) -> Vec<Prefix> {
        let target = self.targets.iter().find(|target| Some(target.address) == holder);
        match target.map(|target| &target.server) {
            Some(Server::Engine(engine)) => engine.holds(&prefixes(&self.callers[caller].parts)),
            _ => Vec::new(),
        }
    }

    /// A send has reached its target.
    pub(super) fn reach(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else { return };
        let target = job.target;
        if !self.targets[target].up {
            return self.miss(number, End::NotSent { reason: "refused".into() });
        }
        let events = self.callers[job.caller].events;
        let work = Work {
            job: number,
            parts: prefixes(&self.callers[job.caller].parts),
            events,
            rank: job.rank,
            given: job.given.clone(),
        };
        self.count(target);
        match &mut self.targets[target].server {
            Server::Engine(engine) => {
                engine.accept(work);
                if !self.targets[target].steps {
                    self.targets[target].steps = true;
                    self.clock.after(Span::ZERO, What::Step(target));
                }
            }
            Server::Desk(desk) => match desk.accept(number) {
                Accepted::Runs => self.work(target, number),
                Accepted::Waits => {}
                Accepted::Full => self.miss(number, End::NotRun { status: 503, moved: false }),
            },
        }
    }

    /// Compares an engine's load with its pool's mean.
    pub(super) fn count(&mut self, target: usize) {
        if !matches!(self.targets[target].server, Server::Engine(_)) {
            return;
        }
        let pool = &self.targets[target].pool;
        let engines = self.targets.iter().filter(|target| target.pool == *pool && target.up);
        let loads: Vec<u32> = engines.map(|target| target.load().0 + target.load().1).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        let (running, waiting) = self.targets[target].load();
        self.tally.sends += 1;
        self.tally.overloaded_sends += u64::from(2.0 * mean + 3.0 < f64::from(running + waiting));
    }

    pub(super) fn work(&mut self, target: usize, job: u64) {
        let draw = self.rng.f64();
        let Server::Desk(desk) = &self.targets[target].server else { return };
        self.clock.after(desk.work(draw), What::Done(target, job));
    }

    pub(super) fn done(&mut self, target: usize, number: u64) {
        let Server::Desk(desk) = &mut self.targets[target].server else { return };
        if !desk.jobs().contains(&number) {
            return;
        }
        if let Some(next) = desk.finish(number) {
            self.work(target, next);
        }
        self.begun(number);
        self.whole(number);
    }

    pub(super) fn step(&mut self, target: usize) {
        let now = self.clock.now();
        let Server::Engine(engine) = &mut self.targets[target].server else { return };
        let Some(step) = engine.step(now) else {
            self.targets[target].steps = false;
            return;
        };
        self.tally.transferred_tokens += step.fetched;
        self.tally.own_tokens += step.own;
        for &(chain, tokens) in &step.read {
            self.tally.shared_tokens += u64::from(tokens);
            let before = self.seen.insert(chain, now);
            if before.is_some_and(|at| now.since(at) < AGAIN) {
                self.tally.reread_tokens += u64::from(tokens);
            }
        }
        self.clock.after(step.took, What::Stepped(target, step));
    }

    pub(super) fn stepped(&mut self, target: usize, step: &Step) {
        if !self.targets[target].steps {
            return;
        }
        for &job in &step.first {
            self.begun(job);
        }
        for &job in &step.last {
            self.whole(job);
        }
        self.step(target);
    }

    /// An answer begins: the gateway and the caller learn of it.
    pub(super) fn begun(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.begun = true;
        let (vm, id, caller) = (job.vm, job.send, &mut self.callers[job.caller]);
        let took = self.clock.now().since(caller.came) + WAY + WAY;
        caller.first.get_or_insert(took);
        let report = Some(self.targets[job.target].report());
        let begun = Kind::Request(Request::AnswerBegan { id, report });
        self.clock.after(WAY, What::Vm(vm, begun));
    }

    pub(super) fn whole(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let report = Some(self.targets[job.target].report());
        let ended = Request::SendEnded { id: job.send, end: End::Complete { ok: true }, report };
        self.clock.after(WAY, What::Vm(job.vm, Kind::Request(ended)));
        let now = self.clock.now();
        let caller = &mut self.callers[job.caller];
        caller.whole = Some(now.since(caller.came) + WAY + WAY);
        let aim = self.scenario.workloads[caller.load].aim;
        let is_in_time = caller.first.is_some_and(|first| first <= aim);
        self.over(job.caller, if is_in_time { Outcome::InTime } else { Outcome::Late });
    }

    /// A send brings no answer.
    pub(super) fn miss(&mut self, number: u64, end: End) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let report = matches!(end, End::NotRun { .. }).then(|| self.targets[job.target].report());
        let ended = Request::SendEnded { id: job.send, end, report };
        self.clock.after(WAY, What::Vm(job.vm, Kind::Request(ended)));
    }

    /// A target learns that nobody waits for a job.
    pub(super) fn abandon(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        match &mut self.targets[job.target].server {
            Server::Engine(engine) => engine.drop(number),
            Server::Desk(desk) => {
                if let Some(next) = desk.finish(number) {
                    self.work(job.target, next);
                }
            }
        }
    }
}

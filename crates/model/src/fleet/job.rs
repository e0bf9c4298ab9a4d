//! Jobs: the sends of requests from a gateway to a target, and their answers.

use std::net::SocketAddr;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{End, Event as Request, Send, SendId};
use briarshift_gateway::target::Report;
use briarshift_routing::cache::{Prefix, prefixes};
use briarshift_units::Span;

use super::{Action, Fleet, NETWORK_DELAY};
use crate::desk::Accepted;
use crate::engine::{Step, Task};
use crate::results::Outcome;
use crate::target::Server;

/// Time after which reading a part again is not counted as rereading.
const REREAD_WINDOW: Span = Span::from_secs(10);

/// One send of a request to a target.
pub(super) struct Job {
    /// Index of the gateway that sent it.
    pub(super) vm: usize,
    /// The gateway's identifier of this send.
    pub(super) send: SendId,
    pub(super) caller: usize,
    pub(super) target: usize,
    /// Parts of the prompt that another engine has cached and can transfer.
    pub(super) transferable: Vec<Prefix>,
    pub(super) priority: u8,
    /// Whether the answer has begun.
    pub(super) has_begun: bool,
}

impl Fleet<'_> {
    /// Sends a request to the target that a gateway chose.
    pub(super) fn send_job(&mut self, vm: usize, caller: usize, send: &Send) {
        let Some(target) = self.targets.iter().position(|t| t.id == send.target) else { return };
        self.last_job += 1;
        let transferable = self.cached_at(caller, send.fetch_from);
        let (send, priority) = (send.id, send.priority);
        let job = Job { vm, send, caller, target, transferable, priority, has_begun: false };
        self.jobs.insert(self.last_job, job);
        self.scheduler.schedule(NETWORK_DELAY, Action::Receive(self.last_job));
    }

    /// Returns the leading parts of a caller's prompt that the engine at an address
    /// has cached.
    fn cached_at(&self, caller: usize, holder: Option<SocketAddr>) -> Vec<Prefix> {
        let target = self.targets.iter().find(|target| Some(target.address) == holder);
        match target.map(|target| &target.server) {
            Some(Server::Engine(engine)) => engine.cached(&prefixes(&self.callers[caller].parts)),
            _ => Vec::new(),
        }
    }

    /// Hands a job that has arrived to its target.
    pub(super) fn receive(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else { return };
        let target = job.target;
        if !self.targets[target].is_up {
            return self.fail_job(number, End::NotSent { reason: "refused".into() });
        }
        let events = self.callers[job.caller].events;
        let task = Task {
            job: number,
            parts: prefixes(&self.callers[job.caller].parts),
            events,
            priority: job.priority,
            transferable: job.transferable.clone(),
        };
        self.count_send(target);
        match &mut self.targets[target].server {
            Server::Engine(engine) => {
                engine.accept(task);
                self.results.overfull_sends += u64::from(engine.is_overfull());
                if !self.targets[target].is_stepping {
                    self.targets[target].is_stepping = true;
                    self.scheduler.schedule(Span::ZERO, Action::StepEngine(target));
                }
            }
            Server::Runner(runner) => match runner.accept(number) {
                Accepted::Running => self.run_on_runner(target, number),
                Accepted::Queued => {}
                Accepted::Full => self.fail_job(number, End::NotRun { status: 503, moved: false }),
            },
        }
    }

    /// Counts a send to a target, and whether the target's load is far above its pool's
    /// mean.
    pub(super) fn count_send(&mut self, target: usize) {
        let pool = &self.targets[target].pool;
        let engines = self.targets.iter().filter(|target| target.pool == *pool && target.is_up);
        let loads: Vec<u32> = engines.map(|target| target.load().0 + target.load().1).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        let (running, waiting) = self.targets[target].load();
        let is_overloaded = u64::from(2.0 * mean + 3.0 < f64::from(running + waiting));
        let results = &mut self.results;
        let (sends, overloaded) = match self.targets[target].server {
            Server::Engine(_) => (&mut results.sends, &mut results.overloaded_sends),
            Server::Runner(_) => (&mut results.runner_sends, &mut results.overloaded_runner_sends),
        };
        *sends += 1;
        *overloaded += is_overloaded;
    }

    /// Schedules the end of a job that runs on a desk runner.
    pub(super) fn run_on_runner(&mut self, target: usize, job: u64) {
        let draw = self.rng.f64();
        let slowness = self.targets[target].slowness(&self.scenario.speeds, self.scheduler.now());
        let Server::Runner(runner) = &self.targets[target].server else { return };
        let time = runner.service_time(draw, slowness).0 as f64 * self.targets[target].slowdown;
        self.scheduler.schedule(Span(time as u64), Action::FinishJob(target, job));
    }

    /// Ends a job on a desk runner, unless it was lost or cancelled, and starts the
    /// next one.
    pub(super) fn finish_job(&mut self, target: usize, number: u64) {
        let Server::Runner(runner) = &mut self.targets[target].server else { return };
        if !runner.jobs().contains(&number) {
            return;
        }
        if let Some(next) = runner.finish(number) {
            self.run_on_runner(target, next);
        }
        self.begin_answer(number);
        self.end_answer(number);
    }

    /// Executes one step of an engine and schedules its end.
    pub(super) fn step_engine(&mut self, target: usize) {
        let now = self.scheduler.now();
        let Server::Engine(engine) = &mut self.targets[target].server else { return };
        let Some(step) = engine.step(now) else {
            self.targets[target].is_stepping = false;
            return;
        };
        self.results.transferred_tokens += step.transferred_tokens;
        self.results.own_tokens += step.own_tokens;
        for &(prefix, tokens) in &step.shared_parts {
            self.results.shared_tokens += u64::from(tokens);
            let before = self.last_read.insert(prefix, now);
            if before.is_some_and(|at| now.since(at) < REREAD_WINDOW) {
                self.results.reread_tokens += u64::from(tokens);
            }
        }
        self.scheduler.schedule(step.duration, Action::EndStep(target, step));
    }

    /// Reports the answers that began or ended in a step, and starts the next step.
    pub(super) fn end_step(&mut self, target: usize, step: &Step) {
        if !self.targets[target].is_stepping {
            return;
        }
        for &job in &step.first_event {
            self.begin_answer(job);
        }
        for &job in &step.finished {
            self.end_answer(job);
        }
        self.step_engine(target);
    }

    /// Reports the first event of an answer to the gateway and the caller. Another send of
    /// the request is cancelled.
    pub(super) fn begin_answer(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.has_begun = true;
        let (vm, id, caller) = (job.vm, job.send, &mut self.callers[job.caller]);
        let now = self.scheduler.now();
        let elapsed = now.since(caller.arrived_at) + NETWORK_DELAY + NETWORK_DELAY;
        caller.first_event.get_or_insert(elapsed);
        let report = Some(self.targets[job.target].report(&self.scenario.speeds, now));
        let begun = Kind::Request(Request::AnswerBegan { id, report });
        self.scheduler.schedule(NETWORK_DELAY, Action::Deliver(vm, begun));
        let caller = self.jobs[&number].caller;
        let others =
            self.jobs.iter().filter(|(other, job)| **other != number && job.caller == caller);
        let others: Vec<u64> = others.map(|(other, _)| *other).collect();
        for other in others {
            self.cancel_job(other);
        }
    }

    /// Returns true if a caller's answer has begun or it no longer waits.
    pub(super) fn has_answer(&self, caller: usize) -> bool {
        self.callers[caller].has_ended || self.callers[caller].first_event.is_some()
    }

    /// Reports the end of an answer to the gateway and the caller.
    pub(super) fn end_answer(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let report = Some(self.report(job.target));
        if matches!(self.targets[job.target].server, Server::Engine(_)) {
            let events = self.callers[job.caller].events;
            let streamed = Kind::Request(Request::Streamed { id: job.send, events });
            self.scheduler.schedule(NETWORK_DELAY, Action::Deliver(job.vm, streamed));
        }
        let ended = Request::SendEnded { id: job.send, end: End::Complete { ok: true }, report };
        self.scheduler.schedule(NETWORK_DELAY, Action::Deliver(job.vm, Kind::Request(ended)));
        let now = self.scheduler.now();
        let caller = &mut self.callers[job.caller];
        caller.duration = Some(now.since(caller.arrived_at) + NETWORK_DELAY + NETWORK_DELAY);
        let latency_goal = self.scenario.workloads[caller.workload].latency_goal;
        let is_in_time = caller.first_event.is_some_and(|first| first <= latency_goal);
        self.complete(job.caller, if is_in_time { Outcome::InTime } else { Outcome::Late });
    }

    /// Reports to the gateway that a job has failed.
    pub(super) fn fail_job(&mut self, number: u64, end: End) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let report = matches!(end, End::NotRun { .. }).then(|| self.report(job.target));
        let ended = Request::SendEnded { id: job.send, end, report };
        self.scheduler.schedule(NETWORK_DELAY, Action::Deliver(job.vm, Kind::Request(ended)));
    }

    /// Returns what a target reports in its answers.
    fn report(&self, target: usize) -> Report {
        self.targets[target].report(&self.scenario.speeds, self.scheduler.now())
    }

    /// Cancels a job whose caller no longer waits.
    pub(super) fn cancel_job(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        match &mut self.targets[job.target].server {
            Server::Engine(engine) => engine.cancel(number),
            Server::Runner(runner) => {
                if let Some(next) = runner.finish(number) {
                    self.run_on_runner(job.target, next);
                }
            }
        }
    }
}

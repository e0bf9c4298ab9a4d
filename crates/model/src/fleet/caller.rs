//! Callers: they send a request, wait for the answer, and may retry once after a
//! refusal.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Event as Request};
use briarshift_routing::room::Length;
use briarshift_routing::selection::Part;
use briarshift_units::{Fingerprint, Moment, RequestId, Span};

use super::{Action, Fleet, NETWORK_DELAY, WARM_UP};
use crate::results::{Completion, Outcome};
use crate::scenario::{Disturbance, Workload};
use crate::target::DATA_CENTRES;

/// A caller retries only if the wait that it was told is at most the time left
/// until its deadline, divided by this.
const RETRY_WAIT_DIVISOR: u64 = 3;

/// A caller with one request.
pub(super) struct Caller {
    /// Index of its workload.
    pub(super) workload: usize,
    pub(super) arrived_at: Moment,
    pub(super) deadline: Moment,
    /// Parts of its prompt.
    pub(super) parts: Vec<Part>,
    /// Index of the gateway that its latest attempt goes to.
    pub(super) vm: usize,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// Its estimate of the tokens of its answer, if it gives one.
    pub(super) hint: Option<u32>,
    /// Number of events in its answer.
    pub(super) events: u32,
    /// Time from its arrival to the first event of the answer.
    pub(super) first_event: Option<Span>,
    /// Time from its arrival to the end of the answer.
    pub(super) duration: Option<Span>,
    pub(super) has_ended: bool,
    /// Whether an attempt was refused.
    pub(super) refused: bool,
}

impl Fleet<'_> {
    /// Adds a caller with a request of a workload, and schedules the next arrival
    /// of that workload.
    pub(super) fn arrive(&mut self, workload: usize) {
        let now = self.scheduler.now();
        if Moment::default() + WARM_UP + self.scenario.duration <= now {
            return;
        }
        let Workload { rate, deadline, .. } = self.scenario.workloads[workload];
        let mean = 1.0 / (rate * self.rate_factor());
        let delay = -mean * (1.0 - self.rng.f64()).ln();
        self.scheduler.schedule(Span((delay * 1e6) as u64), Action::Arrival(workload));
        let parts = self.draw_parts(workload);
        let events = self.draw_exponential(self.scenario.workloads[workload].prompt.events);
        let hint = self.draw_hint(events);
        let caller = Caller {
            workload,
            arrived_at: now,
            deadline: now + deadline,
            parts,
            vm: self.draw_vm(),
            hint,
            attempts: 0,
            events,
            first_event: None,
            duration: None,
            has_ended: false,
            refused: false,
        };
        self.callers.push(caller);
        self.send_request(self.callers.len() - 1);
    }

    /// Draws the gateway of a caller at random. All of a data centre are alike.
    fn draw_vm(&mut self) -> usize {
        let vm = self.rng.usize(..self.vms.len());
        let shifted = self.active_disturbances().find_map(|disturbance| match disturbance {
            Disturbance::Shift { share } => Some(share),
            _ => None,
        });
        match shifted.is_some_and(|share| self.rng.f64() < share) {
            true => (vm / DATA_CENTRES.len() * DATA_CENTRES.len() + 1).min(self.vms.len() - 1),
            false => vm,
        }
    }

    /// Draws a hint about the length of an answer with so many events.
    fn draw_hint(&mut self, events: u32) -> Option<u32> {
        let error = self.scenario.hint_error?;
        let tokens = f64::from(events * self.scenario.engines.1.tokens_per_event);
        // The sum of twelve uniform draws is about normal, with a variance of 1.
        let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        Some((tokens * (error * normal).exp()) as u32)
    }

    /// Draws the prompt of a request at random. Empty for desk runners.
    pub(super) fn draw_parts(&mut self, workload: usize) -> Vec<Part> {
        let Workload { prompt, kind, .. } = &self.scenario.workloads[workload];
        if !kind.is_stream() {
            return Vec::new();
        }
        let popular = self.active_disturbances().find_map(|disturbance| match disturbance {
            Disturbance::Popular { share } if workload == 0 => Some(share),
            _ => None,
        });
        let is_popular = popular.is_some_and(|share| self.rng.f64() < share);
        let topic = if is_popular { 0 } else { self.rng.u64(..prompt.topics.0) };
        // A topic always has the same preamble.
        let preamble = topic % prompt.preambles.0;
        let own = self.draw_exponential(prompt.own_tokens);
        let id = |kind: u64, number: u64| (workload as u64) << 48 | kind << 40 | number;
        vec![
            Part { id: id(1, preamble), tokens: prompt.preambles.1 },
            Part { id: id(2, topic), tokens: prompt.topics.1 },
            Part { id: id(3, self.callers.len() as u64), tokens: own },
        ]
    }

    /// Draws a size, at least 1, from an exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: u32) -> u32 {
        let draw = -(1.0 - self.rng.f64()).ln();
        ((f64::from(mean) * draw) as u32).max(1)
    }

    /// Sends a caller's request to its gateway; a retry goes to a gateway chosen at
    /// random.
    pub(super) fn send_request(&mut self, index: usize) {
        let now = self.scheduler.now();
        if self.callers[index].has_ended {
            return;
        }
        let retry = 0 < self.callers[index].attempts;
        let vm = if retry { self.draw_vm() } else { self.callers[index].vm };
        let caller = &mut self.callers[index];
        caller.attempts += 1;
        if 1 < caller.attempts {
            caller.vm = vm;
        }
        let left = caller.deadline.since(now);
        let arrival = Arrival {
            request: RequestId(index as u64),
            attempt: format!("a-{index}-{}", caller.attempts).parse().expect("an identifier"),
            at: now,
            host: "model.example".into(),
            path: format!("/{}/x", self.scenario.workloads[caller.workload].name).into(),
            key: None,
            deadline: Some(left),
            parts: caller.parts.clone(),
            length: Length { hint: caller.hint, ..Length::default() },
            fingerprint: Fingerprint(index as u64),
        };
        let (vm, attempts) = (caller.vm, caller.attempts);
        self.scheduler.schedule(left, Action::Deadline(index, attempts));
        self.scheduler
            .schedule(NETWORK_DELAY, Action::Deliver(vm, Kind::Request(Request::Arrived(arrival))));
    }

    /// Refuses a caller's request. The caller retries once if it was told when to
    /// and enough time is left.
    pub(super) fn refuse(&mut self, index: usize, retry_after: Option<Span>) {
        let now = self.scheduler.now();
        let caller = &mut self.callers[index];
        let left = caller.deadline.since(now);
        caller.refused = true;
        match retry_after
            .filter(|wait| wait.0 <= left.0 / RETRY_WAIT_DIVISOR && caller.attempts < 2)
        {
            Some(wait) => self.scheduler.schedule(NETWORK_DELAY + wait, Action::Retry(index)),
            None => self.complete(index, Outcome::Refused),
        }
    }

    /// Fails a caller's request when the deadline of its latest attempt passes.
    pub(super) fn expire(&mut self, index: usize, attempts: u32) {
        let caller = &self.callers[index];
        if caller.has_ended || caller.attempts != attempts {
            return;
        }
        let vm = caller.vm;
        let gone = Kind::Request(Request::CallerLeft(RequestId(index as u64)));
        self.scheduler.schedule(NETWORK_DELAY, Action::Deliver(vm, gone));
        let jobs: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| job.caller == index).map(|(job, _)| *job).collect();
        for number in jobs {
            self.cancel_job(number);
        }
        self.complete(index, Outcome::Failed);
    }

    /// Records the outcome of a caller's request, unless it has one already.
    pub(super) fn complete(&mut self, index: usize, outcome: Outcome) {
        let caller = &mut self.callers[index];
        if std::mem::replace(&mut caller.has_ended, true) {
            return;
        }
        let Caller { workload, arrived_at, first_event, duration, .. } = *caller;
        self.results.completions.push(Completion {
            workload,
            arrived_at,
            first_event,
            duration,
            outcome,
        });
    }
}

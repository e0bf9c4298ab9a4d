//! Callers: they come, wait, are told to come back, and leave.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Event as Request};
use briarshift_routing::selection::Part;
use briarshift_units::{Fingerprint, Moment, RequestId, Span};

use super::{Fleet, LEAD, WAY, What};
use crate::results::{Completion, Outcome};
use crate::scenario::{Disturbance, Workload};

/// Part of the time left that a caller waits before it comes back.
const PATIENCE: u64 = 3;

/// A caller with one request.
pub(super) struct Caller {
    pub(super) load: usize,
    pub(super) came: Moment,
    pub(super) until: Moment,
    pub(super) parts: Vec<Part>,
    pub(super) vm: usize,
    pub(super) tries: u32,
    /// Events of its answer.
    pub(super) events: u32,
    pub(super) first: Option<Span>,
    pub(super) whole: Option<Span>,
    pub(super) ended: bool,
    pub(super) refused: bool,
}

impl Fleet<'_> {
    pub(super) fn arrival(&mut self, load: usize) {
        let now = self.clock.now();
        if Moment::default() + LEAD + self.scenario.duration <= now {
            return;
        }
        let Workload { rate, deadline, .. } = self.scenario.workloads[load];
        let mean = 1.0 / (rate * self.factor());
        let wait = -mean * (1.0 - self.rng.f64()).ln();
        self.clock.after(Span((wait * 1e6) as u64), What::Arrival(load));
        let parts = self.parts(load);
        let events = self.spread(self.scenario.workloads[load].prompt.events);
        let caller = Caller {
            load,
            came: now,
            until: now + deadline,
            parts,
            vm: self.rng.usize(..self.vms.len()),
            tries: 0,
            events,
            first: None,
            whole: None,
            ended: false,
            refused: false,
        };
        self.callers.push(caller);
        self.attempt(self.callers.len() - 1);
    }

    pub(super) fn parts(&mut self, load: usize) -> Vec<Part> {
        let Workload { prompt, kind, .. } = &self.scenario.workloads[load];
        if !kind.is_stream() {
            return Vec::new();
        }
        let popular = self.spells().find_map(|trouble| match trouble {
            Disturbance::Popular { share } if load == 0 => Some(share),
            _ => None,
        });
        let is_popular = popular.is_some_and(|share| self.rng.f64() < share);
        let thing = if is_popular { 0 } else { self.rng.u64(..prompt.things.0) };
        // A thing always has the same beginning.
        let beginning = thing % prompt.beginnings.0;
        let own = self.spread(prompt.own);
        let name = |kind: u64, number: u64| (load as u64) << 48 | kind << 40 | number;
        vec![
            Part { id: name(1, beginning), tokens: prompt.beginnings.1 },
            Part { id: name(2, thing), tokens: prompt.things.1 },
            Part { id: name(3, self.callers.len() as u64), tokens: own },
        ]
    }

    /// A size around a mean: most are smaller, a few much larger.
    fn spread(&mut self, mean: u32) -> u32 {
        let draw = -(1.0 - self.rng.f64()).ln();
        ((f64::from(mean) * draw) as u32).max(1)
    }

    /// A caller sends its request, the first time or once more.
    pub(super) fn attempt(&mut self, index: usize) {
        let now = self.clock.now();
        let caller = &mut self.callers[index];
        if caller.ended {
            return;
        }
        caller.tries += 1;
        if 1 < caller.tries {
            caller.vm = self.rng.usize(..self.vms.len());
        }
        let left = caller.until.since(now);
        let arrival = Arrival {
            request: RequestId(index as u64),
            attempt: format!("a-{index}-{}", caller.tries).parse().expect("an identifier"),
            at: now,
            host: "model.example".into(),
            path: format!("/{}/x", self.scenario.workloads[caller.load].name).into(),
            key: None,
            deadline: Some(left),
            parts: caller.parts.clone(),
            fingerprint: Fingerprint(index as u64),
        };
        let (vm, tries) = (caller.vm, caller.tries);
        self.clock.after(left, What::Deadline(index, tries));
        self.clock.after(WAY, What::Vm(vm, Kind::Request(Request::Arrived(arrival))));
    }

    /// A caller is refused, and comes back once if told so in time.
    pub(super) fn refused(&mut self, index: usize, back: Option<Span>) {
        let now = self.clock.now();
        let caller = &mut self.callers[index];
        let left = caller.until.since(now);
        caller.refused = true;
        match back.filter(|wait| wait.0 <= left.0 / PATIENCE && caller.tries < 2) {
            Some(wait) => self.clock.after(WAY + wait, What::Try(index)),
            None => self.over(index, Outcome::Refused),
        }
    }

    pub(super) fn deadline(&mut self, index: usize, tries: u32) {
        let caller = &self.callers[index];
        if caller.ended || caller.tries != tries {
            return;
        }
        let vm = caller.vm;
        let gone = Kind::Request(Request::CallerLeft(RequestId(index as u64)));
        self.clock.after(WAY, What::Vm(vm, gone));
        let left: Vec<u64> =
            self.jobs.iter().filter(|(_, job)| job.caller == index).map(|(job, _)| *job).collect();
        for number in left {
            self.abandon(number);
        }
        self.over(index, Outcome::Failed);
    }

    pub(super) fn over(&mut self, index: usize, fate: Outcome) {
        let caller = &mut self.callers[index];
        if std::mem::replace(&mut caller.ended, true) {
            return;
        }
        let Caller { load, came, first, whole, .. } = *caller;
        self.tally.completions.push(Completion {
            workload: load,
            arrived_at: came,
            first_event: first,
            duration: whole,
            outcome: fate,
        });
    }
}

//! Simulates a desk runner: concurrent slots and a short queue. A runner whose
//! queue is full refuses requests.

use std::collections::VecDeque;

use briarshift_units::Span;

/// The properties of all runners of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that may wait.
    pub queue: u32,
    /// Mean time to serve a request.
    pub service_time: Span,
}

/// Whether a runner accepted a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// The request runs.
    Running,
    /// The request waits in the queue.
    Queued,
    /// The request was refused and has not run: the queue is full.
    Full,
}

/// A desk runner. Requests are identified by the number of their job.
#[derive(Debug)]
pub struct Runner {
    spec: Spec,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

impl Runner {
    /// Returns an idle runner.
    pub fn new(spec: Spec) -> Self {
        Self { spec, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Returns the number of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns the running and waiting jobs, which are lost if the runner
    /// crashes.
    pub fn jobs(&self) -> Vec<u64> {
        self.running.iter().chain(&self.waiting).copied().collect()
    }

    /// Starts, queues or refuses a job.
    pub fn accept(&mut self, job: u64) -> Accepted {
        if self.running.len() < self.spec.slots as usize {
            self.running.push(job);
            return Accepted::Running;
        }
        if self.spec.queue as usize <= self.waiting.len() {
            return Accepted::Full;
        }
        self.waiting.push_back(job);
        Accepted::Queued
    }

    /// Removes a job that is done or whose caller has left. Returns the waiting
    /// job that starts in its place, if any.
    pub fn finish(&mut self, job: u64) -> Option<u64> {
        let before = self.running.len();
        self.running.retain(|running| *running != job);
        self.waiting.retain(|waiting| *waiting != job);
        if self.running.len() == before {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns the time to serve a request: between 0.5 and 1.5 times the mean,
    /// for a `draw` of 0 to 1, times `slowness`.
    pub fn service_time(&self, draw: f64, slowness: f64) -> Span {
        Span((self.spec.service_time.0 as f64 * (0.5 + draw) * slowness) as u64)
    }
}

//! A plain service: slots, a short queue, and a word for those that find it full.

use std::collections::VecDeque;

use briarshift_units::Span;

/// What every runner of a pool is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Time that a request takes, in the mean.
    pub work: Span,
}

/// What became of a request that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// It runs.
    Runs,
    /// It waits.
    Waits,
    /// There was no room: it has not run.
    Full,
}

/// A runner of a plain service.
#[derive(Debug)]
pub struct Desk {
    spec: Spec,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

impl Desk {
    /// An idle runner.
    pub fn new(spec: Spec) -> Self {
        Self { spec, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Requests that it has, running and waiting.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// All requests that it has, which are lost with it.
    pub fn jobs(&self) -> Vec<u64> {
        self.running.iter().chain(&self.waiting).copied().collect()
    }

    /// Takes a request, or turns it away.
    pub fn accept(&mut self, job: u64) -> Accepted {
        if self.running.len() < self.spec.slots as usize {
            self.running.push(job);
            return Accepted::Runs;
        }
        if self.spec.queue as usize <= self.waiting.len() {
            return Accepted::Full;
        }
        self.waiting.push_back(job);
        Accepted::Waits
    }

    /// A request is done, or its caller has left; the next one to run, if any.
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

    /// How long a request takes, spread around the mean by a draw of 0 to 1.
    pub fn work(&self, draw: f64) -> Span {
        Span((self.spec.work.0 as f64 * (0.5 + draw)) as u64)
    }
}

//! The results of a simulation.

use briarshift_units::{Moment, Span};

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer began within the latency goal of its workload, counted from the
    /// first attempt.
    InTime,
    /// The answer began later.
    Late,
    /// The request was refused, and no retry was allowed or possible in time.
    Refused,
    /// The request failed, or the caller's deadline passed.
    Failed,
}

/// A request that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Index of its workload in the scenario.
    pub workload: usize,
    /// Time of the first attempt.
    pub arrived_at: Moment,
    /// Time from the first attempt to the first event of the answer.
    pub first_event: Option<Span>,
    /// Time from the first attempt to the end of the answer.
    pub duration: Option<Span>,
    /// How it ended.
    pub outcome: Outcome,
}

/// The results of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Results {
    /// Requests that have ended.
    pub completions: Vec<Completion>,
    /// Number of prompt tokens that engines read from parts that are not shared.
    pub own_tokens: u64,
    /// Number of prompt tokens that engines read from shared parts.
    pub shared_tokens: u64,
    /// Number of those tokens that an engine had already read in the last ten
    /// seconds.
    pub reread_tokens: u64,
    /// Number of prompt tokens copied from the cache of another engine.
    pub transferred_tokens: u64,
    /// Number of sends to engines.
    pub sends: u64,
    /// Number of those that reached an engine with a load above twice the pool's
    /// mean plus three.
    pub overloaded_sends: u64,
    /// Number of second sends of late requests.
    pub hedges: u64,
    /// Number of sends after which the requests on an engine needed more memory than it has.
    pub overfull_sends: u64,
    /// Number of sends to desk runners.
    pub runner_sends: u64,
    /// Number of those that reached a runner with a load above twice the pool's mean plus
    /// three.
    pub overloaded_runner_sends: u64,
    /// Number of calls to the store.
    pub store_calls: u64,
}

impl Results {
    /// Returns the number of requests.
    pub fn request_count(&self) -> usize {
        self.completions.len()
    }

    /// Returns the fraction of the requests of one workload, or of all, with this
    /// outcome.
    pub fn share(&self, workload: Option<usize>, outcome: Outcome) -> f64 {
        let selected =
            |ended: &&Completion| workload.is_none_or(|workload| ended.workload == workload);
        let total = self.completions.iter().filter(selected).count();
        let matching = self
            .completions
            .iter()
            .filter(selected)
            .filter(|ended| ended.outcome == outcome)
            .count();
        matching as f64 / total.max(1) as f64
    }

    /// Returns a quantile, 0 to 1, of the time to the first event of a workload's
    /// answers.
    pub fn first_event_quantile(&self, workload: usize, quantile: f64) -> Span {
        let selected = self.completions.iter().filter(|ended| ended.workload == workload);
        quantile_of(selected.filter_map(|ended| ended.first_event).collect(), quantile)
    }

    /// Returns a quantile, 0 to 1, of the time to the end of a workload's answers.
    pub fn duration_quantile(&self, workload: usize, quantile: f64) -> Span {
        let selected = self.completions.iter().filter(|ended| ended.workload == workload);
        quantile_of(selected.filter_map(|ended| ended.duration).collect(), quantile)
    }
}

/// Returns a quantile of some times; zero if there are none.
fn quantile_of(mut times: Vec<Span>, quantile: f64) -> Span {
    times.sort();
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
}

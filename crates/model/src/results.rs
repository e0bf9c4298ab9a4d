//! What became of the requests.

use briarshift_units::{Moment, Span};

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its answer began within its aim, counted from its first try.
    InTime,
    /// Its answer began later.
    Late,
    /// It was told to come back, and did not in time.
    Refused,
    /// It failed, or its caller waited in vain.
    Failed,
}

/// One request that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Its kind, as an index.
    pub workload: usize,
    /// When it came first.
    pub arrived_at: Moment,
    /// Time to its answer's beginning.
    pub first_event: Option<Span>,
    /// Time to its answer's end.
    pub duration: Option<Span>,
    /// How it ended.
    pub outcome: Outcome,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Results {
    /// Requests that have ended.
    pub completions: Vec<Completion>,
    /// Prompt tokens that engines read, own parts only.
    pub own_tokens: u64,
    /// Prompt tokens that engines read, shared parts only.
    pub shared_tokens: u64,
    /// Of these, tokens that some engine had read in the last ten seconds.
    pub reread_tokens: u64,
    /// Prompt tokens taken over from another engine.
    pub transferred_tokens: u64,
    /// Sends to engines, and those of them that met one with more than twice the
    /// pool's mean load and three.
    pub sends: u64,
    /// See [`Self::sends`].
    pub overloaded_sends: u64,
    /// Calls to the store.
    pub store_calls: u64,
}

impl Results {
    /// Requests that came.
    pub fn request_count(&self) -> usize {
        self.completions.len()
    }

    /// Share of the requests of a kind, or of all, with this fate.
    pub fn share(&self, load: Option<usize>, fate: Outcome) -> f64 {
        let of = |ended: &&Completion| load.is_none_or(|load| ended.workload == load);
        let all = self.completions.iter().filter(of).count();
        let some = self.completions.iter().filter(of).filter(|ended| ended.outcome == fate).count();
        some as f64 / all.max(1) as f64
    }

    /// The time to the answer's beginning below which a share of the answers of
    /// a kind stays.
    pub fn first_event_quantile(&self, load: usize, share: f64) -> Span {
        let of = self.completions.iter().filter(|ended| ended.workload == load);
        below(of.filter_map(|ended| ended.first_event).collect(), share)
    }

    /// The time to the answer's end below which a share of them stays.
    pub fn duration_quantile(&self, load: usize, share: f64) -> Span {
        let of = self.completions.iter().filter(|ended| ended.workload == load);
        below(of.filter_map(|ended| ended.duration).collect(), share)
    }
}

fn below(mut times: Vec<Span>, share: f64) -> Span {
    times.sort();
    let index = (times.len() as f64 * share) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
}

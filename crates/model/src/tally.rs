//! What became of the requests.

use briarshift_units::{Moment, Span};

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
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
pub struct Ended {
    /// Its kind, as an index.
    pub load: usize,
    /// When it came first.
    pub came: Moment,
    /// Time to its answer's beginning.
    pub first: Option<Span>,
    /// Time to its answer's end.
    pub whole: Option<Span>,
    /// How it ended.
    pub fate: Fate,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that have ended.
    pub ended: Vec<Ended>,
    /// Prompt tokens that engines read, own parts only.
    pub own: u64,
    /// Prompt tokens that engines read, shared parts only.
    pub read: u64,
    /// Of these, tokens that some engine had read in the last ten seconds.
    pub again: u64,
    /// Prompt tokens taken over from another engine.
    pub fetched: u64,
    /// Sends to engines, and those of them that met one with more than twice the
    /// pool's mean load and three.
    pub sends: u64,
    /// See [`Self::sends`].
    pub over: u64,
    /// Calls to the store.
    pub calls: u64,
}

impl Tally {
    /// Requests that came.
    pub fn offered(&self) -> usize {
        self.ended.len()
    }

    /// Share of the requests of a kind, or of all, with this fate.
    pub fn share(&self, load: Option<usize>, fate: Fate) -> f64 {
        let of = |ended: &&Ended| load.is_none_or(|load| ended.load == load);
        let all = self.ended.iter().filter(of).count();
        let some = self.ended.iter().filter(of).filter(|ended| ended.fate == fate).count();
        some as f64 / all.max(1) as f64
    }

    /// The time to the answer's beginning below which a share of the answers of
    /// a kind stays.
    pub fn first(&self, load: usize, share: f64) -> Span {
        let of = self.ended.iter().filter(|ended| ended.load == load);
        below(of.filter_map(|ended| ended.first).collect(), share)
    }

    /// The time to the answer's end below which a share of them stays.
    pub fn whole(&self, load: usize, share: f64) -> Span {
        let of = self.ended.iter().filter(|ended| ended.load == load);
        below(of.filter_map(|ended| ended.whole).collect(), share)
    }
}

fn below(mut times: Vec<Span>, share: f64) -> Span {
    times.sort();
    let index = (times.len() as f64 * share) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
}

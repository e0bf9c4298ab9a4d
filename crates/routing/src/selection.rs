//! Selection of the target for one request by load, health and cached prompts.
//!
//! [`select_engine`] handles requests with a prompt. Many prompts share long
//! first parts, a few of which are very popular, and engines cache the parts they
//! have read. A prompt goes to the engine that ranks first for its last shared
//! part, so that all VMs choose the same engine without communication. A popular
//! part is spread over the first few engines, as many as its load requires (see
//! [`crate::popularity`]). Engines that have reached their bound on requests or
//! on unread prompt tokens are skipped. If all have, the prompt goes to the one
//! with the fewest tokens to read among those below their bound on requests, or
//! among all if there are none.
//!
//! [`select_runner`] handles requests that leave nothing in a cache. It selects a
//! runner in this data centre while that is nearly idle, else the less loaded of
//! two runners drawn at random from all data centres.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use briarshift_units::ChatKey;

use crate::popularity::replicas;
use crate::rank;

/// Cost added to a runner whose recent answers all failed, in requests.
const ERROR_RATE_COST: f64 = 10.0;
/// Error rate below which failures are ignored: it results from a single failure
/// two seconds ago.
const MIN_ERROR_RATE: f64 = 0.05;
/// Fraction of occupied slots below which a runner counts as idle. It then
/// answers about as fast as an empty one, so a local runner is as good as any
/// other.
pub(crate) const IDLE_LOAD: f64 = 0.34;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A target that could run the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Number of requests on it, running or waiting, from all VMs.
    pub load: u32,
    /// Number of prompt tokens that it still has to read.
    pub backlog: u64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the same data centre as this VM.
    pub local: bool,
    /// Whether it is expected to answer.
    pub healthy: bool,
    /// Fraction of its recent answers that failed, 0 to 1.
    pub error_rate: f64,
}

/// Bounds on the load of each engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Bound on the number of requests, as a multiple of the pool's mean load.
    pub factor: f64,
    /// Number of requests allowed in addition.
    pub extra: u32,
    /// Bound on the number of unread prompt tokens, including the new prompt.
    /// An engine without unread tokens accepts a prompt of any length.
    pub backlog: u64,
}

/// The prompt of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Identifies its last shared part.
    pub key: ChatKey,
    /// Its length in tokens.
    pub tokens: u64,
    /// Fraction of the pool's requests with this last shared part, 0 to 1.
    pub share: f64,
}

/// Selects the engine for a prompt and returns its index. `cached` returns how
/// many tokens of the prompt's shared parts an engine has cached; `entropy` is a
/// random number. Returns `None` if there are no candidates.
///
/// Engines are taken from a heap in the order of their ranks instead of being
/// sorted, because a pool may have thousands of them and only the first few are
/// needed.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Bound, Candidate, Prompt, select_engine};
/// use briarshift_units::ChatKey;
/// let candidate = |name, load| {
///     Candidate { name, load, backlog: 0, slots: 6, local: true, healthy: true, error_rate: 0.0 }
/// };
/// let bound = Bound { factor: 1.5, extra: 1, backlog: 9_000 };
/// let prompt = Prompt { key: ChatKey(7), tokens: 600, share: 0.01 };
/// let idle = [candidate("a", 0), candidate("b", 0)];
/// let none = |_: &Candidate<'_>| 0;
/// let first = select_engine(&idle, &prompt, &bound, none, 1).unwrap();
/// let mut busy = idle;
/// busy[first].load = 9;
/// assert_ne!(select_engine(&busy, &prompt, &bound, none, 1), Some(first));
/// ```
pub fn select_engine<'a>(
    candidates: &[Candidate<'a>],
    prompt: &Prompt,
    bound: &Bound,
    cached: impl Fn(&Candidate<'a>) -> u64,
    entropy: u64,
) -> Option<usize> {
    let by_load = |engine: &Candidate<'a>| Some(f64::from(engine.load));
    select_engine_by(candidates, prompt, bound, cached, by_load, entropy)
}

/// Like [`select_engine`], with the cost of each engine, which decides between the first
/// few by rank. `cost` returns `None` for an engine that can't hold the request, which is
/// not selected. Returns `None` if there is no other.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Bound, Candidate, Prompt, select_engine_by};
/// use briarshift_units::ChatKey;
/// let candidate = |name| {
///     Candidate { name, load: 1, backlog: 0, slots: 6, local: true, healthy: true, error_rate: 0.0 }
/// };
/// let bound = Bound { factor: 1.5, extra: 1, backlog: 9_000 };
/// let prompt = Prompt { key: ChatKey(7), tokens: 600, share: 0.01 };
/// let engines = [candidate("a"), candidate("b")];
/// let none = |_: &Candidate<'_>| 0;
/// let only_b = |engine: &Candidate<'_>| (engine.name == "b").then_some(1.0);
/// assert_eq!(select_engine_by(&engines, &prompt, &bound, none, only_b, 1), Some(1));
/// assert_eq!(select_engine_by(&engines, &prompt, &bound, none, |_| None, 1), None);
/// ```
pub fn select_engine_by<'a>(
    candidates: &[Candidate<'a>],
    prompt: &Prompt,
    bound: &Bound,
    cached: impl Fn(&Candidate<'a>) -> u64,
    cost: impl Fn(&Candidate<'a>) -> Option<f64>,
    entropy: u64,
) -> Option<usize> {
    let usable = usable(candidates);
    let load: u32 = usable.iter().map(|&index| candidates[index].load).sum();
    let mean = f64::from(load + 1) / usable.len().max(1) as f64;
    let max_load = (bound.factor * mean).floor() as u32 + bound.extra;
    let replicas = replicas(prompt.share, load, usable.len());
    let unread =
        |engine: &Candidate<'a>| engine.backlog + prompt.tokens.saturating_sub(cached(engine));
    let score = |index: usize| rank::score(prompt.key, candidates[index].name);
    let open = usable.iter().copied().filter(|&index| candidates[index].load < max_load);
    // The index breaks ties between equal scores.
    let mut open: BinaryHeap<_> = open.map(|index| (score(index), Reverse(index))).collect();
    let mut first = Vec::with_capacity(replicas);
    let mut costs = Vec::with_capacity(replicas);
    while first.len() < replicas
        && let Some((_, Reverse(index))) = open.pop()
    {
        let engine = &candidates[index];
        if can_read(engine, prompt, bound, cached(engine))
            && let Some(cost) = cost(engine)
        {
            first.push(index);
            costs.push(cost);
        }
    }
    let places: Vec<_> = (0..first.len()).collect();
    let chosen = cheaper_of_two(&places, entropy, |place| costs[place]);
    chosen.map(|place| first[place]).or_else(|| {
        let can_hold = |&index: &usize| cost(&candidates[index]).is_some();
        let key = |&index: &usize| {
            let Candidate { load, .. } = candidates[index];
            (max_load <= load, unread(&candidates[index]), load, Reverse(score(index)))
        };
        usable.into_iter().filter(can_hold).min_by_key(key)
    })
}

/// Returns true if a healthy engine has a free slot and can read a prompt within its bound
/// on unread tokens. `cached` returns how many tokens of the prompt's shared parts an engine
/// has cached.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Bound, Candidate, Prompt, has_room};
/// use briarshift_units::ChatKey;
/// let bound = Bound { factor: 1.5, extra: 1, backlog: 9_000 };
/// let prompt = Prompt { key: ChatKey(7), tokens: 600, share: 0.01 };
/// let engine = Candidate {
///     name: "a", load: 5, backlog: 0, slots: 6, local: true, healthy: true, error_rate: 0.0,
/// };
/// let has_room = |engine| has_room(&[engine], &prompt, &bound, |_| 0);
/// assert!(has_room(engine));
/// assert!(!has_room(Candidate { load: 6, ..engine }));
/// assert!(!has_room(Candidate { backlog: 9_000, ..engine }));
/// ```
pub fn has_room<'a>(
    candidates: &[Candidate<'a>],
    prompt: &Prompt,
    bound: &Bound,
    cached: impl Fn(&Candidate<'a>) -> u64,
) -> bool {
    let engines = usable(candidates).into_iter().map(|index| &candidates[index]);
    let mut open = engines.filter(|engine| engine.load < engine.slots);
    open.any(|engine| can_read(engine, prompt, bound, cached(engine)))
}

/// Returns true if an engine that has cached some of a prompt's tokens can read the others
/// within its bound on unread tokens.
fn can_read(engine: &Candidate<'_>, prompt: &Prompt, bound: &Bound, cached: u64) -> bool {
    engine.backlog == 0 || engine.backlog + prompt.tokens.saturating_sub(cached) <= bound.backlog
}

/// Selects the runner for a request without a prompt and returns its index.
/// `entropy` is a random number. Returns `None` if there are no candidates.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Candidate, select_runner};
/// let candidate = |name, load, local| {
///     Candidate { name, load, backlog: 0, slots: 6, local, healthy: true, error_rate: 0.0 }
/// };
/// assert_eq!(select_runner(&[candidate("a", 1, true), candidate("b", 0, false)], 3), Some(0));
/// assert_eq!(select_runner(&[candidate("a", 5, true), candidate("b", 0, false)], 1 << 32), Some(1));
/// ```
pub fn select_runner(candidates: &[Candidate<'_>], entropy: u64) -> Option<usize> {
    let usable = usable(candidates);
    let cost = |index: usize| f64::from(candidates[index].load) + error_cost(&candidates[index]);
    let is_idle =
        |&i: &usize| candidates[i].local && cost(i) < f64::from(candidates[i].slots) * IDLE_LOAD;
    let local: Vec<_> = usable.iter().copied().filter(is_idle).collect();
    cheaper_of_two(&local, entropy, cost).or_else(|| cheaper_of_two(&usable, entropy, cost))
}

/// Returns the cost of a runner's recent failures, in requests.
pub(crate) fn error_cost(candidate: &Candidate<'_>) -> f64 {
    let rate = candidate.error_rate;
    if rate < MIN_ERROR_RATE { 0.0 } else { ERROR_RATE_COST * rate }
}

/// Returns the cheaper of two choices that `entropy` draws at random. The cheapest
/// of all would be the same one on every VM until the VMs learn of each other's
/// requests.
fn cheaper_of_two(choices: &[usize], entropy: u64, cost: impl Fn(usize) -> f64) -> Option<usize> {
    let first = (entropy & u64::from(u32::MAX)) as usize % choices.len().max(1);
    let one = *choices.get(first)?;
    let others = choices.len() - 1;
    if others == 0 {
        return Some(one);
    }
    let step = 1 + (entropy >> 32) as usize % others;
    let two = choices[(first + step) % choices.len()];
    Some(if cost(two) < cost(one) { two } else { one })
}

/// Returns the indices of the healthy candidates, or of all if none is healthy.
pub(crate) fn usable(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let healthy: Vec<_> =
        (0..candidates.len()).filter(|&index| candidates[index].healthy).collect();
    if healthy.is_empty() { (0..candidates.len()).collect() } else { healthy }
}

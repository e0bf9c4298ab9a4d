//! Targets of unequal speed.
//!
//! The load pattern that it answers: engines of different makes in one pool, a quarter of a
//! pool that is slow for long, and machines that are slow for some hundred milliseconds
//! because they run other work too. Equal numbers of requests then mean unequal waits.
//!
//! [`Learned`] holds lasting differences, from the answers that a VM got itself: how long
//! they took against the usual time of that kind of work. [`Stated`] holds what a target
//! says of this moment. It changes many times a second, so that it counts the less the
//! older it is. Plain requests go by the expected end of their work to the better of two
//! targets that are drawn at random, by what they can serve. The invariant: what is drawn
//! does not depend on the loads, so that VMs with the same belief do not all choose the
//! target that looks best to them, and no target is chosen at its bound on requests while
//! another one is below.

use std::collections::BTreeMap;

use briarshift_units::{Moment, Span};

use crate::selection::{Bound, Candidate, IDLE_LOAD, error_cost, usable};
use crate::spread::{SIGNIFICANT_DEVIATIONS, draw};

/// Time constant with which answers are forgotten.
const MEMORY: Span = Span::from_secs(20);
/// Weight of the belief that a target is as fast as the others, in answers.
const PRIOR_ANSWERS: f64 = 4.0;
/// Largest factor between the time of one answer and the usual one that counts, as a
/// logarithm: a single answer may take long for its own reasons.
const MAX_LOG_RATIO: f64 = 1.6;
/// Time after which what a target states of this moment has changed for certain. The
/// belief in it falls evenly to that time.
const CHANGE_TIME: Span = Span::from_millis(600);
/// Age at which what a target states no longer counts: it is as likely as not to have
/// changed, and most machines are not slow.
const STATED_TTL: Span = Span::from_millis(300);
/// Range of the stated factor that is believed.
const STATED_RANGE: (f64, f64) = (0.25, 10.0);
/// Weight that an answer loses with each later one of its kind: the last 100 count.
const DECAY: f64 = 0.99;
/// Number of answers from which on the usual time of a kind is known.
const MIN_ANSWERS: f64 = 5.0;
/// Maximum number of kinds of work whose usual time is kept.
const MAX_KINDS: usize = 512;

/// How long work takes at a target against others, learned from its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Learned {
    weight: f64,
    log_sum: f64,
    at: Moment,
}

impl Learned {
    /// Records an answer that took `ratio` times the usual time.
    pub fn record(&mut self, ratio: f64, now: Moment) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let kept = self.kept(now);
        self.weight = self.weight * kept + 1.0;
        self.log_sum = self.log_sum * kept + ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.at = self.at.max(now);
    }

    /// Returns how many times longer than usual work takes.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::speed::Learned;
    /// use briarshift_units::{Moment, Span};
    /// let mut learned = Learned::default();
    /// assert_eq!(learned.slowness(Moment(0)), 1.0);
    /// for _ in 0..30 {
    ///     learned.record(1.3, Moment(0));
    /// }
    /// assert!(1.2 < learned.slowness(Moment(0)));
    /// assert!(learned.slowness(Moment(0) + Span::from_secs(120)) < 1.05);
    /// ```
    pub fn slowness(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        (self.log_sum * kept / (self.weight * kept + PRIOR_ANSWERS)).exp()
    }

    fn kept(&self, now: Moment) -> f64 {
        (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// What a target stated about the speed of its machine, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stated {
    /// How long work takes, in percent of the usual.
    pub percent: u32,
    /// When the answer that stated it arrived.
    pub at: Moment,
}

impl Stated {
    /// Returns how many times longer than usual work takes, as far as that is still known.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::speed::Stated;
    /// use briarshift_units::{Moment, Span};
    /// let stated = Stated { percent: 250, at: Moment(0) };
    /// let after = |millis| stated.slowness(Moment(0) + Span::from_millis(millis));
    /// assert_eq!(after(0), 2.5);
    /// assert_eq!(after(150), 2.125);
    /// assert_eq!(after(300), 1.0);
    /// ```
    pub fn slowness(&self, now: Moment) -> f64 {
        let age = now.since(self.at);
        if STATED_TTL <= age {
            return 1.0;
        }
        let believed = 1.0 - age.as_secs_f64() / CHANGE_TIME.as_secs_f64();
        1.0 + believed * (self.factor() - 1.0)
    }

    /// Returns how many times longer than usual work took when it was stated.
    pub fn factor(&self) -> f64 {
        (f64::from(self.percent) / 100.0).clamp(STATED_RANGE.0, STATED_RANGE.1)
    }
}

/// The usual time of each kind of work, of which the most recently used are kept.
#[derive(Debug, Clone)]
pub struct Usual<K> {
    kinds: BTreeMap<K, Time>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Time {
    weight: f64,
    /// Sum of the logarithms of the times in seconds.
    log_sum: f64,
    at: Moment,
}

impl<K> Default for Usual<K> {
    fn default() -> Self {
        Self { kinds: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Usual<K> {
    /// Records work that took `seconds`. Returns its ratio to the usual time before, if
    /// that is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::speed::Usual;
    /// use briarshift_units::Moment;
    /// let mut usual = Usual::default();
    /// for _ in 0..9 {
    ///     usual.record(&"lookup", 0.02, Moment(0));
    /// }
    /// let ratio = usual.record(&"lookup", 0.05, Moment(0)).unwrap();
    /// assert!((ratio - 2.5).abs() < 1e-9);
    /// assert_eq!(usual.record(&"other", 0.05, Moment(0)), None);
    /// ```
    pub fn record(&mut self, kind: &K, seconds: f64, now: Moment) -> Option<f64> {
        if !seconds.is_finite() || seconds <= 0.0 {
            return None;
        }
        if !self.kinds.contains_key(kind) && MAX_KINDS <= self.kinds.len() {
            let oldest = self.kinds.iter().min_by_key(|(_, time)| time.at);
            if let Some(oldest) = oldest.map(|(kind, _)| kind.clone()) {
                self.kinds.remove(&oldest);
            }
        }
        let time = self.kinds.entry(kind.clone()).or_default();
        let known = MIN_ANSWERS <= time.weight;
        let ratio = known.then(|| seconds / (time.log_sum / time.weight).exp());
        time.weight = time.weight * DECAY + 1.0;
        time.log_sum = time.log_sum * DECAY + seconds.ln();
        time.at = now;
        ratio
    }

    /// Returns the number of kinds that are kept.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns true if no kind is kept.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }
}

/// How old the loads are by which a runner is selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loads {
    /// Recent against the time that requests take.
    Recent,
    /// Older than most requests take. A difference counts only if it is more than chance.
    /// Holds the fraction of the fleet's VMs that are in this VM's data centre.
    Old(f64),
}

/// Selects the runner for a request without a prompt by the expected end of its work, and
/// returns its index. `slowness` returns how many times longer than usual work takes at a
/// runner, and `entropy` is a random number. Returns `None` if there are no candidates.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Bound, Candidate};
/// use briarshift_routing::speed::{Loads, select_runner};
/// let candidate = |name| Candidate {
///     name, load: 4, backlog: 0, slots: 6, local: false, healthy: true, error_rate: 0.0,
/// };
/// let runners = [candidate("a"), candidate("b")];
/// let bound = Bound { factor: 1.8, extra: 3, backlog: 9_000 };
/// let slowness = |runner: &Candidate<'_>| if runner.name == "a" { 2.5 } else { 1.0 };
/// let select = |entropy| select_runner(&runners, slowness, Loads::Recent, &bound, entropy);
/// let slow = (0..1_000).filter(|&entropy| select(entropy) == Some(0)).count();
/// assert!(slow < 150, "{slow}");
/// ```
pub fn select_runner<'a>(
    candidates: &[Candidate<'a>],
    slowness: impl Fn(&Candidate<'a>) -> f64,
    loads: Loads,
    bound: &Bound,
    entropy: u64,
) -> Option<usize> {
    let usable = usable(candidates);
    let load: u32 = usable.iter().map(|&index| candidates[index].load).sum();
    let count = usable.len().max(1) as f64;
    let max_load = (bound.factor * f64::from(load + 1) / count).floor() as u32 + bound.extra;
    let open: Vec<_> =
        usable.iter().copied().filter(|&index| candidates[index].load < max_load).collect();
    let usable = if open.is_empty() { usable } else { open };
    let runner = |&index: &usize| Runner::new(&candidates[index], index, &slowness);
    let runners: Vec<_> = usable.iter().map(runner).collect();
    let noise = match loads {
        Loads::Recent => 0.0,
        Loads::Old(_) => SIGNIFICANT_DEVIATIONS * (f64::from(load) / count).sqrt().max(1.0),
    };
    let near = near(&runners, loads, f64::from(load) / count + noise);
    let stays = match loads {
        Loads::Recent => !near.is_empty(),
        Loads::Old(vm_share) => draw(entropy, 0) * vm_share * rate(&runners) < rate(&near),
    };
    pick(if stays { &near } else { &runners }, noise, entropy)
}

/// A runner that may be selected.
#[derive(Debug, Clone, Copy)]
struct Runner {
    index: usize,
    is_local: bool,
    slots: f64,
    /// Its requests, with the cost of its recent failures.
    load: f64,
    slowness: f64,
}

impl Runner {
    fn new<'a>(
        candidate: &Candidate<'a>,
        index: usize,
        slowness: &impl Fn(&Candidate<'a>) -> f64,
    ) -> Self {
        Self {
            index,
            is_local: candidate.local,
            slots: f64::from(candidate.slots.max(1)),
            load: f64::from(candidate.load) + error_cost(candidate),
            slowness: slowness(candidate).max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the work that it does in the usual time of a request.
    fn rate(&self) -> f64 {
        self.slots / self.slowness
    }

    /// Returns when a further request is expected to end if there are `more` requests than
    /// known, as a multiple of the usual time for each slot.
    fn end(&self, more: f64) -> f64 {
        (self.load + 1.0 + more) / self.rate()
    }
}

/// Returns the runners of this data centre that are as good as any other: nearly idle, or,
/// by old loads, with a load that is not significantly above the mean.
fn near(runners: &[Runner], loads: Loads, significant: f64) -> Vec<Runner> {
    let is_near = |runner: &&Runner| {
        let load = runner.load * runner.slowness;
        let is_good = match loads {
            Loads::Recent => load < runner.slots * IDLE_LOAD,
            Loads::Old(_) => load <= significant,
        };
        runner.is_local && is_good
    };
    runners.iter().filter(is_near).copied().collect()
}

/// Draws two runners at random by what they can serve, and returns the one where work ends
/// first, if the difference is more than `noise` requests.
fn pick(runners: &[Runner], noise: f64, entropy: u64) -> Option<usize> {
    let one = draw_by_rate(runners, draw(entropy, 1))?;
    let two = draw_by_rate(runners, draw(entropy, 2))?;
    Some(if two.end(noise) < one.end(0.0) { two.index } else { one.index })
}

fn draw_by_rate(runners: &[Runner], drawn: f64) -> Option<&Runner> {
    let mut left = drawn * rate(runners);
    for runner in runners {
        left -= runner.rate();
        if left < 0.0 {
            return Some(runner);
        }
    }
    runners.last()
}

fn rate(runners: &[Runner]) -> f64 {
    runners.iter().map(Runner::rate).sum()
}

//! Decides when a late request is sent a second time.
//!
//! The load pattern that it answers: some targets are slow for a moment, or one
//! connection is. Few answers are late, but they make up the slowest hundredth that
//! callers see. A second send to another target usually answers sooner than the first.
//!
//! A request is late when it has waited longer than a quantile of what its pool needed
//! lately ([`Estimate`]). A delay that is the same for all pools would hedge every request
//! of a slow pool, and none of a fast one.
//!
//! Invariant: in any span of time, all VMs together hedge at most a share of the requests
//! that arrived in that span and the window before it ([`Window`]), however unevenly
//! requests are spread and whichever VMs are cut off. Extra work can therefore not
//! bring an overload about.

use std::fmt;

use briarshift_units::{Moment, Span};

use crate::selection::Candidate;

/// The operators' limit on hedges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Hedges of all VMs together per request; zero turns hedging off.
    pub share: f64,
    /// Part of a pool's answers before which a request does not count as late, 0 to 1.
    pub quantile: f64,
    /// Length of the window in which the share holds.
    pub window: Span,
}

impl Policy {
    /// No request is hedged.
    pub const OFF: Self = Self { share: 0.0, quantile: 0.95, window: Span::from_secs(10) };

    /// Returns true if any request is hedged.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::hedge::Policy;
    /// assert!(!Policy::default().is_on());
    /// assert!(Policy { share: 0.02, ..Policy::default() }.is_on());
    /// ```
    pub fn is_on(&self) -> bool {
        0.0 < self.share
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::OFF
    }
}

/// Number of buckets of an estimate. With [`GROWTH`] they reach from a millisecond to over
/// a minute.
const BUCKETS: usize = 96;
/// Upper bound of the first bucket.
const SHORTEST: Span = Span::from_millis(1);
/// Ratio of the bounds of a bucket: the error of an estimate.
const GROWTH: f64 = 1.125;
/// Time after which an observation counts half: long enough for a pool with two requests a
/// second on this VM, and short enough to follow its load.
const HALF_LIFE: Span = Span::from_secs(20);
/// Interval at which observations lose weight.
const DECAY_INTERVAL: Span = Span::from_millis(500);
/// Minimum weight of the observed answers of a usable estimate.
const MIN_ANSWERS: f64 = 20.0;

/// How long a pool took lately to answer requests of one kind, as this VM observed it.
///
/// The answer to the first send of a hedged request often never arrives, since the second
/// one wins. If such requests were left out, the estimate would be too small, more
/// requests would be hedged, and it would shrink further. They count as not answered at
/// the age that they reached (the Kaplan-Meier estimator).
#[derive(Debug, Clone)]
pub struct Estimate {
    /// Weight of the answers by time.
    answered: [f64; BUCKETS],
    /// Weight of the sends without an answer by the age that they reached.
    unanswered: [f64; BUCKETS],
    decayed_at: Moment,
}

impl Estimate {
    /// Returns an estimate without observations.
    pub fn new(now: Moment) -> Self {
        Self { answered: [0.0; BUCKETS], unanswered: [0.0; BUCKETS], decayed_at: now }
    }

    /// Records that a send was answered after some time.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::hedge::Estimate;
    /// use briarshift_units::{Moment, Span};
    /// let mut estimate = Estimate::new(Moment(0));
    /// for millis in 1..=100 {
    ///     estimate.record_answer(Span::from_millis(millis), Moment(0));
    /// }
    /// let late = estimate.quantile(0.95, Moment(0)).unwrap();
    /// assert!(Span::from_millis(95) <= late && late < Span::from_millis(110));
    /// assert_eq!(estimate.quantile(0.95, Moment(120_000_000)), None);
    /// ```
    pub fn record_answer(&mut self, time: Span, now: Moment) {
        self.decay(now);
        self.answered[bucket(time)] += 1.0;
    }

    /// Records that a send reached some age, and that its answer will not be known.
    pub fn record_unanswered(&mut self, age: Span, now: Moment) {
        self.decay(now);
        self.unanswered[bucket(age)] += 1.0;
    }

    /// Returns the time within which a part of the sends is answered. If more than the
    /// rest were given up, returns the longest time that is known to be too short.
    /// Returns `None` if too few answers were observed lately.
    pub fn quantile(&self, quantile: f64, now: Moment) -> Option<Span> {
        let beyond = 1.0 - quantile;
        let min_answers = MIN_ANSWERS.max(1.0 / beyond.max(f64::EPSILON));
        if self.answer_weight(now) < min_answers {
            return None;
        }
        let total = |weights: &[f64]| weights.iter().sum::<f64>();
        let mut waiting = total(&self.answered) + total(&self.unanswered);
        let (mut unanswered, mut last) = (1.0, 0);
        for index in 0..BUCKETS {
            let (answers, others) = (self.answered[index], self.unanswered[index]);
            if 0.0 < answers + others {
                unanswered *= 1.0 - answers / waiting;
                last = index;
            }
            if unanswered <= beyond {
                break;
            }
            waiting -= answers + others;
        }
        Some(upper_bound(last))
    }

    /// Returns true if all observations are so old that they no longer count.
    pub fn is_stale(&self, now: Moment) -> bool {
        self.answer_weight(now) < 1.0
    }

    fn answer_weight(&self, now: Moment) -> f64 {
        self.answered.iter().sum::<f64>() * remaining_weight(now.since(self.decayed_at))
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let weight = remaining_weight(elapsed);
        for bucket in self.answered.iter_mut().chain(&mut self.unanswered) {
            *bucket *= weight;
        }
        self.decayed_at = now;
    }
}

/// Returns the weight of an observation of this age.
fn remaining_weight(age: Span) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

fn bucket(time: Span) -> usize {
    let ratio = time.0.max(SHORTEST.0) as f64 / SHORTEST.0 as f64;
    ((ratio.ln() / GROWTH.ln()).ceil() as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Span {
    Span((SHORTEST.0 as f64 * GROWTH.powi(bucket as i32)) as u64)
}

/// Number of slots of a window.
const SLOTS: u64 = 20;

/// Requests and hedges of one VM in the last window.
///
/// Each VM hedges at most the share of its own requests, without any allowance, so that
/// the sum over all VMs holds without messages. Requests are counted in whole slots that
/// lie in the window, hedges also in the slot that it cuts, so that rounding never
/// exceeds the share.
#[derive(Debug, Clone, Default)]
pub struct Window {
    slots: [Slot; SLOTS as usize + 1],
    length: Span,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    requests: u32,
    hedges: u32,
}

impl Window {
    /// Records the arrival of a request.
    pub fn record_request(&mut self, policy: &Policy, now: Moment) {
        self.slot(policy, now).requests += 1;
    }

    /// Returns true if this VM may hedge one more request.
    pub fn has_left(&mut self, policy: &Policy, now: Moment) -> bool {
        let newest = self.slot(policy, now).number;
        let (mut requests, mut hedges) = (0, 0);
        for slot in &self.slots {
            let age = newest.saturating_sub(slot.number);
            requests += if age < SLOTS { slot.requests } else { 0 };
            hedges += if age <= SLOTS { slot.hedges } else { 0 };
        }
        f64::from(hedges + 1) <= policy.share * f64::from(requests)
    }

    /// Takes one hedge from this VM's part of the limit. Returns false if none is left.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::hedge::{Policy, Window};
    /// use briarshift_units::Moment;
    /// let policy = Policy { share: 0.1, ..Policy::default() };
    /// let mut window = Window::default();
    /// for _ in 0..19 {
    ///     window.record_request(&policy, Moment(0));
    /// }
    /// assert!(window.withdraw(&policy, Moment(1)));
    /// assert!(!window.withdraw(&policy, Moment(2)));
    /// ```
    pub fn withdraw(&mut self, policy: &Policy, now: Moment) -> bool {
        let has_left = self.has_left(policy, now);
        if has_left {
            self.slot(policy, now).hedges += 1;
        }
        has_left
    }

    /// Returns the current slot. A window of another length starts empty.
    fn slot(&mut self, policy: &Policy, now: Moment) -> &mut Slot {
        if self.length != policy.window {
            *self = Self { length: policy.window, ..Self::default() };
        }
        let number = now.0 / (policy.window.0 / SLOTS).max(1);
        let slot = &mut self.slots[(number % (SLOTS + 1)) as usize];
        if slot.number != number {
            *slot = Slot { number, ..Slot::default() };
        }
        slot
    }
}

/// Why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// It must not run twice.
    NotIdempotent,
    /// Its answer has begun.
    Began,
    /// A target broke it off, or it or a part of its prompt is suspected of a crash: it
    /// must not crash two targets at once.
    Suspect,
    /// This VM shuts down.
    Draining,
    /// The configuration is too old.
    Stale,
    /// Its pool takes that long, or it is not known how long it takes.
    Early,
    /// Its route allows no further target.
    Attempts,
    /// An answer would come too late.
    TimeLeft,
    /// This VM has used its part of the operators' limit.
    Limit,
    /// The pool has too much to do.
    Overload,
    /// No other target has room.
    NoTarget,
    /// The other targets would read shared parts of its prompt again.
    Reread,
    /// The pool's budget of retries is used up.
    RetryBudget,
}

impl Denial {
    /// Returns its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::Began => "began",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
            Self::Stale => "stale",
            Self::Early => "early",
            Self::Attempts => "attempts",
            Self::TimeLeft => "time_left",
            Self::Limit => "limit",
            Self::Overload => "overload",
            Self::NoTarget => "no_target",
            Self::Reread => "reread",
            Self::RetryBudget => "retry_budget",
        }
    }

    /// Returns true if the request may be hedged later, as far as this shows.
    pub fn is_temporary(self) -> bool {
        matches!(
            self,
            Self::Stale
                | Self::Early
                | Self::Limit
                | Self::Overload
                | Self::NoTarget
                | Self::RetryBudget
        )
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// State of a request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// It may run more than once.
    pub is_idempotent: bool,
    /// Its answer has begun.
    pub has_begun: bool,
    /// It may crash targets.
    pub is_suspect: bool,
    /// Time since it was sent.
    pub age: Span,
    /// Time until its caller or route stops waiting.
    pub time_left: Span,
    /// Targets that it may still be sent to.
    pub attempts_left: u32,
}

/// What a VM knows about itself and a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Condition {
    /// The VM shuts down.
    pub is_draining: bool,
    /// The configuration is fresh.
    pub is_fresh: bool,
    /// The VM may hedge one more request.
    pub has_left: bool,
    /// Age at which a request of the pool is late, if that is known.
    pub late_after: Option<Span>,
    /// Time in which half of the answers arrive, if that is known.
    pub typical: Option<Span>,
}

/// Minimum time for an answer to a second send.
const MIN_TIME: Span = Span::from_millis(40);

/// Decides whether a request is due for a second send. A target with room for it and
/// the pool's budget of retries are checked afterwards.
///
/// # Errors
///
/// Returns why it is not.
///
/// # Examples
///
/// ```
/// use briarshift_routing::hedge::{Condition, Denial, Waiting, may_hedge};
/// use briarshift_units::Span;
/// let waiting = Waiting {
///     is_idempotent: true,
///     has_begun: false,
///     is_suspect: false,
///     age: Span::from_millis(90),
///     time_left: Span::from_secs(1),
///     attempts_left: 1,
/// };
/// let condition = Condition {
///     is_draining: false,
///     is_fresh: true,
///     has_left: true,
///     late_after: Some(Span::from_millis(80)),
///     typical: Some(Span::from_millis(20)),
/// };
/// assert_eq!(may_hedge(&waiting, &condition), Ok(()));
/// let booking = Waiting { is_idempotent: false, ..waiting };
/// assert_eq!(may_hedge(&booking, &condition), Err(Denial::NotIdempotent));
/// ```
pub fn may_hedge(waiting: &Waiting, condition: &Condition) -> Result<(), Denial> {
    let late_after = condition.late_after.ok_or(Denial::Early)?;
    let needed = condition.typical.unwrap_or(late_after).max(MIN_TIME);
    let obstacles = [
        (!waiting.is_idempotent, Denial::NotIdempotent),
        (waiting.has_begun, Denial::Began),
        (waiting.is_suspect, Denial::Suspect),
        (condition.is_draining, Denial::Draining),
        (waiting.attempts_left == 0, Denial::Attempts),
        (waiting.time_left <= needed, Denial::TimeLeft),
        (!condition.is_fresh, Denial::Stale),
        (waiting.age < late_after, Denial::Early),
        (!condition.has_left, Denial::Limit),
    ];
    let denial = obstacles.into_iter().find_map(|(holds, denial)| holds.then_some(denial));
    denial.map_or(Ok(()), Err)
}

/// Part of a pool's slots above which nothing is hedged: requests begin to wait for each
/// other there, and more sends would make all of them slower.
const MAX_POOL_LOAD: f64 = 0.7;
/// Part of a target's slots above which it gets no hedge.
const MAX_TARGET_LOAD: f64 = 0.7;

/// Requests above the pool's mean up to which a target gets a hedge. Operators bound what
/// a target holds by a multiple of the mean and three more.
const MAX_ABOVE_MEAN: f64 = 2.0;

/// Keeps the candidates with room for a hedge.
///
/// # Errors
///
/// Returns [`Denial::Overload`] or [`Denial::NoTarget`] if there are none.
///
/// # Examples
///
/// ```
/// use briarshift_routing::hedge::{Denial, with_room};
/// use briarshift_routing::selection::Candidate;
/// let candidate = |name, load| {
///     Candidate { name, load, backlog: 0, slots: 8, local: true, healthy: true, error_rate: 0.0 }
/// };
/// let open = with_room(vec![candidate("a", 7), candidate("b", 1)]).unwrap();
/// assert_eq!(open[0].name, "b");
/// assert_eq!(with_room(vec![candidate("a", 7), candidate("b", 6)]), Err(Denial::Overload));
/// ```
pub fn with_room(mut candidates: Vec<Candidate<'_>>) -> Result<Vec<Candidate<'_>>, Denial> {
    let load: f64 = candidates.iter().map(|it| f64::from(it.load)).sum();
    let slots: f64 = candidates.iter().map(|it| f64::from(it.slots)).sum();
    if 0.0 < slots && slots * MAX_POOL_LOAD <= load {
        return Err(Denial::Overload);
    }
    let mean = load / candidates.len().max(1) as f64;
    candidates.retain(|it| {
        let (load, slots) = (f64::from(it.load + 1), f64::from(it.slots));
        it.healthy && load <= slots * MAX_TARGET_LOAD && load <= mean + MAX_ABOVE_MEAN
    });
    if candidates.is_empty() { Err(Denial::NoTarget) } else { Ok(candidates) }
}

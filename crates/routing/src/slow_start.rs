//! Keeps the requests to a cold target within the rate that it tolerates.
//!
//! The load pattern that it answers: a target that has just started, or become cold, holds
//! no request, so that all VMs prefer it at once; above a small rate it crashes. 66 to 295
//! VMs decide at the same time, a third of them may hear nothing, some have just started,
//! and a whole data centre of cold targets returns. The rate is smaller than the number of
//! VMs: of equal shares, most VMs would have none in any second, and those that all save
//! theirs would send together.
//!
//! So a few VMs, drawn for each target by rendezvous over all registered VMs, feed it: each
//! sends one request a [`MIN_INTERVAL`], which is longer than a second, and saves nothing.
//! Whether the others are heard does not matter, only who is registered: a VM that hears
//! nothing draws the same feeders. The turns of a feeder that is lost are unused until
//! another one takes its place, which is only when its registration has long ended.
//!
//! The invariant: in no second does a target get more requests than there are VMs that
//! believe to be its feeders, which are [`feeders`] of the rate while all know the same
//! VMs, and at most as many more as their knowledge differs by. A VM that replaces another
//! one in the second in which that one still sends adds one. The bound of one and a half
//! times the rate and five more holds for two sets of feeders that have no VM in common, up
//! to a rate of 12 per second; above that, while they have some. VMs fewer than the
//! feeders share the same turns, which adds at most one request a second each.

use briarshift_units::{Moment, RequestRate, Span};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Shortest time between two requests of a feeder: a second, and the time by which their
/// ways to the target may differ.
const MIN_INTERVAL: Span = Span::from_millis(1_100);
/// Part of the rate in requests per second that is the number of feeders. Two sets of
/// feeders stay within twice this part.
const FEEDERS_PER_RATE: f64 = 0.9;

/// Returns the number of VMs that feed a target that tolerates `rate`, if there are as many.
///
/// # Examples
///
/// ```
/// use briarshift_routing::slow_start::feeders;
/// use briarshift_units::RequestRate;
/// assert_eq!(feeders(RequestRate(11_000)), 10);
/// assert_eq!(feeders(RequestRate(200)), 1);
/// ```
pub fn feeders(rate: RequestRate) -> usize {
    (rate.per_second() * FEEDERS_PER_RATE).ceil().max(1.0) as usize
}

/// Returns the time between two requests of the VM `me` to a target, or `None` if it is not
/// among its feeders. `others` are all other VMs that may send requests.
///
/// # Examples
///
/// ```
/// use briarshift_routing::slow_start::interval;
/// use briarshift_units::{RequestRate, Span};
/// let rate = RequestRate(2_000);
/// let vms = ["vm-1", "vm-2", "vm-3"];
/// let others = |me| vms.into_iter().filter(move |vm| *vm != me);
/// let intervals = vms.map(|me| interval("e-1", me, others(me), rate));
/// assert_eq!(intervals.into_iter().flatten().collect::<Vec<_>>(), [Span::from_millis(1_100); 2]);
/// ```
pub fn interval<'a>(
    target: &str,
    me: &str,
    others: impl IntoIterator<Item = &'a str>,
    rate: RequestRate,
) -> Option<Span> {
    let seed = xxh3_64_with_seed(target.as_bytes(), 0);
    let rank = |vm| (xxh3_64_with_seed(str::as_bytes(vm), seed), vm);
    let mine = rank(me);
    let (mut before, mut vms) = (0, 1);
    for vm in others {
        vms += 1;
        before += usize::from(rank(vm) < mine);
    }
    let feeders = feeders(rate);
    let at_rate = Span((feeders as f64 * 1e6 / rate.per_second()) as u64);
    let share = vms.min(feeders) as f64 / feeders as f64;
    let interval = Span((MIN_INTERVAL.max(at_rate).0 as f64 * share) as u64);
    (before < feeders).then_some(interval)
}

/// The turns of this VM at one cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turns {
    /// Time between two turns; `None` if this VM does not feed the target.
    interval: Option<Span>,
    first_at: Moment,
    sent_at: Option<Moment>,
}

impl Turns {
    /// Returns the turns of a VM that does not feed the target, until
    /// [`set_interval`](Self::set_interval) is called.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::slow_start::Turns;
    /// use briarshift_units::{Moment, Span};
    /// let mut turns = Turns::new();
    /// assert_eq!(turns.permitted_at(), None);
    /// let interval = Span::from_secs(2);
    /// turns.set_interval(Some(interval), Moment(0), 5);
    /// assert_eq!(turns.permitted_at(), Some(Moment(5)));
    /// turns.record_send(Moment(7));
    /// assert_eq!(turns.permitted_at(), Some(Moment(7) + interval));
    /// ```
    pub fn new() -> Self {
        Self { interval: None, first_at: Moment::default(), sent_at: None }
    }

    /// Returns the time between two turns; `None` if this VM does not feed the target.
    pub fn interval(&self) -> Option<Span> {
        self.interval
    }

    /// Sets the time between two turns. A VM that begins to feed the target has its first
    /// turn within that time, drawn by the random number `entropy`, so that the feeders do
    /// not begin together.
    pub fn set_interval(&mut self, interval: Option<Span>, now: Moment, entropy: u64) {
        if let (None, Some(interval)) = (self.interval, interval) {
            self.first_at = now + Span(entropy % interval.0.max(1));
        }
        self.interval = interval;
    }

    /// Records a request that this VM sends to the target.
    pub fn record_send(&mut self, now: Moment) {
        self.sent_at = Some(now);
    }

    /// Returns from when a request may be sent; `None` if this VM does not feed the target.
    pub fn permitted_at(&self) -> Option<Moment> {
        let interval = self.interval?;
        let next_at = self.sent_at.map(|at| at + interval);
        Some(next_at.map_or(self.first_at, |at| at.max(self.first_at)))
    }
}

impl Default for Turns {
    fn default() -> Self {
        Self::new()
    }
}

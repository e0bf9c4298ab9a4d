//! Fair shares of a pool among client accounts, by the slots that their requests take.
//!
//! The load that it answers: one account sends many times its usual, or a part of a pool
//! is lost, and what is left does not suffice for all. Each account then gets what the
//! others leave, and never less than its share because another one sends more.
//!
//! An account's demand is the number of slots that its requests would take if all were
//! served: the rate at which they arrive, times what each costs. Demands of all VMs add
//! up, and a rate that is half a second old is still right, while a number of requests
//! that is half a second old is not. [`level`] divides the capacity: accounts whose
//! demand is below the level get all of it, the others the level. Each VM passes that part
//! of what it gets from an account ([`Usage::take`]), so the VMs need no common counter.
//!
//! Within an account, its urgent requests use its share first, but the others keep a part
//! of it.

use briarshift_units::{Moment, Span};

/// Time over which the rate of an account's requests is averaged.
const RATE_TIME: Span = Span::from_secs(2);
/// Part of what an account would get if all were served alike that it keeps, however far it
/// is over its share: callers that are refused ask more than once.
const MIN_ACCOUNT_PART: f64 = 0.12;
/// Part of an account's share that its less urgent requests keep.
const MIN_CLASS_PART: f64 = 0.25;
/// Number of requests that an account may send ahead of its share, for those that come
/// back as they were told.
const MAX_DEBT: f64 = 1.0;
/// Number of priorities that are told apart.
const CLASSES: usize = 4;
/// Rate, as a fraction of one request in [`RATE_TIME`], below which an account's usage is
/// forgotten: nothing has arrived for four times that long.
const FORGOTTEN: f64 = 0.02;

/// The demand of one account, or of several equal ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Slots that its requests would take.
    pub slots: f64,
    /// Its weight; an account with twice the weight has twice the share.
    pub weight: f64,
}

/// Returns the number of slots for each unit of weight that no account exceeds, so that
/// all of the capacity is used. Infinite if the demands fit.
///
/// # Examples
///
/// ```
/// use briarshift_routing::share::{Demand, level};
/// let demands = [2.0, 3.0, 40.0].map(|slots| Demand { slots, weight: 1.0 });
/// assert_eq!(level(&demands, 20.0), 15.0);
/// assert_eq!(level(&demands, 45.0), f64::INFINITY);
/// ```
pub fn level(demands: &[Demand], capacity: f64) -> f64 {
    let mut demands: Vec<_> = demands.iter().filter(|it| 0.0 < it.weight).collect();
    demands.sort_by(|a, b| (a.slots / a.weight).total_cmp(&(b.slots / b.weight)));
    let mut weight: f64 = demands.iter().map(|it| it.weight).sum();
    let mut left = capacity.max(0.0);
    for demand in demands {
        let level = left / weight;
        if level * demand.weight < demand.slots {
            return level;
        }
        left -= demand.slots;
        weight -= demand.weight;
    }
    f64::INFINITY
}

/// How a capacity is shared among accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Division {
    /// Slots for each unit of weight that no account exceeds.
    pub level: f64,
    /// Part of all requests that the capacity suffices for.
    pub mean: f64,
}

impl Division {
    /// Divides a capacity among accounts.
    pub fn new(demands: &[Demand], capacity: f64) -> Self {
        let sum: f64 = demands.iter().map(|it| it.slots).sum();
        let mean = if sum <= capacity { 1.0 } else { capacity.max(0.0) / sum };
        Self { level: level(demands, capacity), mean }
    }

    /// Returns how many slots are demanded for each that there is, at least 1.
    pub fn overload(&self) -> f64 {
        1.0 / self.mean.max(f64::MIN_POSITIVE)
    }

    /// Returns the part of an account's requests, 0 to 1, that its share suffices for. An
    /// account that sends far more than its share keeps a part of what it would get without
    /// shares, so that none starves.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::share::{Demand, Division};
    /// let demand = |slots| Demand { slots, weight: 1.0 };
    /// let division = Division::new(&[demand(4.0), demand(40.0)], 14.0);
    /// assert_eq!(division.part(demand(4.0)), 1.0);
    /// assert_eq!(division.part(demand(40.0)), 0.25);
    /// assert_eq!(division.part(demand(400.0)), 0.12 * 14.0 / 44.0);
    /// ```
    pub fn part(&self, demand: Demand) -> f64 {
        let share = self.level * demand.weight;
        if demand.slots <= share {
            return 1.0;
        }
        (share / demand.slots).max(self.mean * MIN_ACCOUNT_PART)
    }
}

/// What one account sends to one pool by way of one VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Cost of the recent requests of each priority, as of `at`.
    recent: [f64; CLASSES],
    /// Requests of each priority that its share suffices for.
    credit: [f64; CLASSES],
    at: Moment,
}

impl Usage {
    /// Returns the usage of an account that has sent nothing. Its first request is within
    /// its share: one request says nothing about a rate.
    pub fn new(now: Moment) -> Self {
        Self { recent: [0.0; CLASSES], credit: [1.0; CLASSES], at: now }
    }

    /// Records a request, its cost and priority.
    pub fn record(&mut self, cost: f64, priority: u8, now: Moment) {
        let decay = self.decay(now);
        for recent in &mut self.recent {
            *recent *= decay;
        }
        self.at = self.at.max(now);
        self.recent[class(priority)] += cost;
    }

    /// Returns the cost of the requests that arrive, for each second.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::share::Usage;
    /// use briarshift_units::Moment;
    /// let mut usage = Usage::new(Moment(0));
    /// for request in 0..1_000 {
    ///     usage.record(1.0, 0, Moment(request * 100_000));
    /// }
    /// assert!((9.0..11.0).contains(&usage.rate(Moment(100_000_000))));
    /// assert!(usage.rate(Moment(110_000_000)) < 0.1);
    /// ```
    pub fn rate(&self, now: Moment) -> f64 {
        self.recent.iter().sum::<f64>() * self.decay(now) / seconds(RATE_TIME)
    }

    /// Returns true if the account has sent nothing for so long that its usage may be
    /// forgotten. `cost` is that of one request.
    pub fn is_over(&self, cost: f64, now: Moment) -> bool {
        self.rate(now) * seconds(RATE_TIME) < FORGOTTEN * cost
    }

    /// Returns true if a request is within the account's share, which suffices for `part`
    /// of its requests, and counts it in that case. A request that `returns` as it was
    /// told goes before those that come new.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::share::Usage;
    /// use briarshift_units::Moment;
    /// let mut usage = Usage::new(Moment(0));
    /// let mut passed = 0;
    /// for _ in 0..100 {
    ///     usage.record(1.0, 0, Moment(0));
    ///     passed += u32::from(usage.take(0, 0.25, false));
    /// }
    /// assert_eq!(passed, 26);
    /// ```
    pub fn take(&mut self, priority: u8, part: f64, returns: bool) -> bool {
        let class = class(priority);
        let credit = self.credit[class] + self.class_part(class, part);
        let needed = if returns { 1.0 - MAX_DEBT } else { 1.0 };
        // Sums of parts fall short of one by what rounding takes.
        let is_within = needed - 1e-9 <= credit;
        self.credit[class] = if is_within { credit - 1.0 } else { credit };
        is_within
    }

    /// Returns the part of the requests of one priority that the share suffices for, after
    /// the more urgent ones.
    fn class_part(&self, class: usize, part: f64) -> f64 {
        let sum: f64 = self.recent.iter().sum();
        if 1.0 <= part || self.recent[class] <= 0.0 {
            return part.min(1.0);
        }
        let urgent: f64 = self.recent[..class].iter().sum();
        let left = (part * sum - urgent) / self.recent[class];
        left.clamp(part * MIN_CLASS_PART, 1.0)
    }

    fn decay(&self, now: Moment) -> f64 {
        (-seconds(now.since(self.at)) / seconds(RATE_TIME)).exp()
    }
}

fn class(priority: u8) -> usize {
    usize::from(priority).min(CLASSES - 1)
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

//! Decides on which target of a slice a request runs.
//!
//! A slice is a shard of a pool's targets, and one VM admits all requests for
//! it. A [`Snapshot`] holds that VM's view of the slice: the live targets and
//! the number of requests on each.
//!
//! A request goes to the target that holds the context of its chat. If that
//! target is full, the request waits for it for a short time. After that, or if
//! no target holds the context, another target is chosen: the least loaded one
//! for a returning chat, the first in rendezvous order for a new one. No target
//! is ever loaded beyond the bound.

use std::cmp::Reverse;

use briarshift_units::{ChatKey, Span, StartNumber, TargetId};

use crate::{bound, rank};

/// A live target of the slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Number of requests on it, of all priorities.
    pub load: u32,
    /// Number of overnight requests on it.
    pub overnight: u32,
    /// Whether every request may run here. If false, only chats whose context
    /// the target holds may: the admitting VM believes that the target takes no
    /// work, but the VM that sent the request believes that it does.
    pub accepts_all: bool,
}

/// The bound on the load of each target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// A multiple of the pool's mean load.
    Mean {
        /// The multiple.
        factor: f64,
        /// Fraction of the bound that overnight requests may use.
        overnight_share: f64,
    },
    /// A fixed number of requests.
    Fixed(u32),
}

/// The targets of a slice, and the load of the rest of the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<'a> {
    /// Live targets of the slice.
    pub candidates: Vec<Candidate<'a>>,
    /// The bound on the load of each target.
    pub bound: Bound,
    /// Load of the pool's other slices. Requests that are counted in this slice
    /// but possibly do not run now are subtracted: those that have not reached
    /// their target yet, and those that may have ended without the admitting VM
    /// knowing.
    pub other_load: i64,
    /// Number of targets outside `candidates` that count towards the pool's
    /// mean load.
    pub other_targets: u32,
}

/// A request to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// The chat it belongs to.
    pub chat: ChatKey,
    /// The target that holds the chat's context, and the start number that the
    /// target had when it last ran the chat.
    pub cached_on: Option<(&'a TargetId, StartNumber)>,
    /// Targets it must not run on.
    pub avoid: &'a [TargetId],
    /// Whether it has overnight priority.
    pub overnight: bool,
    /// How much longer it may wait for the target that holds its context.
    pub context_wait: Span,
}

/// The reason for which a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It holds the chat's context.
    HoldsContext,
    /// It is first in the chat's rendezvous order.
    Rank,
    /// It is the first target below the bound in the chat's rendezvous order;
    /// those before it are full.
    NextRank,
    /// It has the least load. Used when the target that holds the chat's
    /// context can't run the request: any other target has to read the whole
    /// chat, and holds its context from then on.
    LeastLoaded,
}

impl Reason {
    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HoldsContext => "holds_context",
            Self::Rank => "rank",
            Self::NextRank => "next_rank",
            Self::LeastLoaded => "least_loaded",
        }
    }
}

/// The decision for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Run it on the candidate with this index.
    Candidate(usize, Reason),
    /// Wait a short time: the target that holds the context is full.
    WaitForContext,
    /// Wait: all targets are full.
    WaitForAny,
    /// No target may run it.
    NoCandidate,
}

/// The reason for which a preferred target was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It has restarted or left since it ran the chat, so its context is lost.
    ContextLost,
    /// The request must not run on it.
    Avoided,
    /// It takes no new work.
    Closed,
    /// Its load has reached the bound.
    Full,
}

impl Obstacle {
    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ContextLost => "context_lost",
            Self::Avoided => "avoided",
            Self::Closed => "closed",
            Self::Full => "full",
        }
    }
}

/// A target that was preferred over the chosen one but could not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Skipped<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// The reason.
    pub reason: Obstacle,
}

impl Snapshot<'_> {
    /// Returns the bound: the maximum number of requests on one target,
    /// including the request to be admitted.
    pub fn cap(&self) -> u32 {
        match self.bound {
            Bound::Fixed(cap) => cap,
            Bound::Mean { factor, .. } => {
                let own: i64 =
                    self.candidates.iter().map(|candidate| i64::from(candidate.load)).sum();
                let load = u32::try_from((own + self.other_load).max(0)).unwrap_or(u32::MAX);
                bound::cap(factor, load, self.candidates.len() as u32 + self.other_targets)
            }
        }
    }

    /// Chooses a target for a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::admission::{Bound, Candidate, Choice, Reason, Request, Snapshot};
    /// use briarshift_units::{ChatKey, Span, StartNumber};
    /// let id = "e-1".parse().unwrap();
    /// let candidate =
    ///     Candidate { target: &id, start: StartNumber(1), load: 0, overnight: 0, accepts_all: true };
    /// let bound = Bound::Fixed(1);
    /// let snapshot =
    ///     Snapshot { candidates: vec![candidate], bound, other_load: 0, other_targets: 0 };
    /// let cached_on = Some((&id, StartNumber(1)));
    /// let context_wait = Span::ZERO;
    /// let request =
    ///     Request { chat: ChatKey(1), cached_on, avoid: &[], overnight: false, context_wait };
    /// assert_eq!(snapshot.choose(&request), Choice::Candidate(0, Reason::HoldsContext));
    /// ```
    pub fn choose(&self, request: &Request<'_>) -> Choice {
        let cap = self.cap();
        let candidates = self.candidates.iter().enumerate();
        let allowed = candidates.filter(|(_, candidate)| !request.avoid.contains(candidate.target));
        let allowed: Vec<_> = allowed.collect();
        let holder = request.cached_on.and_then(|(id, start)| {
            allowed.iter().find(|(_, candidate)| candidate.target == id && candidate.start == start)
        });
        if let Some(&(index, candidate)) = holder {
            if self.has_room(candidate, request.overnight, cap) {
                return Choice::Candidate(index, Reason::HoldsContext);
            }
            if Span::ZERO < request.context_wait {
                return Choice::WaitForContext;
            }
        }
        let allowed: Vec<_> =
            allowed.into_iter().filter(|(_, candidate)| candidate.accepts_all).collect();
        if allowed.is_empty() {
            return Choice::NoCandidate;
        }
        let with_room = allowed
            .iter()
            .filter(|(_, candidate)| self.has_room(candidate, request.overnight, cap));
        if request.cached_on.is_some() {
            let key = |candidate: &Candidate<'_>| {
                (candidate.load, Reverse(rank::score(request.chat, candidate.target.as_str())))
            };
            let least = with_room.min_by_key(|(_, candidate)| key(candidate));
            return least
                .map_or(Choice::WaitForAny, |&(i, _)| Choice::Candidate(i, Reason::LeastLoaded));
        }
        let Some(&(index, _)) =
            rank::best(request.chat, with_room, |(_, candidate)| candidate.target.as_str())
        else {
            return Choice::WaitForAny;
        };
        let first = rank::best(request.chat, &allowed, |(_, candidate)| candidate.target.as_str());
        let is_first = first.is_some_and(|&(first, _)| first == index);
        Choice::Candidate(index, if is_first { Reason::Rank } else { Reason::NextRank })
    }

    /// Adds a request to the load of a candidate.
    pub fn reserve(&mut self, index: usize, overnight: bool) {
        let candidate = &mut self.candidates[index];
        candidate.load += 1;
        candidate.overnight += u32::from(overnight);
    }

    /// Returns the targets that were preferred over the chosen candidate but
    /// could not be used, for the log: first the one that held the context, then
    /// those that rank higher.
    pub fn skipped<'a>(&'a self, request: &Request<'a>, chosen: usize) -> Vec<Skipped<'a>> {
        let Some(chosen) = self.candidates.get(chosen) else { return Vec::new() };
        let cap = self.cap();
        let holder = request.cached_on.filter(|(id, _)| *id != chosen.target);
        let holder = holder.map(|(target, start)| {
            let candidate = self
                .candidates
                .iter()
                .find(|candidate| candidate.target == target && candidate.start == start);
            let obstacle = candidate.and_then(|candidate| self.obstacle(request, candidate, cap));
            Skipped { target, reason: obstacle.unwrap_or(Obstacle::ContextLost) }
        });
        let score =
            |candidate: &Candidate<'_>| rank::score(request.chat, candidate.target.as_str());
        let chosen_score = score(chosen);
        let is_holder =
            |other: &Candidate<'_>| request.cached_on.is_some_and(|(id, _)| id == other.target);
        let higher = self
            .candidates
            .iter()
            .filter(|candidate| chosen_score < score(candidate) && !is_holder(candidate));
        let higher = higher.filter_map(|candidate| {
            Some(Skipped {
                target: candidate.target,
                reason: self.obstacle(request, candidate, cap)?,
            })
        });
        holder.into_iter().chain(higher).collect()
    }

    /// Returns the reason for which a request can't run on a candidate; `None`
    /// if it can.
    fn obstacle(
        &self,
        request: &Request<'_>,
        candidate: &Candidate<'_>,
        cap: u32,
    ) -> Option<Obstacle> {
        if request.avoid.contains(candidate.target) {
            return Some(Obstacle::Avoided);
        }
        if !candidate.accepts_all {
            return Some(Obstacle::Closed);
        }
        (!self.has_room(candidate, request.overnight, cap)).then_some(Obstacle::Full)
    }

    /// Returns true if one more request keeps the candidate within its bound.
    fn has_room(&self, candidate: &Candidate<'_>, overnight: bool, cap: u32) -> bool {
        if cap <= candidate.load {
            return false;
        }
        match self.bound {
            Bound::Mean { overnight_share, .. } if overnight => {
                candidate.overnight < bound::overnight_cap(overnight_share, cap)
            }
            _ => true,
        }
    }
}

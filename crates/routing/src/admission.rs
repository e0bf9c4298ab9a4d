//! One placement decision over the targets of a slice.
//!
//! A [`Snapshot`] is the state of a slice as its admitting VM counts it: who
//! lives, and how many requests each target holds. The order of preference is
//! the target that holds the chat's context, a short wait for a place there,
//! then the chat's own rendezvous order. No target is given a place above the
//! bound, whatever the preference.

use std::cmp::Reverse;

use briarshift_units::{ChatKey, Span, StartNumber, TargetId};

use crate::{bound, rank};

/// One live target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Requests it holds.
    pub load: u32,
    /// Of these, overnight work.
    pub overnight: u32,
    /// Open to all; else only to chats whose context it holds, because only
    /// the VM that asks believes it to take work.
    pub accepts_all: bool,
}

/// What bounds a target's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// A multiple of the pool's mean load.
    Mean {
        /// The multiple.
        factor: f64,
        /// Share of a target's places that overnight work may take.
        overnight_share: f64,
    },
    /// A fixed count.
    Fixed(u32),
}

/// The targets of a slice, with what is known of the rest of the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<'a> {
    /// Live targets of the slice.
    pub candidates: Vec<Candidate<'a>>,
    /// What bounds them.
    pub bound: Bound,
    /// Load of the pool's other slices, less what may be counted here but has
    /// not arrived at its target or has ended unheard.
    pub other_load: i64,
    /// Targets of the pool that count for its mean, beside the seats.
    pub other_targets: u32,
}

/// A request that needs a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Its chat.
    pub chat: ChatKey,
    /// The target that holds its context, and that target's start number then.
    pub held_on: Option<(&'a TargetId, StartNumber)>,
    /// Targets it must not run on.
    pub avoid: &'a [TargetId],
    /// Overnight work.
    pub overnight: bool,
    /// How much longer it may wait for the target that holds its context.
    pub context_wait: Span,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It holds the chat's context.
    HoldsContext,
    /// First in the chat's rendezvous order.
    Rank,
    /// Next in that order: those before it are at the bound.
    NextRank,
    /// Holds least, for a chat that can't have its context: whichever target
    /// it moves to will hold it from then on.
    LeastLoaded,
}

impl Reason {
    /// A stable name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HoldsContext => "holds_context",
            Self::Rank => "rank",
            Self::NextRank => "next_rank",
            Self::LeastLoaded => "least_loaded",
        }
    }
}

/// A decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The seat with this index.
    Candidate(usize, Reason),
    /// The target that holds the context has no place yet: worth a short wait.
    WaitForContext,
    /// No target has a place.
    WaitForAny,
    /// No target may run it.
    NoCandidate,
}

/// Why a target that comes before the chosen one was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// It restarted or left since it ran the chat: the context is gone.
    ContextLost,
    /// The request may not run there.
    Avoided,
    /// It takes no new work.
    Closed,
    /// It is at the bound.
    Full,
}

impl Obstacle {
    /// Its name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ContextLost => "context_lost",
            Self::Avoided => "avoided",
            Self::Closed => "closed",
            Self::Full => "full",
        }
    }
}

/// A target that was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Skipped<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Why.
    pub reason: Obstacle,
}

impl Snapshot<'_> {
    /// Most requests one target may hold, the next one included.
    pub fn cap(&self) -> u32 {
        match self.bound {
            Bound::Fixed(cap) => cap,
            Bound::Mean { factor, .. } => {
                let own: i64 = self.candidates.iter().map(|seat| i64::from(seat.load)).sum();
                let load = u32::try_from((own + self.other_load).max(0)).unwrap_or(u32::MAX);
                bound::cap(factor, load, self.candidates.len() as u32 + self.other_targets)
            }
        }
    }

    /// Decides for one request.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::admission::{Snapshot, Bound, Choice, Candidate, Request, Reason};
    /// use briarshift_units::{ChatKey, Span, StartNumber};
    /// let id = "e-1".parse().unwrap();
    /// let seat = Candidate { target: &id, start: StartNumber(1), load: 0, overnight: 0, accepts_all: true };
    /// let bound = Bound::Fixed(1);
    /// let board = Snapshot { candidates: vec![seat], bound, other_load: 0, other_targets: 0 };
    /// let held_on = Some((&id, StartNumber(1)));
    /// let patience = Span::ZERO;
    /// let want = Request { chat: ChatKey(1), held_on, avoid: &[], overnight: false, context_wait: patience };
    /// assert_eq!(board.choose(&want), Choice::Candidate(0, Reason::HoldsContext));
    /// ```
    pub fn choose(&self, want: &Request<'_>) -> Choice {
        let cap = self.cap();
        let seats = self.candidates.iter().enumerate();
        let allowed = seats.filter(|(_, seat)| !want.avoid.contains(seat.target));
        let allowed: Vec<_> = allowed.collect();
        let held = want.held_on.and_then(|(id, start)| {
            allowed.iter().find(|(_, seat)| seat.target == id && seat.start == start)
        });
        if let Some(&(index, seat)) = held {
            if self.has_room(seat, want.overnight, cap) {
                return Choice::Candidate(index, Reason::HoldsContext);
            }
            if Span::ZERO < want.context_wait {
                return Choice::WaitForContext;
            }
        }
        let allowed: Vec<_> = allowed.into_iter().filter(|(_, seat)| seat.accepts_all).collect();
        if allowed.is_empty() {
            return Choice::NoCandidate;
        }
        let open = allowed.iter().filter(|(_, seat)| self.has_room(seat, want.overnight, cap));
        if want.held_on.is_some() {
            let key = |seat: &Candidate<'_>| {
                (seat.load, Reverse(rank::score(want.chat, seat.target.as_str())))
            };
            let least = open.min_by_key(|(_, seat)| key(seat));
            return least
                .map_or(Choice::WaitForAny, |&(i, _)| Choice::Candidate(i, Reason::LeastLoaded));
        }
        let Some(&(index, _)) = rank::best(want.chat, open, |(_, seat)| seat.target.as_str())
        else {
            return Choice::WaitForAny;
        };
        let first = rank::best(want.chat, &allowed, |(_, seat)| seat.target.as_str());
        let is_first = first.is_some_and(|&(first, _)| first == index);
        Choice::Candidate(index, if is_first { Reason::Rank } else { Reason::NextRank })
    }

    /// Counts a request on a seat.
    pub fn reserve(&mut self, index: usize, overnight: bool) {
        let seat = &mut self.candidates[index];
        seat.load += 1;
        seat.overnight += u32::from(overnight);
    }

    /// Targets that come before the chosen seat and could not be taken: the one
    /// that held the context, then those that rank higher. For the log.
    pub fn skipped<'a>(&'a self, want: &Request<'a>, chosen: usize) -> Vec<Skipped<'a>> {
        let Some(taken) = self.candidates.get(chosen) else { return Vec::new() };
        let cap = self.cap();
        let held = want.held_on.filter(|(id, _)| *id != taken.target);
        let held = held.map(|(target, start)| {
            let seat =
                self.candidates.iter().find(|seat| seat.target == target && seat.start == start);
            let why = seat.and_then(|seat| self.obstacle(want, seat, cap));
            Skipped { target, reason: why.unwrap_or(Obstacle::ContextLost) }
        });
        let score = |seat: &Candidate<'_>| rank::score(want.chat, seat.target.as_str());
        let least = score(taken);
        let is_held = |seat: &Candidate<'_>| want.held_on.is_some_and(|(id, _)| id == seat.target);
        let higher = self.candidates.iter().filter(|seat| least < score(seat) && !is_held(seat));
        let higher = higher.filter_map(|seat| {
            Some(Skipped { target: seat.target, reason: self.obstacle(want, seat, cap)? })
        });
        held.into_iter().chain(higher).collect()
    }

    fn obstacle(&self, want: &Request<'_>, seat: &Candidate<'_>, cap: u32) -> Option<Obstacle> {
        if want.avoid.contains(seat.target) {
            return Some(Obstacle::Avoided);
        }
        if !seat.accepts_all {
            return Some(Obstacle::Closed);
        }
        (!self.has_room(seat, want.overnight, cap)).then_some(Obstacle::Full)
    }

    fn has_room(&self, seat: &Candidate<'_>, overnight: bool, cap: u32) -> bool {
        if cap <= seat.load {
            return false;
        }
        match self.bound {
            Bound::Mean { overnight_share, .. } if overnight => {
                seat.overnight < bound::overnight_cap(overnight_share, cap)
            }
            _ => true,
        }
    }
}

//! How fast targets work.

use briarshift_routing::selection::Candidate;
use briarshift_routing::speed::{Learned, Stated};
use briarshift_units::{Moment, TargetId};
use briarshift_wire::heartbeat::TargetHash;

use super::{Entry, State};

/// The speed of a target. It is forgotten with the start of the target's process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    learned: Learned,
    stated: Option<Stated>,
}

impl Speed {
    /// Records what the target stated of its speed at this moment, if anything.
    pub(super) fn set_stated(&mut self, percent: Option<u32>, now: Moment) {
        if let Some(percent) = percent {
            self.stated = Some(Stated { percent, at: now });
        }
    }
}

impl Entry {
    fn states_speed(&self) -> bool {
        self.speed.stated.is_some()
    }

    /// Returns how many times longer than at others work takes at the target.
    pub fn slowness(&self, now: Moment) -> f64 {
        let stated = self.speed.stated.map_or(1.0, |stated| stated.slowness(now));
        self.speed.learned.slowness(now) * stated
    }
}

impl State {
    /// Returns true if one of these targets states its speed.
    pub fn state_speed(&self, candidates: &[Candidate<'_>]) -> bool {
        let entry = |candidate: &Candidate<'_>| self.get_by_hash(TargetHash::of(candidate.name));
        let states_speed = |candidate| entry(candidate).is_some_and(|(_, it)| it.states_speed());
        self.states_speed && candidates.iter().any(states_speed)
    }

    /// Records an answer that took `ratio` times the usual time. What the target states
    /// beside the answer explains a part of it, and does not last.
    pub fn record_speed(&mut self, id: &TargetId, ratio: f64, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let Speed { learned, stated } = &mut entry.speed;
        let passing = stated.filter(|stated| stated.at == now).map_or(1.0, |it| it.factor());
        learned.record(ratio / passing, now);
    }
}

//! How fast targets work, and what to tell peers of it.

use std::collections::BTreeSet;

use briarshift_routing::selection::Candidate;
use briarshift_routing::speed::{Learned, Stated};
use briarshift_units::{Moment, TargetId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::TargetHash;
use briarshift_wire::speed::{Report, Slow};

use super::{Entry, State};
use crate::limit::{MAX_REPORTED_SLOW, MIN_TOLD_PERCENT, NEWS_INTERVAL, SLOW_REPEAT_INTERVAL};
use crate::{Context, Effect, Output, peer};

/// The speed of a target. It is forgotten with the start of the target's process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    learned: Learned,
    stated: Option<Stated>,
    /// When this VM or a peer last told the others that the target is slow.
    told_at: Option<Moment>,
}

/// Slow targets to tell peers of.
#[derive(Debug, Default)]
pub(super) struct News {
    targets: BTreeSet<TargetId>,
    reported_at: Moment,
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

    /// Tells peers that a target is slow, if its answer just stated that and they were not
    /// told recently.
    pub fn tell_speed(&mut self, id: &TargetId, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let Speed { stated, told_at, .. } = &mut entry.speed;
        let is_slow = stated.is_some_and(|it| it.at == now && MIN_TOLD_PERCENT <= it.percent);
        if is_slow && told_at.is_none_or(|at| SLOW_REPEAT_INTERVAL <= now.since(at)) {
            *told_at = Some(now);
            self.speed_news.targets.insert(id.clone());
        }
    }

    /// Sends what there is to tell of slow targets.
    pub fn tick_speeds(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        let News { targets, reported_at } = &mut self.speed_news;
        if targets.is_empty() || ctx.at.since(*reported_at) < NEWS_INTERVAL {
            return;
        }
        *reported_at = ctx.at;
        let entries = std::mem::take(targets);
        let entries = entries.iter().filter_map(|id| self.entries.get(id));
        let slow = entries.take(MAX_REPORTED_SLOW).filter_map(|entry| {
            let Stated { percent, at } = entry.speed.stated?;
            Some(Slow { target: entry.hash, percent, age: ctx.at.since(at) })
        });
        let report = Report { from: ctx.me.vm.clone(), slow: slow.collect() };
        let datagram = Datagram::SpeedReport(report);
        out.push(Effect::Broadcast { addresses: peers.addresses(), datagram });
    }

    /// Applies a peer's report of slow targets, as far as it is newer than what is known.
    pub fn receive_speeds(&mut self, ctx: &Context<'_>, report: &Report) {
        for Slow { target, percent, age } in report.slow.iter().take(MAX_REPORTED_SLOW) {
            let Some(id) = self.ids_by_hash.get(target) else { continue };
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let at = Moment(ctx.at.0.saturating_sub(age.0));
            if entry.speed.stated.is_none_or(|known| known.at < at) {
                entry.speed.set_stated(Some(*percent), at);
                entry.speed.told_at = Some(ctx.at);
                self.states_speed = true;
                self.speed_news.targets.remove(id);
            }
        }
    }

    /// Records an answer that took `ratio` times the usual time. What the target states
    /// beside the answer explains a part of it, and does not last.
    pub fn record_speed(&mut self, id: &TargetId, ratio: f64, now: Moment) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let Speed { learned, stated, .. } = &mut entry.speed;
        let passing = stated.filter(|stated| stated.at == now).map_or(1.0, |it| it.factor());
        learned.record(ratio / passing, now);
    }
}

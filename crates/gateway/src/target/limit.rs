//! The limits on requests that targets name, and what to tell peers of them.

use std::collections::BTreeMap;

use briarshift_logging::Record;
use briarshift_routing::pace::{Known, Pace};
use briarshift_units::{Moment, PoolId, RequestRate, TargetId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Placement, TargetHash};
use briarshift_wire::limit::{Limit, Report};

use super::{Entry, Query, State};
use crate::limit::{
    LIMIT_REPEAT_INTERVAL, LIMIT_REPORT_INTERVAL, LIMIT_TTL, MAX_REPORTED_LIMITS,
    PAUSE_RECOVERY_TIME,
};
use crate::{Context, Effect, Output, peer};

/// A limit in force.
#[derive(Debug, Clone)]
pub(super) struct Active {
    pace: Pace,
    /// When an answer to this VM or a peer last named it.
    confirmed_at: Moment,
    /// When this VM last learned that peers know it.
    told_at: Moment,
}

impl Active {
    /// Returns true if no answer has named the limit for so long that it may have ended.
    /// Its target may get no more than a request in that time.
    fn is_expired(&self, now: Moment) -> bool {
        LIMIT_TTL + self.pace.spacing() + self.pace.spacing() <= now.since(self.confirmed_at)
    }
}

/// Limits to tell peers.
#[derive(Debug, Default)]
pub(super) struct News {
    limits: BTreeMap<TargetHash, Option<RequestRate>>,
    reported_at: Moment,
}

impl Entry {
    /// Returns when the limit that the target names permits a request, at the earliest
    /// now.
    pub(super) fn permitted_at(&self, query: &Query<'_>) -> Moment {
        let Some(Active { pace, .. }) = &self.limit else { return query.now };
        let by_share = || pace.permitted_at(Known::Own, query.now);
        let by_count = || pace.permitted_at(Known::All, query.now);
        match (query.is_shared_prompt, query.all_peers_live) {
            (false, _) => by_share(),
            (true, true) => by_count(),
            // Silent peers may send to the target too.
            (true, false) => by_share().max(by_count()),
        }
    }

    /// Returns when neither a limit nor a pause nor coldness will hold a request back, as far
    /// as that is known.
    fn released_at(&self, query: &Query<'_>) -> Moment {
        let permitted_at = self.permitted_at(query).max(self.warm_or_turn_at(query.now));
        let Some(pause) = &self.pause else { return permitted_at };
        permitted_at.max(pause.until()).max(query.now + PAUSE_RECOVERY_TIME)
    }

    /// Records that an answer to this VM or a peer named a limit, or none. Returns true if
    /// this VM did not know it.
    fn set_limit(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        rate: Option<RequestRate>,
        vms: usize,
        out: &mut Output,
    ) -> bool {
        let known = self.limit.as_ref().map(|limit| limit.pace.limit());
        if known != rate {
            let line = Record::new("target_limit").with("target", id);
            out.log(match rate {
                Some(rate) => line.with("limit", rate),
                None => line.with("limit", "none"),
            });
        }
        let Some(rate) = rate else {
            self.limit = None;
            return known.is_some();
        };
        let limit = self.limit.get_or_insert_with(|| Active {
            pace: Pace::new(rate, vms, ctx.at, ctx.entropy),
            confirmed_at: ctx.at,
            told_at: ctx.at,
        });
        limit.pace.set_limit(rate, vms, ctx.at);
        limit.confirmed_at = ctx.at;
        known != Some(rate)
    }

    /// Counts a request that this VM, one of `vms`, sends to the target.
    pub(super) fn record_limited_send(&mut self, vms: usize, now: Moment) {
        if let Some(limit) = &mut self.limit {
            limit.pace.record_send(now);
            limit.pace.take_share(vms, now);
        }
    }
}

impl State {
    /// Records whether an answer to this VM named a limit. Only a success (`ok`) shows that
    /// a limit no longer applies; other answers may come from a part of the target that
    /// does not name it.
    pub(super) fn record_limit(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        rate: Option<RequestRate>,
        ok: bool,
        vms: usize,
        out: &mut Output,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if rate.is_none() && !ok {
            return;
        }
        let is_news = entry.set_limit(ctx, id, rate, vms, out);
        let is_due = |limit: &Active| LIMIT_REPEAT_INTERVAL <= ctx.at.since(limit.told_at);
        if is_news || entry.limit.as_ref().is_some_and(is_due) {
            self.limit_news.limits.insert(entry.hash, rate);
            if let Some(limit) = &mut entry.limit {
                limit.told_at = ctx.at;
            }
        }
    }

    /// Applies a peer's report of limits.
    pub fn receive_limits(
        &mut self,
        ctx: &Context<'_>,
        report: Report,
        vms: usize,
        out: &mut Output,
    ) {
        for Limit { target, rate } in report.limits {
            let Some(id) = self.ids_by_hash.get(&target) else { continue };
            let Some(entry) = self.entries.get_mut(id) else { continue };
            entry.set_limit(ctx, id, rate, vms, out);
            if let Some(limit) = &mut entry.limit {
                limit.told_at = ctx.at;
            }
            self.limit_news.limits.remove(&target);
        }
    }

    /// Tells peers of limits, and forgets limits that no answer has named for long.
    pub fn tick_limits(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        for (id, entry) in &mut self.entries {
            if entry.limit.as_ref().is_some_and(|limit| limit.is_expired(ctx.at)) {
                entry.limit = None;
                out.log(Record::new("target_limit").with("target", id).with("limit", "expired"));
            }
        }
        let News { limits, reported_at } = &mut self.limit_news;
        if limits.is_empty() || ctx.at.since(*reported_at) < LIMIT_REPORT_INTERVAL {
            return;
        }
        *reported_at = ctx.at;
        let targets: Vec<_> = limits.keys().copied().take(MAX_REPORTED_LIMITS).collect();
        let limits = targets
            .into_iter()
            .filter_map(|target| limits.remove(&target).map(|rate| Limit { target, rate }));
        let report = Report { from: ctx.me.vm.clone(), limits: limits.collect() };
        let datagram = Datagram::LimitReport(report);
        out.push(Effect::Broadcast { addresses: peers.addresses(), datagram });
    }

    /// Returns when the first of the targets of a pool that a limit, a pause or coldness
    /// holds back may get a request. Those that can't be reached do not count.
    pub fn limited_until(&self, query: &Query<'_>, pool: &PoolId) -> Option<Moment> {
        let of_pool = self.entries.values().filter(|entry| entry.target.pool == *pool);
        let ready = of_pool.filter(|entry| entry.is_ready(query.now));
        let held_back = ready.filter(|entry| !entry.is_lost() && !entry.is_permitted(query));
        held_back.map(|entry| entry.released_at(query)).min()
    }

    /// Counts prompts that peers have sent, for the limits that targets name.
    pub fn record_peer_sends(&mut self, placements: &[Placement], now: Moment) {
        for placement in placements {
            let id = self.ids_by_hash.get(&placement.target);
            let entry = id.and_then(|id| self.entries.get_mut(id));
            if let Some(limit) = entry.and_then(|entry| entry.limit.as_mut()) {
                limit.pace.record_send(now);
            }
        }
    }
}

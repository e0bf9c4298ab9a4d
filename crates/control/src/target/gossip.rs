//! Adds the loads of targets to gossip messages, within their size limit.

use std::cmp::Reverse;
use std::ops::Bound;

use briarshift_units::Span;
use briarshift_wire::gossip::Message;

use super::State;
use crate::Context;
use crate::member::{Budget, Purpose};

/// Number of gossip messages that a change is added to.
pub(super) const SENDS_PER_CHANGE: u32 = 20;
/// Bytes reserved for the member records that each message repeats.
const MEMBER_BYTES: usize = 240;
/// Loads older than this are of no use to peers and are not sent as newest ones.
const MAX_LOAD_AGE: Span = Span::from_secs(5);
/// Number of loads per message that are taken in turn from all targets, in
/// addition to the newest ones.
const REPEATED_LOADS: usize = 3;

impl State {
    /// Adds loads to a message. Changed targets come first, then some targets in
    /// turn, then the targets with the newest reports.
    pub(crate) fn fill_gossip(
        &mut self,
        ctx: &Context<'_>,
        purpose: Purpose,
        message: &mut Message,
        budget: &mut Budget,
    ) {
        let mut load_budget = budget.reduced_by(MEMBER_BYTES);
        let mut changed: Vec<_> =
            self.targets.values_mut().filter(|target| 0 < target.sends_left).collect();
        changed.sort_by_key(|target| Reverse(target.changed_at));
        for target in changed {
            let Some(load) = target.to_load(ctx.at) else { continue };
            if load_budget.try_take(load.encoded_len()) {
                target.sends_left -= 1;
                message.loads.push(load);
            }
        }
        if purpose != Purpose::Update {
            self.add_repeated(ctx, message, &mut load_budget);
            self.add_newest(ctx, message, &mut load_budget);
        }
        let spent: usize =
            message.loads.iter().map(briarshift_wire::gossip::Load::encoded_len).sum();
        budget.try_take(spent);
    }

    /// Adds the loads of some targets in turn.
    fn add_repeated(&mut self, ctx: &Context<'_>, message: &mut Message, budget: &mut Budget) {
        for _ in 0..REPEATED_LOADS.min(self.targets.len()) {
            let after = self.repeat_cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
            let Some((id, target)) = self.targets.range((after, Bound::Unbounded)).next() else {
                self.repeat_cursor = None;
                continue;
            };
            self.repeat_cursor = Some(id.clone());
            let included = message.loads.iter().any(|load| &load.target == id);
            let Some(load) = target.to_load(ctx.at).filter(|_| !included) else { continue };
            if budget.try_take(load.encoded_len()) {
                message.loads.push(load);
            }
        }
    }

    /// Adds the newest loads while they fit.
    fn add_newest(&self, ctx: &Context<'_>, message: &mut Message, budget: &mut Budget) {
        let included = |id| message.loads.iter().any(|load| &load.target == id);
        let fresh = self.targets.values().filter(|target| {
            ctx.at.since(target.reported_at) < MAX_LOAD_AGE && !included(&target.id)
        });
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|target| Reverse(target.reported_at));
        for target in fresh {
            let Some(load) = target.to_load(ctx.at) else { continue };
            if !budget.try_take(load.encoded_len()) {
                return;
            }
            message.loads.push(load);
        }
    }
}

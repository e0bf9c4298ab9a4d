//! What a message of gossip says about targets, within its bytes.

use std::cmp::Reverse;
use std::ops::Bound;

use briarshift_units::Span;
use briarshift_wire::gossip::Message;

use super::State;
use crate::Context;
use crate::member::{Budget, Purpose};

/// How often a change is told before it is taken for known.
pub(super) const TRANSMISSIONS: u32 = 20;
/// Bytes left to members that are repeated in turn.
const MEMBERS: usize = 240;
/// Age above which a load is of no use to peers.
const MAX_AGE: Span = Span::from_secs(5);
/// Loads that are repeated in turn, beside the newest.
const REPEATED: usize = 3;

impl State {
    /// Fills a message with loads: changes first, then the newest.
    pub(crate) fn fill(
        &mut self,
        ctx: &Context<'_>,
        purpose: Purpose,
        message: &mut Message,
        budget: &mut Budget,
    ) {
        let mut part = budget.reduced_by(MEMBERS);
        let mut news: Vec<_> = self.targets.values_mut().filter(|target| 0 < target.news).collect();
        news.sort_by_key(|target| Reverse(target.changed_at));
        for target in news {
            let Some(load) = target.load(ctx.at) else { continue };
            if part.try_take(load.encoded_len()) {
                target.news -= 1;
                message.loads.push(load);
            }
        }
        if purpose != Purpose::Update {
            self.repeat(ctx, message, &mut part);
            self.newest(ctx, message, &mut part);
        }
        let spent: usize =
            message.loads.iter().map(briarshift_wire::gossip::Load::encoded_len).sum();
        budget.try_take(spent);
    }

    fn repeat(&mut self, ctx: &Context<'_>, message: &mut Message, budget: &mut Budget) {
        for _ in 0..REPEATED.min(self.targets.len()) {
            let after = self.cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
            let Some((id, target)) = self.targets.range((after, Bound::Unbounded)).next() else {
                self.cursor = None;
                continue;
            };
            self.cursor = Some(id.clone());
            let told = message.loads.iter().any(|load| &load.target == id);
            let Some(load) = target.load(ctx.at).filter(|_| !told) else { continue };
            if budget.try_take(load.encoded_len()) {
                message.loads.push(load);
            }
        }
    }

    fn newest(&self, ctx: &Context<'_>, message: &mut Message, budget: &mut Budget) {
        let told = |id| message.loads.iter().any(|load| &load.target == id);
        let fresh = self
            .targets
            .values()
            .filter(|target| ctx.at.since(target.reported_at) < MAX_AGE && !told(&target.id));
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|target| Reverse(target.reported_at));
        for target in fresh {
            let Some(load) = target.load(ctx.at) else { continue };
            if !budget.try_take(load.encoded_len()) {
                return;
            }
            message.loads.push(load);
        }
    }
}

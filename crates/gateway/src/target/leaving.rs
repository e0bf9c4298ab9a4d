//! Targets that say in their answers that they leave, and what to tell peers of them.
//!
//! What a target says of itself holds until a later start of it registers. No row of the
//! store undoes it: the row may be older than the answer, or lapse and return.

use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_store::registry::Target;
use briarshift_units::{Moment, StartNumber, TargetId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::leaving::{Leaving, Report};

use super::State;
use crate::limit::{LEFT_TARGET_TTL, MAX_REPORTED_LEAVING};
use crate::{Context, Effect, Output, peer};

/// A target that has said that it leaves.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    start: Option<StartNumber>,
    address: SocketAddr,
    at: Moment,
}

impl Left {
    /// Returns since when a registered target has been leaving; `None` if it is a later
    /// start.
    pub(super) fn since(&self, target: &Target) -> Option<Moment> {
        let is_same = match target.start {
            None => target.address == self.address,
            start => start <= self.start,
        };
        is_same.then_some(self.at)
    }
}

impl State {
    /// Records that a target says in an answer to this VM that it leaves.
    pub fn record_leaving(&mut self, ctx: &Context<'_>, id: &TargetId, out: &mut Output) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.left_at.is_some() {
            return;
        }
        let leaving = Leaving { target: entry.hash, start: entry.target.start };
        self.leaving_news.add(leaving);
        self.set_left(ctx, id, leaving.start, "answer", out);
    }

    /// Applies a peer's report.
    pub fn receive_leaving(&mut self, ctx: &Context<'_>, report: &Report, out: &mut Output) {
        for Leaving { target, start } in &report.targets {
            let Some(id) = self.ids_by_hash.get(target).cloned() else { continue };
            let Some(entry) = self.entries.get(&id) else { continue };
            if entry.left_at.is_none() && entry.target.start <= *start {
                self.set_left(ctx, &id, *start, report.from.as_str(), out);
            }
        }
    }

    fn set_left(
        &mut self,
        ctx: &Context<'_>,
        id: &TargetId,
        start: Option<StartNumber>,
        by: &str,
        out: &mut Output,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let address = entry.target.address;
        entry.left_at = Some(ctx.at);
        self.left.insert(id.clone(), Left { start, address, at: ctx.at });
        out.log(Record::new("target_leaving").with("target", id).with("by", by));
        out.push(Effect::CloseConnections(address));
    }

    /// Tells peers of leaving targets, and forgets those that have been gone for long.
    pub fn tick_leaving(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        let entries = &self.entries;
        self.left
            .retain(|id, left| entries.contains_key(id) || ctx.at.since(left.at) < LEFT_TARGET_TTL);
        let targets = self.leaving_news.take_due(MAX_REPORTED_LEAVING, ctx.at);
        if targets.is_empty() {
            return;
        }
        let report = Report { from: ctx.me.vm.clone(), targets };
        let datagram = Datagram::LeavingReport(report);
        out.push(Effect::Broadcast { addresses: peers.addresses(), datagram });
    }
}

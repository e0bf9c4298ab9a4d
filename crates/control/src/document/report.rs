//! Reports of the delegate to the store: how many VMs of its data centre are
//! live, and how many of them run its document.

use briarshift_environment::Report;
use briarshift_store::{Expect, Operation};
use briarshift_units::{Digest, Moment, Span};
use briarshift_wire::document::Head;

use super::{Peers, environment, pull};
use crate::Context;

/// Time between two reports with the same counts.
const REPEAT_INTERVAL: Span = Span::from_secs(30);
/// Minimum time before a report of changed counts while some VMs don't run the
/// delegate's document.
const INCOMPLETE_INTERVAL: Span = Span::from_secs(5);
/// Minimum time between any two reports.
const MIN_INTERVAL: Span = Span::from_secs(1);

/// The counts of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Counts {
    digest: Digest,
    live: u32,
    in_force: u32,
}

/// The reports of this VM: the last one, and when it was sent.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    last: Option<(Moment, Counts)>,
}

impl Reporter {
    /// Returns the store operation that writes the next report, if one is due.
    pub(super) fn next_report(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        head: Head,
        puller: &pull::Puller,
    ) -> Option<Operation> {
        if self.last.is_some_and(|(at, _)| ctx.at.since(at) < MIN_INTERVAL) {
            return None;
        }
        let counts = counts(ctx, peers, head, puller);
        if !self.is_due(ctx.at, counts) {
            return None;
        }
        self.last = Some((ctx.at, counts));
        let report = Report {
            data_centre: ctx.me.data_centre.clone(),
            vm: ctx.me.vm.clone(),
            revision: head.revision,
            digest: head.digest,
            live: counts.live,
            in_force: counts.in_force,
            at: ctx.wall,
        };
        let key = environment(ctx).report_key(&ctx.me.data_centre);
        let value = serde_json::to_string(&report).expect("reports are JSON");
        Some(Operation::Put { key, value, expect: Expect::Any, lease: None })
    }

    /// Makes the next report due soon, because the last one was lost.
    pub(super) fn retry_soon(&mut self) {
        // No report has this count, so the next one differs from the last.
        if let Some((_, counts)) = &mut self.last {
            counts.in_force = u32::MAX;
        }
    }

    fn is_due(&self, at: Moment, counts: Counts) -> bool {
        let Some((reported_at, last)) = self.last else { return true };
        let interval = match () {
            () if last == counts => REPEAT_INTERVAL,
            () if counts.live <= counts.in_force => MIN_INTERVAL,
            () => INCOMPLETE_INTERVAL,
        };
        interval <= at.since(reported_at)
    }
}

fn counts(ctx: &Context<'_>, peers: &dyn Peers, head: Head, puller: &pull::Puller) -> Counts {
    let mut counts = Counts { digest: head.digest, live: 1, in_force: 1 };
    for vm in peers.alive_in(&ctx.me.data_centre) {
        let runs = puller.head_of(vm).is_some_and(|peer_head| peer_head.digest == head.digest);
        counts.live += 1;
        counts.in_force += u32::from(runs);
    }
    counts
}

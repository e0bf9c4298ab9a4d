//! What the VMs of the data centre run, as its delegate reports it.

use briarshift_environment::Report;
use briarshift_store::{Expect, Operation};
use briarshift_units::{Digest, Moment, Span};
use briarshift_wire::document::Head;

use super::{Peers, environment, pull};
use crate::Context;

/// Time between two reports of the same.
const INTERVAL: Span = Span::from_secs(30);
/// Shortest time between two reports of a count that is not whole.
const PAUSE: Span = Span::from_secs(5);
/// Shortest time between any two reports.
const MIN_PAUSE: Span = Span::from_secs(1);

/// What was reported last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Count {
    digest: Digest,
    live: u32,
    in_force: u32,
}

/// The reports of this VM.
#[derive(Debug, Default)]
pub(super) struct Tally {
    last: Option<(Moment, Count)>,
}

impl Tally {
    /// A report, if one is due.
    pub(super) fn report(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        head: Head,
        puller: &pull::Puller,
    ) -> Option<Operation> {
        if self.last.is_some_and(|(at, _)| ctx.at.since(at) < MIN_PAUSE) {
            return None;
        }
        let count = count(ctx, peers, head, puller);
        if !self.is_due(ctx.at, count) {
            return None;
        }
        self.last = Some((ctx.at, count));
        let report = Report {
            data_centre: ctx.me.data_centre.clone(),
            vm: ctx.me.vm.clone(),
            revision: head.revision,
            digest: head.digest,
            live: count.live,
            in_force: count.in_force,
            at: ctx.wall,
        };
        let key = environment(ctx).report_key(&ctx.me.data_centre);
        let value = serde_json::to_string(&report).expect("reports are JSON");
        Some(Operation::Put { key, value, expect: Expect::Any, lease: None })
    }

    /// A report was lost: the next one is due soon.
    pub(super) fn lost(&mut self) {
        if let Some((_, count)) = &mut self.last {
            count.in_force = u32::MAX;
        }
    }

    fn is_due(&self, at: Moment, count: Count) -> bool {
        let Some((reported_at, last)) = self.last else { return true };
        let pause = match () {
            () if last == count => INTERVAL,
            () if count.live <= count.in_force => MIN_PAUSE,
            () => PAUSE,
        };
        pause <= at.since(reported_at)
    }
}

fn count(ctx: &Context<'_>, peers: &dyn Peers, head: Head, puller: &pull::Puller) -> Count {
    let mut count = Count { digest: head.digest, live: 1, in_force: 1 };
    for vm in peers.alive_in(&ctx.me.data_centre) {
        let runs = puller.head_of(vm).is_some_and(|named| named.digest == head.digest);
        count.live += 1;
        count.in_force += u32::from(runs);
    }
    count
}

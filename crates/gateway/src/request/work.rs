//! What answers show about the length of further ones and the speed of targets.

use briarshift_routing::room::Lengths;
use briarshift_routing::speed::Usual;
use briarshift_units::Moment;
use smol_str::SmolStr;

use super::End;
use super::pending::{ActiveSend, Pending};
use super::view::Step;
use crate::limit::MIN_PACED_EVENTS;

/// What is known of the answer to a send.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Active {
    /// The target had more requests than it runs at the same time.
    pub found_queue: bool,
    /// When the answer began.
    pub began_at: Option<Moment>,
    /// Number of events of a stream that was relayed to its end.
    pub events: Option<u32>,
}

/// What answers have shown, by route.
#[derive(Debug, Default)]
pub(super) struct State {
    lengths: Lengths<SmolStr>,
    usual: Usual<SmolStr>,
}

impl State {
    /// Returns the memory that a request is expected to need, in tokens, without the shared
    /// parts of its prompt.
    pub(super) fn expected_memory(&self, pending: &Pending) -> u64 {
        if pending.parts.is_empty() {
            return 0;
        }
        let output = self.lengths.expected(&pending.route.id, &pending.arrival.length);
        pending.own_tokens() + output
    }

    /// Records what the end of a send shows.
    pub(super) fn record_end(
        &mut self,
        step: &mut Step<'_, '_>,
        pending: &Pending,
        active: &ActiveSend,
        end: &End,
    ) {
        let (route, now) = (&pending.route.id, step.ctx.at);
        if matches!(end, End::NotRun { moved: false, .. }) {
            step.view.targets.record_full(&active.target, now);
        }
        if !matches!(end, End::Complete { ok: true }) {
            return;
        }
        let Active { began_at, events, .. } = active.work;
        // Only a part of an answer that a second target continued is known.
        if let (Some(hint), Some(events)) = (pending.arrival.length.hint, events)
            && pending.attempts == 0
        {
            self.lengths.record(route, hint, events, now);
        }
        let seconds = match (events, began_at) {
            (Some(events), Some(began)) if MIN_PACED_EVENTS <= events => {
                Some(now.since(began).as_secs_f64() / f64::from(events - 1))
            }
            (Some(_), _) => None,
            (None, _) if pending.route.kind.is_stream() || active.work.found_queue => None,
            (None, _) => Some(now.since(active.at).as_secs_f64()),
        };
        // VMs send plain requests to all targets of a pool, and few each.
        if pending.parts.is_empty() {
            step.view.targets.tell_speed(&active.target, now);
        }
        let ratio = seconds.and_then(|seconds| self.usual.record(route, seconds, now));
        if let Some(ratio) = ratio {
            step.view.targets.record_speed(&active.target, ratio, now);
        }
    }
}

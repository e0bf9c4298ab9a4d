//! Graceful shutdown of this VM: which requests it still accepts, and when its
//! process ends.
//!
//! Callers are served until the platform has noticed that the VM leaves. From
//! then on, every request that is accepted ends before the process does, by its
//! deadline: one that could outlast the process is refused as not run, and its
//! caller repeats it on another VM. What an accepted request is expected to take
//! does not count, since a slow target would make the promise untrue.
//!
//! An answer is owed until its caller has read it. The process therefore stays after the
//! last request has ended here, without taking new ones, until all answers are written or
//! the grace time is nearly over.

use briarshift_logging::Record;
use briarshift_units::{Moment, Span};

use crate::limit::{DRAIN_EXIT, DRAIN_FLUSH, DRAIN_RESERVE, DRAIN_SETTLE};
use crate::request::Leaving;
use crate::{Context, Output};

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Running,
    Draining(Moment),
    /// No request is accepted any more; the last answers and refusals are being
    /// sent.
    Closing {
        /// When the shutdown started.
        since: Moment,
        at: Moment,
    },
    Ended,
}

/// What is due in a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Requests that are still in flight have to be answered now. The process ends when
    /// callers have read their answers, at this time at the latest.
    End(Moment),
}

/// Progress of a shutdown.
#[derive(Debug, Default)]
pub struct State {
    phase: Phase,
}

impl State {
    /// Returns true unless this VM shuts down.
    pub fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Starts the shutdown. Returns false if it has started before.
    pub fn start(&mut self, now: Moment) -> bool {
        let starts = self.is_running();
        if starts {
            self.phase = Phase::Draining(now);
        }
        starts
    }

    /// Moves the shutdown to its next phase if it is due, with this many requests in
    /// flight.
    pub fn advance(&mut self, ctx: &Context<'_>, in_flight: usize, out: &mut Output) -> Step {
        match self.phase {
            Phase::Draining(since) => {
                let idle = DRAIN_SETTLE <= ctx.at.since(since) && in_flight == 0;
                if idle || last_answer_at(since, ctx.me.bounds.grace) <= ctx.at {
                    self.phase = Phase::Closing { since, at: ctx.at };
                    out.log(Record::new("closing").with("in_flight", in_flight));
                }
                Step::Wait
            }
            Phase::Closing { since, at } if DRAIN_FLUSH <= ctx.at.since(at) => {
                self.phase = Phase::Ended;
                out.log(Record::new("drained").with("in_flight", in_flight));
                Step::End(since + (ctx.me.bounds.grace - DRAIN_EXIT))
            }
            _ => Step::Wait,
        }
    }

    /// Returns which requests this VM refuses because it shuts down.
    pub fn leaving(&self, grace: Span, now: Moment) -> Leaving {
        match self.phase {
            Phase::Running => Leaving::No,
            Phase::Draining(since) if now.since(since) < DRAIN_SETTLE => Leaving::No,
            Phase::Draining(since) => Leaving::AcceptsUntil(last_answer_at(since, grace)),
            Phase::Closing { .. } | Phase::Ended => Leaving::RefusesAll,
        }
    }
}

/// Returns when the last answers must have arrived, in a shutdown that started at
/// `since`.
fn last_answer_at(since: Moment, grace: Span) -> Moment {
    since + (grace - DRAIN_RESERVE)
}

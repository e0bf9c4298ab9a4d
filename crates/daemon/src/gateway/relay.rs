//! A stream on its way from a target to its caller.
//!
//! Events are passed on as they come, whole ones only. When the target breaks
//! off, the control thread is asked; a stream that may be resumed goes on with
//! another target's events, any other ends with an error, which closes the
//! caller's connection without the end of the answer.

use std::io;
use std::rc::Rc;

use actix_web::web::Bytes;
use briarshift_forward::Body;
use briarshift_forward::event::Splitter;
use briarshift_gateway::request::{Decision, End, Event, Send};
use futures::Stream;
use futures::stream::unfold;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::clock;
use super::task::{Answered, Guard, Job, Miss, Worker, broken, miss, until};

/// A stream under way.
pub(super) struct Relay {
    worker: Rc<Worker>,
    job: Rc<Job>,
    guard: Guard,
    decisions: mpsc::UnboundedReceiver<Decision>,
    send: Send,
    body: Option<Body>,
    splitter: Splitter,
}

/// What the caller gets next.
enum Step {
    Events(Bytes),
    End,
    Broken(Miss),
}

impl Relay {
    pub(super) fn new(
        worker: Rc<Worker>,
        job: Rc<Job>,
        guard: Guard,
        decisions: mpsc::UnboundedReceiver<Decision>,
        (send, body, splitter): (Send, Body, Splitter),
    ) -> Self {
        Self { worker, job, guard, decisions, send, body: Some(body), splitter }
    }

    /// The caller's body: the first events, and all that follow.
    pub(super) fn stream(self, first: Bytes) -> impl Stream<Item = io::Result<Bytes>> + use<> {
        unfold((Some(self), Some(first)), |(relay, first)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(first), (Some(relay), None)));
            }
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), (Some(relay), None))),
                Ok(None) => None,
                Err(err) => Some((Err(err), (None, None))),
            }
        })
    }

    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let miss = match self.step().await {
                Step::Events(events) => return Ok(Some(events)),
                Step::End => {
                    self.guard.disarm();
                    self.worker.ended(self.send.id, End::Complete { ok: true }, None);
                    return Ok(None);
                }
                Step::Broken(miss) => miss,
            };
            // The target must see the connection's end before another goes on.
            self.body = None;
            self.worker.ended(self.send.id, miss.end, miss.report);
            if let Some(events) = self.resume().await? {
                return Ok(Some(events));
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(body) = &mut self.body else {
            return Step::Broken(broken("the target is gone").into());
        };
        loop {
            let chunk = match timeout(until(&self.send, clock::now()), body.chunk()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) if self.splitter.is_at_event_boundary() => return Step::End,
                Ok(Ok(None)) => return Step::Broken(cut("the stream ends within an event")),
                Ok(Err(failure)) => return Step::Broken(miss(failure, true)),
                Err(_) => return Step::Broken(cut("its time is up")),
            };
            match self.splitter.push(&chunk) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Step::Events(events),
                Err(err) => return Step::Broken(cut(&err.to_string())),
            }
        }
    }

    /// Goes on where another target is told to; `None` if that did not work
    /// either and the control thread was told so.
    async fn resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let send = match self.decisions.recv().await {
                Some(Decision::Send(send)) => send,
                decision => {
                    self.guard.disarm();
                    return Err(io::Error::other(reason(decision.as_ref())));
                }
            };
            self.splitter.discard_partial();
            let last = self.splitter.last_id().map(SmolStr::new);
            let after = last.or_else(|| self.job.resume_after.clone());
            match self.worker.attempt(&self.job, &send, after).await {
                Ok(Answered::Stream { first, body, splitter, report, .. }) => {
                    self.worker.tell(Event::AnswerBegan { id: send.id, report });
                    self.send = send;
                    self.body = Some(body);
                    self.splitter = splitter;
                    return Ok(Some(first));
                }
                Ok(Answered::Whole { report, .. }) => {
                    self.worker.ended(send.id, cut("no stream came").end, report);
                }
                Err(Miss { end, report }) => self.worker.ended(send.id, end, report),
            }
        }
    }
}

fn cut(reason: &str) -> Miss {
    End::Interrupted { reason: reason.into(), relayed: true }.into()
}

fn reason(decision: Option<&Decision>) -> &'static str {
    match decision {
        Some(Decision::Refuse(refusal)) => refusal.cause.label(),
        _ => "the target broke off",
    }
}

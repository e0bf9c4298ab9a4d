//! Relays the events of a stream from a target to its caller.
//!
//! Complete events are relayed as they arrive. If the stream is interrupted, the
//! control thread decides what to do: a resumable stream continues with the events
//! of another target. Any other stream ends with an error, which closes the
//! caller's connection without the end of the response body, so that the caller
//! can tell that the answer is incomplete.

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
use super::task::{
    CallerGuard, FailedAttempt, Job, TargetAnswer, Worker, event_timeout, failed_attempt,
    interrupted,
};

/// A stream that is being relayed.
pub(super) struct Relay {
    worker: Rc<Worker>,
    job: Rc<Job>,
    guard: CallerGuard,
    decisions: mpsc::UnboundedReceiver<Decision>,
    send: Send,
    body: Option<Body>,
    splitter: Splitter,
}

/// Result of reading from the target.
enum Progress {
    /// Complete events for the caller.
    Events(Bytes),
    /// The stream ended normally.
    End,
    /// The stream ended or failed before its end.
    Interrupted(FailedAttempt),
}

impl Relay {
    pub(super) fn new(
        worker: Rc<Worker>,
        job: Rc<Job>,
        guard: CallerGuard,
        decisions: mpsc::UnboundedReceiver<Decision>,
        (send, body, splitter): (Send, Body, Splitter),
    ) -> Self {
        Self { worker, job, guard, decisions, send, body: Some(body), splitter }
    }

    /// Returns the body of the caller's response: the first events, which are already
    /// read, then all that follow.
    pub(super) fn stream(self, first: Bytes) -> impl Stream<Item = io::Result<Bytes>> + use<> {
        unfold((Some(self), Some(first)), |(relay, first)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(first), (Some(relay), None)));
            }
            match relay.next_chunk().await {
                Ok(Some(events)) => Some((Ok(events), (Some(relay), None))),
                Ok(None) => None,
                Err(err) => Some((Err(err), (None, None))),
            }
        })
    }

    /// Returns the next events for the caller, `None` at the end of the stream.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let failed = match self.read_events().await {
                Progress::Events(events) => return Ok(Some(events)),
                Progress::End => {
                    self.guard.disarm();
                    self.report_length();
                    self.worker.report_end(self.send.id, End::Complete { ok: true }, None);
                    return Ok(None);
                }
                Progress::Interrupted(failed) => failed,
            };
            // Closes the connection first, so that this target stops before another
            // one resumes the stream.
            self.body = None;
            self.worker.report_end(self.send.id, failed.end, failed.report);
            if let Some(events) = self.resume().await? {
                return Ok(Some(events));
            }
        }
    }

    /// Reports how many events the answer had. Of one that the caller has resumed, the
    /// beginning is not known.
    fn report_length(&self) {
        if self.job.resume_after.is_none() {
            let events = self.splitter.count();
            self.worker.notify(Event::Streamed { id: self.send.id, events });
        }
    }

    /// Reads from the target until at least one event is complete. Bytes that complete
    /// no event don't extend the wait.
    async fn read_events(&mut self) -> Progress {
        const OVERDUE: &str = "the deadline passed before the end of the stream";
        let Some(wait) = event_timeout(&self.send, clock::now()) else {
            return Progress::Interrupted(interrupted_stream(OVERDUE));
        };
        let read = timeout(wait, self.read_to_event()).await;
        read.unwrap_or_else(|_| Progress::Interrupted(interrupted_stream(OVERDUE)))
    }

    async fn read_to_event(&mut self) -> Progress {
        let Some(body) = &mut self.body else {
            return Progress::Interrupted(
                interrupted("the connection to the target is closed").into(),
            );
        };
        loop {
            let chunk = match body.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) if self.splitter.is_at_event_boundary() => return Progress::End,
                Ok(None) => {
                    return Progress::Interrupted(interrupted_stream(
                        "the stream ends within an event",
                    ));
                }
                Err(failure) => return Progress::Interrupted(failed_attempt(failure, true)),
            };
            match self.splitter.push(&chunk) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Progress::Events(events),
                Err(err) => return Progress::Interrupted(interrupted_stream(&err.to_string())),
            }
        }
    }

    /// Waits for the decision to resume the stream on another target and returns the
    /// first events from there. An attempt that fails is reported to the control
    /// thread, which decides again.
    ///
    /// # Errors
    ///
    /// Fails if the control thread decides not to resume the stream.
    async fn resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let send = match self.decisions.recv().await {
                // A second send that was decided on before the control thread learned that
                // the stream had begun. It counts as cancelled there.
                Some(Decision::Send(send)) if send.is_hedge => continue,
                Some(Decision::Send(send)) => send,
                decision => {
                    self.guard.disarm();
                    return Err(io::Error::other(error_label(decision.as_ref())));
                }
            };
            self.splitter.discard_partial();
            let last = self.splitter.last_id().map(SmolStr::new);
            let after = last.or_else(|| self.job.resume_after.clone());
            match self.worker.attempt(&self.job, &send, after).await {
                Ok(TargetAnswer::Stream { first, body, splitter, report, .. }) => {
                    self.worker.notify(Event::AnswerBegan { id: send.id, report });
                    self.send = send;
                    self.body = Some(body);
                    self.splitter = splitter;
                    return Ok(Some(first));
                }
                Ok(TargetAnswer::Complete { report, .. }) => {
                    self.worker.report_end(
                        send.id,
                        interrupted_stream(
                            "the target answered the resume request without a stream",
                        )
                        .end,
                        report,
                    );
                }
                Err(FailedAttempt { end, report }) => self.worker.report_end(send.id, end, report),
            }
        }
    }
}

/// An attempt that failed after events were relayed to the caller.
fn interrupted_stream(reason: &str) -> FailedAttempt {
    End::Interrupted { reason: reason.into(), relayed: true }.into()
}

/// Returns the text of the error that ends a stream.
fn error_label(decision: Option<&Decision>) -> &'static str {
    match decision {
        Some(Decision::Refuse(refusal)) => refusal.cause.label(),
        _ => "the target ended the stream early",
    }
}

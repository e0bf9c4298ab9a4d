//! Handles the end of attempts: answers, retries, resumed streams and failures.

use briarshift_target::{Attempt, Failure};
use briarshift_units::RequestId;

use super::in_flight::{Class, Request};
use super::state::{State, View, release, request_trial};
use super::{Decision, End, Reason, Resume, Tokens};
use crate::{Context, Effect, Output, Record, Signal, booking};

/// Maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of times that the stream of one attempt is resumed.
const MAX_RESUMES: u32 = 2;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// No byte of the request was sent, so the attempt cost no target anything.
    NotSent,
    /// The target refused the request without running it.
    Refused,
    /// The target went down while it ran the request.
    Crashed,
    /// The attempt failed for another reason.
    Failed,
}

impl State {
    /// Ends attempts whose workers have stopped reporting, so that no
    /// reservation is held forever.
    pub fn tick(&mut self, ctx: &Context<'_>, _view: View<'_>, out: &mut Output) {
        let overdue = |request: &&Request| {
            request.sent_at.is_some_and(|sent| request.max_duration < ctx.at.since(sent))
        };
        let overdue: Vec<_> =
            self.requests.values().filter(overdue).map(|request| request.id).collect();
        for id in overdue {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            out.log(Record::new("worker_silent").with("request", id));
            request.may_have_run = true;
            cancel(request, out);
            self.give_up(
                id,
                Reason::Target("no result of the attempt arrived in time".into()),
                out,
            );
        }
    }

    /// Handles the end of an attempt. The end of any attempt but the current one
    /// is ignored.
    pub(super) fn attempt_ended(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: Attempt,
        end: End,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get(&id.request) else {
            // The caller has been answered already, but a resend of the booking
            // needs this response.
            if let End::Complete { response: Some(response), .. } = end {
                out.signal(Signal::StoreResponse(id.request, response));
            }
            return;
        };
        if request.attempt != id.number || request.sent_at.is_none() {
            return;
        }
        match end {
            End::Complete { tokens, response } => {
                self.complete(ctx, id.request, tokens, response, out);
            }
            End::Refused => {
                self.retry(ctx, view, id.request, Cause::Refused, "refused", out);
            }
            End::Interrupted { failure, last_event_id, relayed } => {
                if !self.resume(view, id.request, last_event_id, out) {
                    self.handle_failure(ctx, view, id.request, &failure, relayed, out);
                }
            }
            End::Failed { failure, relayed } => {
                self.handle_failure(ctx, view, id.request, &failure, relayed, out);
            }
        }
    }

    /// Handles the disconnection of a caller. A booking that was sent continues;
    /// any other request is removed and cancelled.
    pub(super) fn caller_left(&mut self, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let running = request.sent_at.is_some();
        let line = Record::new("caller_gone").with("request", id);
        out.log(line.with("running", running).with("booking", request.is_booking()));
        if running && request.is_booking() {
            request.caller_left = true;
            return;
        }
        if running {
            cancel(request, out);
        }
        let Some(request) = self.remove(id, out) else { return };
        if request.claimed_at.is_some() && !request.may_have_run {
            out.signal(Signal::DropClaim(id));
        }
    }

    /// Handles a complete answer.
    fn complete(
        &mut self,
        ctx: &Context<'_>,
        id: RequestId,
        tokens: Tokens,
        response: Option<booking::Response>,
        out: &mut Output,
    ) {
        // The crashes are cleared before the trial ends, because the message
        // that ends the trial carries the recorded crashes.
        let Some(request) = self.requests.get(&id) else { return };
        out.signal(Signal::ClearCrashes(request.fingerprint));
        let queued = request.reserved_at.unwrap_or(ctx.at).since(request.arrived_at);
        let mut sample = request.sample(queued, tokens);
        let Some(request) = self.remove(id, out) else { return };
        sample.booked = response.is_some();
        if let Some(response) = response {
            out.signal(Signal::StoreResponse(id, response));
        }
        let line = Record::new("answered").with("request", id).with("account", &request.account);
        let line = line.with("attempt", request.attempt).with("queued", queued);
        out.log(line.with("detached", request.caller_left));
        out.signal(Signal::CountUsage(sample));
    }

    /// Resumes an interrupted chat stream on its engine. Returns false if the
    /// stream can't be resumed, for example because no event of it arrived; the
    /// request may then be retried on another target.
    fn resume(
        &mut self,
        view: View<'_>,
        id: RequestId,
        last_event_id: u64,
        out: &mut Output,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let chat = matches!(request.class, Class::Chat { .. });
        let target = request.target.as_ref().and_then(|target| view.targets.get(target));
        let Some(target) = target.filter(|_| chat && 0 < last_event_id) else { return false };
        if MAX_RESUMES <= request.resumes {
            return false;
        }
        request.resumes += 1;
        let line = Record::new("resume").with("request", id).with("target", &target.id);
        out.log(line.with("after", last_event_id));
        let resume =
            Resume { id: request.attempt(), address: target.address, after: last_event_id };
        out.push(Effect::Decide { request: id, decision: Decision::Resume(resume) });
        true
    }

    /// Handles a failed attempt: retries or refuses the request.
    fn handle_failure(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: RequestId,
        failure: &Failure,
        relayed: bool,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = request.target.clone() else { return };
        // If a resume finds no connection, the attempt itself has been sent
        // before, so the request may have run.
        let resumed = 0 < request.resumes;
        let cause = match failure {
            Failure::NotSent(_) if !resumed => Cause::NotSent,
            Failure::NotSent(_) | Failure::Broken(_) => Cause::Crashed,
            _ => Cause::Failed,
        };
        request.may_have_run |= cause != Cause::NotSent;
        match cause {
            Cause::NotSent => out.signal(Signal::SuspectTarget(target)),
            Cause::Crashed => {
                out.signal(Signal::SuspectTarget(target.clone()));
                out.signal(Signal::RecordCrash(request.fingerprint, target));
            }
            _ => cancel(request, out),
        }
        let why = failure.to_string();
        if relayed || (cause != Cause::NotSent && request.is_booking()) {
            self.give_up(id, Reason::Target(why.into()), out);
            return;
        }
        self.retry(ctx, view, id, cause, &why, out);
    }

    /// Retries a request if the number of attempts and the pool's retry budget
    /// allow it, else refuses it.
    fn retry(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: RequestId,
        cause: Cause,
        why: &str,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let reason = match cause {
            Cause::Refused => Reason::Full,
            _ => Reason::Target(why.into()),
        };
        let budget = self.budgets.entry(request.pool.clone()).or_default();
        // The retry budget of a trial is taken when the trial is granted.
        let needs_no_budget = matches!(cause, Cause::NotSent | Cause::Crashed);
        if MAX_ATTEMPTS <= request.attempt || !(needs_no_budget || budget.withdraw()) {
            self.give_up(id, reason, out);
            return;
        }
        out.log(Record::new("retry").with("request", id).with("why", why));
        request.avoid.extend(request.target.take());
        release(request, out);
        if cause == Cause::Crashed {
            request.denial_reason = Some(reason);
            request_trial(request, out);
        } else {
            self.request_reservation(ctx, view, id, out);
        }
    }
}

/// Cancels the running attempt of a chat. A desk call can't be cancelled.
fn cancel(request: &Request, out: &mut Output) {
    if let Class::Chat { .. } = request.class
        && let Some(target) = &request.target
    {
        out.signal(Signal::CancelAttempt(target.clone(), request.attempt()));
    }
}

//! How attempts end, and what follows.

use briarshift_target::{Attempt, Failure};
use briarshift_units::RequestId;

use super::life::{Flavour, Request};
use super::state::{State, View, release, want_trial};
use super::{Decision, End, Reason, Resume, Tokens};
use crate::{Context, Effect, Output, Record, Signal, booking};

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Times one attempt's stream is resumed.
const MAX_RESUMES: u32 = 2;

/// Why an attempt did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// No byte left: costs no target anything.
    NotSent,
    /// The target refused it unrun.
    Refused,
    /// The target died under it.
    Died,
    /// It failed otherwise.
    Failed,
}

impl State {
    /// Ends attempts whose workers are gone, so that no place is held for
    /// ever.
    pub fn tick(&mut self, ctx: &Context<'_>, _view: View<'_>, out: &mut Output) {
        let late = |request: &&Request| {
            request.sent.is_some_and(|sent| request.limit < ctx.at.since(sent))
        };
        let late: Vec<_> = self.requests.values().filter(late).map(|row| row.id).collect();
        for id in late {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            out.log(Record::new("worker_silent").with("request", id));
            request.may_have_run = true;
            cancel(request, out);
            self.give_up(id, Reason::Target("no report of the attempt came".into()), out);
        }
    }

    pub(super) fn end(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        id: Attempt,
        end: End,
        out: &mut Output,
    ) {
        let Some(request) = self.requests.get(&id.request) else {
            // The caller has its answer already; a resend wants this one.
            if let End::Complete { response: Some(response), .. } = end {
                out.signal(Signal::StoreResponse(id.request, response));
            }
            return;
        };
        if request.attempt != id.number || request.sent.is_none() {
            return;
        }
        match end {
            End::Complete { tokens, response } => {
                self.whole(ctx, id.request, tokens, response, out)
            }
            End::Refused => {
                self.again(ctx, view, id.request, Cause::Refused, "refused", out);
            }
            End::Interrupted { failure, last_event_id, relayed } => {
                if !self.resume(view, id.request, last_event_id, out) {
                    self.failed(ctx, view, id.request, &failure, relayed, out);
                }
            }
            End::Failed { failure, relayed } => {
                self.failed(ctx, view, id.request, &failure, relayed, out);
            }
        }
    }

    pub(super) fn gone(&mut self, id: RequestId, out: &mut Output) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let running = request.sent.is_some();
        let line = Record::new("caller_gone").with("request", id);
        out.log(line.with("running", running).with("booking", request.is_booking()));
        if running && request.is_booking() {
            request.detached = true;
            return;
        }
        if running {
            cancel(request, out);
        }
        let Some(request) = self.leave(id, out) else { return };
        if request.claimed.is_some() && !request.may_have_run {
            out.signal(Signal::DropClaim(id));
        }
    }

    fn whole(
        &mut self,
        ctx: &Context<'_>,
        id: RequestId,
        tokens: Tokens,
        response: Option<booking::Response>,
        out: &mut Output,
    ) {
        // Cleared first: the end of its trial tells what is known of it.
        let Some(request) = self.requests.get(&id) else { return };
        out.signal(Signal::ClearCrashes(request.fingerprint));
        let queued = request.placed.unwrap_or(ctx.at).since(request.arrived);
        let mut sample = request.sample(queued, tokens);
        let Some(request) = self.leave(id, out) else { return };
        sample.booked = response.is_some();
        if let Some(response) = response {
            out.signal(Signal::StoreResponse(id, response));
        }
        let line = Record::new("answered").with("request", id).with("account", &request.account);
        let line = line.with("attempt", request.attempt).with("queued", queued);
        out.log(line.with("detached", request.detached));
        out.signal(Signal::CountUsage(sample));
    }

    /// Resumes a broken chat stream where it runs. Without any event there is
    /// nothing to resume after: it is sent anew, elsewhere.
    fn resume(
        &mut self,
        view: View<'_>,
        id: RequestId,
        last_event_id: u64,
        out: &mut Output,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let chat = matches!(request.flavour, Flavour::Chat { .. });
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

    fn failed(
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
        // No connection for a resume: the attempt itself was sent before.
        let resumed = 0 < request.resumes;
        let cause = match failure {
            Failure::NotSent(_) if !resumed => Cause::NotSent,
            Failure::NotSent(_) | Failure::Broken(_) => Cause::Died,
            _ => Cause::Failed,
        };
        request.may_have_run |= cause != Cause::NotSent;
        match cause {
            Cause::NotSent => out.signal(Signal::SuspectTarget(target)),
            Cause::Died => {
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
        self.again(ctx, view, id, cause, &why, out);
    }

    /// Sends a request once more, within the attempts and the pool's budget.
    fn again(
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
        // A trial is paid for when it is granted.
        let free = matches!(cause, Cause::NotSent | Cause::Died);
        if MAX_ATTEMPTS <= request.attempt || !(free || budget.withdraw()) {
            self.give_up(id, reason, out);
            return;
        }
        out.log(Record::new("retry").with("request", id).with("why", why));
        request.avoid.extend(request.target.take());
        release(request, out);
        if cause == Cause::Died {
            request.denied = Some(reason);
            want_trial(request, out);
        } else {
            self.start(ctx, view, id, out);
        }
    }
}

/// Cancels the attempt under way. A desk call can't be cancelled.
fn cancel(request: &Request, out: &mut Output) {
    if let Flavour::Chat { .. } = request.flavour
        && let Some(target) = &request.target
    {
        out.signal(Signal::CancelAttempt(target.clone(), request.attempt()));
    }
}

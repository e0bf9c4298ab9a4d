//! The traffic thread: executes the control thread's decisions on requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web::Bytes;
use briarshift_catalog::Kind as RouteKind;
use briarshift_forward::event::Splitter;
use briarshift_forward::{
    Body, Client, Failure, Freshness, HeaderCodec, Memory, Request, Response, ResponseHeaders,
    TargetHeaders,
};
use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Decision, End, Event, Refusal, Send, SendId};
use briarshift_gateway::target::{Load, Report};
use briarshift_units::{Moment, RequestId, Span};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::clock;
use super::control::{Arrived, Control, Input};
use super::relay::Relay;
use super::response::{self, Head};
use super::shared::Shared;

/// Time beyond a request's deadline for which its answer is still awaited. The
/// target itself enforces the deadline, and its answer to that takes some time to
/// arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(60);
/// Time beyond a request's deadline after which its stream is ended although events
/// still arrive. A target stops at the deadline, and what it has sent by then arrives
/// within this time on a slow link.
const STREAM_SLACK: Duration = Duration::from_secs(1);

/// A command from the control thread to the traffic thread.
pub(crate) enum Command {
    /// Closes the idle connections to an address.
    CloseConnections(SocketAddr),
}

/// A caller's request, as it was read.
pub(super) struct Job {
    pub(super) arrival: Arrival,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: RefCell<Bytes>,
    pub(super) resume_after: Option<SmolStr>,
}

/// What the traffic thread needs to handle requests: the control thread's address
/// and the client of targets.
pub(crate) struct Worker {
    control: Addr<Control>,
    client: Client,
    header_codec: Box<dyn HeaderCodec>,
    shared: Shared,
}

/// Reports to the control thread that the caller left, if it is dropped while armed:
/// the server drops a request's handler or response body when the caller disconnects.
pub(super) struct CallerGuard {
    control: Addr<Control>,
    request: RequestId,
    armed: Cell<bool>,
}

impl CallerGuard {
    pub(super) fn disarm(&self) {
        self.armed.set(false);
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed.get() {
            self.control.do_send(Input(Kind::Request(Event::CallerLeft(self.request))));
        }
    }
}

/// A target's answer.
pub(super) enum TargetAnswer {
    /// A stream, read up to its first events.
    Stream { head: Head, first: Bytes, body: Body, splitter: Splitter, report: Option<Report> },
    /// An answer that was read completely.
    Complete { head: Head, body: Bytes, report: Option<Report> },
}

/// Returns how an attempt ended whose whole answer has this status.
fn end_of(status: u16) -> End {
    match status {
        status if response::NOT_RUN_STATUSES.contains(&status) => End::Ambiguous { status },
        ..500 => End::Complete { ok: true },
        status => End::Failed { status },
    }
}

/// An attempt that gave no answer for the caller.
pub(super) struct FailedAttempt {
    pub(super) end: End,
    pub(super) report: Option<Report>,
}

impl From<End> for FailedAttempt {
    fn from(end: End) -> Self {
        Self { end, report: None }
    }
}

/// The result of an attempt that goes on after its caller has left. Whoever drops it
/// unclaimed, the control thread learns once that the attempt has ended.
struct Outcome {
    worker: Rc<Worker>,
    id: SendId,
    result: Option<Result<TargetAnswer, FailedAttempt>>,
}

impl Outcome {
    /// Returns the result to the request that waits for it.
    fn claim(mut self) -> Option<Result<TargetAnswer, FailedAttempt>> {
        self.result.take()
    }
}

impl Drop for Outcome {
    fn drop(&mut self) {
        let (end, report) = match self.result.take() {
            None => return,
            Some(Ok(TargetAnswer::Complete { head, report, .. })) => {
                let ok = matches!(end_of(head.status), End::Complete { ok: true });
                (End::Complete { ok }, report)
            }
            Some(Ok(TargetAnswer::Stream { report, .. })) => (End::Complete { ok: true }, report),
            Some(Err(FailedAttempt { end, report })) => (end, report),
        };
        self.worker.report_end(self.id, end, report);
        self.worker.notify(Event::CallerLeft(self.id.request));
    }
}

impl Worker {
    pub(crate) fn new(
        control: Addr<Control>,
        header_codec: Box<dyn HeaderCodec>,
        shared: Shared,
        client: Client,
    ) -> Self {
        Self { control, client, header_codec, shared }
    }

    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    pub(super) fn memory(&self) -> &Memory {
        self.client.memory()
    }

    pub(super) fn header_codec(&self) -> &dyn HeaderCodec {
        &*self.header_codec
    }

    pub(super) fn notify(&self, event: Event) {
        self.control.do_send(Input(Kind::Request(event)));
    }

    /// Handles a request and returns its response. While an attempt runs, the control
    /// thread may start a second one. The first answer counts: the attempt that still
    /// runs is dropped in the same step, which closes its connection, so that neither
    /// two answers nor none can reach the caller.
    pub(super) async fn run(this: &Rc<Self>, job: Job) -> HttpResponse {
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let request = job.arrival.request;
        let guard = CallerGuard { control: this.control.clone(), request, armed: Cell::new(true) };
        this.control.do_send(Arrived { arrival: job.arrival.clone(), decisions: sender });
        let job = Rc::new(job);
        let mut failed_answer = None;
        let mut attempts = FuturesUnordered::new();
        loop {
            let (send, answered) = tokio::select! {
                biased;
                Some(ended) = attempts.next() => ended,
                decision = decisions.recv() => match decision {
                    Some(Decision::Send(send)) => {
                        attempts.push(Self::attempt_to_end(this, &job, send, &guard));
                        continue;
                    }
                    // The last decision, also if the process ends before the attempts do.
                    decision => return this.conclude(decision, failed_answer, &guard),
                },
            };
            match answered {
                Ok(TargetAnswer::Stream { head, first, body, splitter, report }) => {
                    drop(attempts);
                    this.notify(Event::AnswerBegan { id: send.id, report });
                    if !send.kind.is_idempotent() {
                        // Nothing sends it again. An answer may take long.
                        job.body.take();
                    }
                    let close = this.shared.is_draining();
                    let stream = (send, body, splitter);
                    let relay = Relay::new(Rc::clone(this), job, guard, decisions, stream);
                    return response::from_target(&head, close).streaming(relay.stream(first));
                }
                Ok(TargetAnswer::Complete { head, body, report }) => {
                    let end = end_of(head.status);
                    match end {
                        End::Complete { .. } => {
                            drop(attempts);
                            guard.disarm();
                            this.report_end(send.id, end, report);
                            return response::whole(&head, this.shared.is_draining(), body);
                        }
                        End::Failed { .. } => failed_answer = Some((head, body)),
                        _ => {}
                    }
                    this.report_end(send.id, end, report);
                }
                Err(FailedAttempt { end, report }) => this.report_end(send.id, end, report),
            }
        }
    }

    /// Returns the response for the last decision on a request, `None` if the control
    /// thread has stopped.
    fn conclude(
        &self,
        decision: Option<Decision>,
        failed_answer: Option<(Head, Bytes)>,
        guard: &CallerGuard,
    ) -> HttpResponse {
        guard.disarm();
        match (decision, failed_answer) {
            (Some(Decision::Refuse(refusal)), _) => self.refuse(&refusal),
            (Some(Decision::Deliver), Some((head, body))) => {
                response::whole(&head, self.shared.is_draining(), body)
            }
            _ => {
                let remedy =
                    "this VM is stopping: check whether the request ran before you repeat it";
                let status = actix_web::http::StatusCode::BAD_GATEWAY;
                response::error(status, "stopping", remedy, true)
            }
        }
    }

    /// Reports to the control thread how a send ended.
    pub(super) fn report_end(&self, id: SendId, end: End, report: Option<Report>) {
        self.notify(Event::SendEnded { id, end, report });
    }

    fn refuse(&self, refusal: &Refusal) -> HttpResponse {
        response::refusal(refusal, self.shared.is_draining())
    }

    /// Makes one attempt and returns it with its result. If the request may not be repeated,
    /// the attempt runs in a separate task, which continues after the caller left; otherwise
    /// the attempt is cancelled when the caller leaves.
    async fn attempt_to_end(
        this: &Rc<Self>,
        job: &Rc<Job>,
        send: Send,
        guard: &CallerGuard,
    ) -> (Send, Result<TargetAnswer, FailedAttempt>) {
        if send.kind != RouteKind::Unsafe {
            let answered = this.attempt(job, &send, job.resume_after.clone()).await;
            return (send, answered);
        }
        guard.disarm();
        let (worker, job, id) = (Rc::clone(this), Rc::clone(job), send.id);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let own_send = send.clone();
        actix_rt::spawn(async move {
            let result = worker.attempt(&job, &own_send, None).await;
            // If nobody waits any more, the outcome is dropped, here or in the channel.
            let _ = sender.send(Outcome { worker, id, result: Some(result) });
        });
        let outcome = receiver.await;
        guard.armed.set(true);
        let answered = outcome.ok().and_then(Outcome::claim);
        let answered = answered
            .unwrap_or_else(|| Err(interrupted("the task of the attempt was dropped").into()));
        (send, answered)
    }

    /// Sends a request to a target and reads its answer: completely, or up to the
    /// first events of a stream.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        send: &Send,
        resume_after: Option<SmolStr>,
    ) -> Result<TargetAnswer, FailedAttempt> {
        let freshness = match send.kind.is_idempotent() {
            _ if send.is_repeated => Freshness::New,
            true => Freshness::Open,
            false => Freshness::Fresh,
        };
        let ready = self
            .client
            .connect(send.address, freshness, send.max_connections)
            .await
            .map_err(|failure| failed_attempt(failure, false))?;
        let now = clock::now();
        if send.deadline <= now {
            return Err(End::NotSent {
                reason: "the deadline passed before the request was sent".into(),
            }
            .into());
        }
        if send.config_expires_at.is_some_and(|expires_at| expires_at <= now) {
            return Err(End::ConfigExpired.into());
        }
        let request = self.build_request(job, send, resume_after, now);
        let answer_timeout = answer_timeout(send, now);
        let Ok(sent) = timeout(answer_timeout, self.client.send(ready, request)).await else {
            return Err(End::AnswerTimeout.into());
        };
        let answer = sent.map_err(|failure| failed_attempt(failure, false))?;
        let response_headers = self.header_codec.decode_response(&answer.headers);
        if let Some(header) = response_headers.malformed {
            log::info!("event=bad_header target={} header={header} use=ignored", send.target);
        }
        if !is_own(job, &answer, &response_headers) {
            return Err(interrupted("the answer may belong to another attempt").into());
        }
        // Another target at the address reports about itself.
        let is_moved = answer.status == StatusCode::MISDIRECTED_REQUEST;
        let report = (!is_moved).then(|| report(answer.status, &response_headers));
        let read = self.read_answer(send, answer, &response_headers).await;
        match read {
            Ok(mut answered) => {
                let (TargetAnswer::Stream { report: answer_report, .. }
                | TargetAnswer::Complete { report: answer_report, .. }) = &mut answered;
                *answer_report = report;
                Ok(answered)
            }
            Err(end) => Err(FailedAttempt { end, report }),
        }
    }

    fn build_request(
        &self,
        job: &Job,
        send: &Send,
        resume_after: Option<SmolStr>,
        now: Moment,
    ) -> Request {
        let target_headers = TargetHeaders {
            deadline: send.deadline.since(now),
            target: send.target.clone(),
            account: send.account.clone(),
            priority: send.priority,
            fetch_from: send.fetch_from,
            resume_after,
        };
        Request {
            method: job.method.clone(),
            path: job.path.clone(),
            headers: self.header_codec.encode_request(&job.headers, &target_headers),
            body: job.body.borrow().clone(),
        }
    }

    /// Checks that an answer is from the target, and reads it.
    async fn read_answer(
        &self,
        send: &Send,
        answer: Response,
        response_headers: &ResponseHeaders,
    ) -> Result<TargetAnswer, End> {
        let Response { status, headers, mut body, .. } = answer;
        if response_headers.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            actix_rt::spawn(body.close());
            let moved = status == StatusCode::MISDIRECTED_REQUEST;
            return Err(End::NotRun { status: status.as_u16(), moved });
        }
        if response_headers.attempt.is_none()
            || headers.contains_key(http::header::CONTENT_ENCODING)
        {
            return Err(interrupted(
                "the answer names no attempt or is encoded: it is not from the target",
            ));
        }
        if status.is_success() && !response_headers.from_target {
            return Err(interrupted(
                "the answer lacks the header that proves it is from the target",
            ));
        }
        let head = Head { status: status.as_u16(), headers };
        if !send.kind.is_stream() || !status.is_success() {
            let complete = timeout(send_timeout(send, clock::now()), body.read_to_end()).await;
            let Ok(complete) = complete else { return Err(End::AnswerTimeout) };
            let body = complete.map_err(|failure| failed_attempt(failure, false).end)?;
            return Ok(TargetAnswer::Complete { head, body, report: None });
        }
        let mut splitter = Splitter::default();
        let first =
            timeout(answer_timeout(send, clock::now()), first_events(&mut body, &mut splitter))
                .await;
        let Ok(first) = first else { return Err(End::AnswerTimeout) };
        Ok(TargetAnswer::Stream { head, first: first?, body, splitter, report: None })
    }
}

/// Returns true if an answer is certainly for this attempt. A target may write an earlier
/// answer once more, also a refusal, while it runs a request.
fn is_own(job: &Job, answer: &Response, headers: &ResponseHeaders) -> bool {
    match headers.attempt.as_deref() {
        Some(answered) => answered == job.arrival.attempt.as_str(),
        None => !answer.is_reused,
    }
}

fn report(status: StatusCode, headers: &ResponseHeaders) -> Report {
    let load = headers.load.map(|load| Load {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        work_percent: load.work_percent,
    });
    let is_turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
    let pause = headers.retry_after.filter(|wait| is_turned_away && Span::ZERO < *wait);
    let ResponseHeaders { limit, is_leaving, cold, .. } = *headers;
    Report { load, limit, is_leaving, pause, cold }
}

/// Reads the first complete events of a stream.
async fn first_events(body: &mut Body, splitter: &mut Splitter) -> Result<Bytes, End> {
    loop {
        let chunk = body.chunk().await.map_err(|failure| failed_attempt(failure, false).end)?;
        let Some(chunk) = chunk else {
            return Err(interrupted("the stream has no events"));
        };
        let events = splitter.push(&chunk).map_err(|err| interrupted(&err.to_string()))?;
        if !events.is_empty() {
            return Ok(events);
        }
    }
}

/// The end of an attempt that failed before any of its answer was relayed.
pub(super) fn interrupted(reason: &str) -> End {
    End::Interrupted { reason: reason.into(), relayed: false }
}

/// Converts a failure of the client; `relayed` says whether events of the answer have
/// reached the caller.
pub(super) fn failed_attempt(failure: Failure, relayed: bool) -> FailedAttempt {
    match failure {
        Failure::NotSent(reason) => End::NotSent { reason }.into(),
        Failure::Broken(reason) => End::Interrupted { reason, relayed }.into(),
    }
}

/// Returns how long to wait for an answer to begin.
fn answer_timeout(send: &Send, now: Moment) -> Duration {
    let timeout = send.answer_deadline.map(|timeout| Duration::from(timeout.since(now)));
    timeout.map_or(send_timeout(send, now), |timeout| timeout.min(send_timeout(send, now)))
}

/// Returns how long to wait for an answer to end.
fn send_timeout(send: &Send, now: Moment) -> Duration {
    Duration::from(send.deadline.since(now)) + ANSWER_SLACK
}

/// Returns how long to wait for the next event of a stream, or `None` if no more
/// events are relayed. Up to the deadline a target may take its time between events.
pub(super) fn event_timeout(send: &Send, now: Moment) -> Option<Duration> {
    let overdue = Duration::from(now.since(send.deadline));
    (overdue < STREAM_SLACK).then(|| send_timeout(send, now))
}

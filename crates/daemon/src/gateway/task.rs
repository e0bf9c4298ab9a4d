//! Traffic: carries out decisions on one request after another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web::Bytes;
use briarshift_catalog::Kind as RouteKind;
use briarshift_forward::event::Splitter;
use briarshift_forward::{
    Body, Client, Failure, Freshness, HeaderCodec, Request, Response, ResponseHeaders,
    TargetHeaders,
};
use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Decision, End, Event, Refusal, Send, SendId};
use briarshift_gateway::target::Report;
use briarshift_units::{Moment, RequestId};
use http::{HeaderMap, Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::answer::{self, Head};
use super::clock;
use super::control::{Arrived, Control, Input};
use super::relay::Relay;
use super::shared::Shared;

/// A target ends a request at its deadline by itself; its answer may take this
/// much longer to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(60);

/// What the control thread tells the traffic thread.
pub(crate) enum Order {
    /// Close the kept connections to an address.
    Forget(SocketAddr),
}

/// A request as it was read.
pub(super) struct Job {
    pub(super) arrival: Arrival,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) resume_after: Option<SmolStr>,
}

/// The traffic thread's way to the control thread and to targets.
pub(crate) struct Worker {
    control: Addr<Control>,
    client: Client,
    header_codec: Box<dyn HeaderCodec>,
    shared: Shared,
}

/// Tells the control thread when a caller leaves before its request's end.
pub(super) struct Guard {
    control: Addr<Control>,
    request: RequestId,
    armed: Cell<bool>,
}

impl Guard {
    pub(super) fn disarm(&self) {
        self.armed.set(false);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed.get() {
            self.control.do_send(Input(Kind::Request(Event::CallerLeft(self.request))));
        }
    }
}

/// What a target answered.
pub(super) enum Answered {
    /// A stream, up to its first events.
    Stream { head: Head, first: Bytes, body: Body, splitter: Splitter, report: Option<Report> },
    /// A whole answer.
    Whole { head: Head, body: Bytes, report: Option<Report> },
}

/// An attempt that brought no answer for the caller.
pub(super) struct Miss {
    pub(super) end: End,
    pub(super) report: Option<Report>,
}

impl From<End> for Miss {
    fn from(end: End) -> Self {
        Self { end, report: None }
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

    pub(super) fn header_codec(&self) -> &dyn HeaderCodec {
        &*self.header_codec
    }

    pub(super) fn tell(&self, event: Event) {
        self.control.do_send(Input(Kind::Request(event)));
    }

    /// Runs a request to its response.
    pub(super) async fn run(this: &Rc<Self>, job: Job) -> HttpResponse {
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let request = job.arrival.request;
        let guard = Guard { control: this.control.clone(), request, armed: Cell::new(true) };
        this.control.do_send(Arrived { arrival: job.arrival.clone(), decisions: sender });
        let job = Rc::new(job);
        let mut held = None;
        while let Some(decision) = decisions.recv().await {
            match decision {
                Decision::Send(send) => match Self::attempt_to_end(this, &job, &send, &guard).await
                {
                    Ok(Answered::Stream { head, first, body, splitter, report }) => {
                        this.tell(Event::AnswerBegan { id: send.id, report });
                        let close = this.shared.is_draining();
                        let stream = (send, body, splitter);
                        let relay = Relay::new(Rc::clone(this), job, guard, decisions, stream);
                        return answer::head(&head, close).streaming(relay.stream(first));
                    }
                    Ok(Answered::Whole { head, body, report }) if head.status < 500 => {
                        guard.disarm();
                        this.ended(send.id, End::Complete { ok: true }, report);
                        return answer::head(&head, this.shared.is_draining()).body(body);
                    }
                    Ok(Answered::Whole { head, body, report }) => {
                        this.ended(send.id, End::Failed { status: head.status }, report);
                        held = Some((head, body));
                    }
                    Err(Miss { end, report }) => this.ended(send.id, end, report),
                },
                Decision::Deliver => {
                    guard.disarm();
                    let Some((head, body)) = held else { break };
                    return answer::head(&head, this.shared.is_draining()).body(body);
                }
                Decision::Refuse(refusal) => {
                    guard.disarm();
                    return this.refuse(&refusal);
                }
            }
        }
        guard.disarm();
        let (error, remedy) = ("stopping", "this VM is stopping: look before repeating it");
        answer::error(actix_web::http::StatusCode::BAD_GATEWAY, error, remedy, true)
    }

    pub(super) fn ended(&self, id: SendId, end: End, report: Option<Report>) {
        self.tell(Event::SendEnded { id, end, report });
    }

    fn refuse(&self, refusal: &Refusal) -> HttpResponse {
        answer::refusal(refusal, self.shared.is_draining())
    }

    /// An attempt that may not be repeated is seen through to its end, caller
    /// or no caller; any other ends as its caller leaves.
    async fn attempt_to_end(
        this: &Rc<Self>,
        job: &Rc<Job>,
        send: &Send,
        guard: &Guard,
    ) -> Result<Answered, Miss> {
        if send.kind != RouteKind::Unsafe {
            return this.attempt(job, send, job.resume_after.clone()).await;
        }
        guard.disarm();
        let (worker, job, send) = (Rc::clone(this), Rc::clone(job), send.clone());
        let (sender, receiver) = tokio::sync::oneshot::channel();
        actix_rt::spawn(async move {
            let result = worker.attempt(&job, &send, None).await;
            if let Err(result) = sender.send(result) {
                let (end, report) = match result {
                    Ok(Answered::Whole { head, report, .. }) => {
                        (End::Complete { ok: head.status < 500 }, report)
                    }
                    Ok(Answered::Stream { report, .. }) => (End::Complete { ok: true }, report),
                    Err(Miss { end, report }) => (end, report),
                };
                worker.ended(send.id, end, report);
                worker.tell(Event::CallerLeft(send.id.request));
            }
        });
        let result = receiver.await;
        guard.armed.set(true);
        result.unwrap_or_else(|_| {
            Err(End::Interrupted { reason: "the attempt was dropped".into(), relayed: false }
                .into())
        })
    }

    /// Sends a request and reads its answer: whole, or up to the first events
    /// of a stream.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        send: &Send,
        resume_after: Option<SmolStr>,
    ) -> Result<Answered, Miss> {
        let freshness = if send.kind.is_idempotent() { Freshness::Open } else { Freshness::Fresh };
        let ready = self
            .client
            .connect(send.address, freshness, send.max_connections)
            .await
            .map_err(|failure| miss(failure, false))?;
        let now = clock::now();
        if send.deadline <= now {
            return Err(End::NotSent { reason: "its time is up".into() }.into());
        }
        if send.fence.is_some_and(|fence| fence <= now) {
            return Err(End::Fenced.into());
        }
        let request = self.request(job, send, resume_after, now);
        let wait = wait(send, now);
        let Ok(sent) = timeout(wait, self.client.send(ready, request)).await else {
            return Err(End::AnswerTimeout.into());
        };
        let answer = sent.map_err(|failure| miss(failure, false))?;
        let reply = self.header_codec.decode_response(&answer.headers);
        let report = reply.load.map(|(running, waiting, slots)| Report { running, waiting, slots });
        let read = self.read(job, send, answer, &reply).await;
        match read {
            Ok(mut answered) => {
                let (Answered::Stream { report: told, .. } | Answered::Whole { report: told, .. }) =
                    &mut answered;
                *told = report;
                Ok(answered)
            }
            Err(end) => Err(Miss { end, report }),
        }
    }

    fn request(
        &self,
        job: &Job,
        send: &Send,
        resume_after: Option<SmolStr>,
        now: Moment,
    ) -> Request {
        let told = TargetHeaders {
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
            headers: self.header_codec.encode_request(&job.headers, &told),
            body: job.body.clone(),
        }
    }

    async fn read(
        &self,
        job: &Job,
        send: &Send,
        answer: Response,
        reply: &ResponseHeaders,
    ) -> Result<Answered, End> {
        let Response { status, headers, mut body } = answer;
        let attempt = job.arrival.attempt.as_str();
        if reply.attempt.as_deref().is_some_and(|answered| answered != attempt) {
            return Err(broken("the answer is another request's"));
        }
        if reply.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            actix_rt::spawn(body.read_to_end());
            let moved = status == StatusCode::MISDIRECTED_REQUEST;
            return Err(End::NotRun { status: status.as_u16(), moved });
        }
        if reply.attempt.is_none() || headers.contains_key(http::header::CONTENT_ENCODING) {
            return Err(broken("the answer is not the target's"));
        }
        if status.is_success() && !reply.from_target {
            return Err(broken("the answer bears no seal"));
        }
        let head = Head { status: status.as_u16(), headers };
        if !send.kind.is_stream() || !status.is_success() {
            let whole = timeout(until(send, clock::now()), body.read_to_end()).await;
            let Ok(whole) = whole else { return Err(End::AnswerTimeout) };
            let body = whole.map_err(|failure| miss(failure, false).end)?;
            return Ok(Answered::Whole { head, body, report: None });
        }
        let mut splitter = Splitter::default();
        let first = timeout(wait(send, clock::now()), first(&mut body, &mut splitter)).await;
        let Ok(first) = first else { return Err(End::AnswerTimeout) };
        Ok(Answered::Stream { head, first: first?, body, splitter, report: None })
    }
}

/// The first events of a stream.
async fn first(body: &mut Body, splitter: &mut Splitter) -> Result<Bytes, End> {
    loop {
        let chunk = body.chunk().await.map_err(|failure| miss(failure, false).end)?;
        let Some(chunk) = chunk else { return Err(broken("the stream has no events")) };
        let events = splitter.push(&chunk).map_err(|err| broken(&err.to_string()))?;
        if !events.is_empty() {
            return Ok(events);
        }
    }
}

pub(super) fn broken(reason: &str) -> End {
    End::Interrupted { reason: reason.into(), relayed: false }
}

pub(super) fn miss(failure: Failure, relayed: bool) -> Miss {
    match failure {
        Failure::NotSent(reason) => End::NotSent { reason }.into(),
        Failure::Broken(reason) => End::Interrupted { reason, relayed }.into(),
    }
}

/// How long to wait for the beginning of an answer.
fn wait(send: &Send, now: Moment) -> Duration {
    let patience = send.answer_deadline.map(|patience| Duration::from(patience.since(now)));
    patience.map_or(until(send, now), |patience| patience.min(until(send, now)))
}

/// How long to wait for the end of an answer.
pub(super) fn until(send: &Send, now: Moment) -> Duration {
    Duration::from(send.deadline.since(now)) + ANSWER_SLACK
}

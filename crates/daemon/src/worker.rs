//! Traffic workers: execute the control thread's decisions on requests.

use std::rc::Rc;

use actix::Addr;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use briarshift_control::Kind;
use briarshift_control::booking;
use briarshift_control::request::{Arrival, Decision, End, Event, Resume, Send, Tokens};
use briarshift_target::stream::{self, CompleteResponse, Reader};
use briarshift_target::{Body, Call, Failure, Method, Response, TargetClient};
use briarshift_units::RequestId;
use futures::StreamExt;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::control::{Arrived, Control, Input};
use crate::relay::{Relay, StreamEnd};
use crate::response;

/// A caller's request, as a worker read it.
pub(crate) struct Job {
    pub(crate) arrival: Arrival,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) body: Bytes,
}

/// The clients of one traffic thread: the control thread's address and the client
/// of targets.
pub(crate) struct Worker {
    control: Addr<Control>,
    targets: Rc<dyn TargetClient>,
}

impl Worker {
    pub(crate) fn new(control: Addr<Control>, targets: Rc<dyn TargetClient>) -> Self {
        Self { control, targets }
    }

    /// Handles a request and returns its response. The work runs in a separate
    /// task, which notices when the caller leaves and still reports to the control
    /// thread how the attempt ended.
    pub(crate) async fn run(self: &Rc<Self>, job: Job) -> HttpResponse {
        let (responder, response) = oneshot::channel();
        let (sender, decisions) = mpsc::unbounded_channel();
        let arrival = job.arrival.clone();
        self.control.do_send(Arrived { arrival, decisions: sender });
        let task = Task { worker: Rc::clone(self), job, decisions, responder: Some(responder) };
        actix_rt::spawn(task.run());
        response.await.unwrap_or_else(|_| {
            let message = "this VM is stopping: send the request again".into();
            response::rejection(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
        })
    }

    /// Sends an event about a request to the control thread.
    pub(crate) fn notify(&self, event: Event) {
        self.control.do_send(Input(Kind::Request(event)));
    }
}

/// The task that handles one request.
struct Task {
    worker: Rc<Worker>,
    job: Job,
    decisions: mpsc::UnboundedReceiver<Decision>,
    responder: Option<oneshot::Sender<HttpResponse>>,
}

/// Result of an attempt.
enum AttemptResult {
    /// The answer was given to the caller: the request is finished.
    Answered,
    /// The attempt ended without an answer for the caller; the control thread
    /// decides what to do next.
    Ended(End),
    /// The caller left before the answer was complete.
    CallerLeft,
}

impl Task {
    fn id(&self) -> RequestId {
        self.job.arrival.request
    }

    async fn run(mut self) {
        while let Some(decision) = self.next_decision().await {
            match decision {
                Decision::Send(send) => {
                    let id = send.id;
                    match self.attempt(send).await {
                        AttemptResult::Answered => return,
                        AttemptResult::Ended(end) => self.worker.notify(Event::Ended { id, end }),
                        AttemptResult::CallerLeft => {
                            self.worker.notify(Event::CallerLeft(id.request));
                            return;
                        }
                    }
                }
                // Not expected here: `relay_stream` itself receives the decision to
                // resume its stream.
                Decision::Resume(resume) => {
                    let failure = Failure::Broken("this request has no stream to resume".into());
                    let end = End::Failed { failure, relayed: false };
                    self.worker.notify(Event::Ended { id: resume.id, end });
                }
                Decision::Replay(response) => return self.respond(response::replayed(response)),
                Decision::Refuse(refusal) => {
                    let id = self.id().to_string();
                    return self.respond(response::refusal(&refusal, &id));
                }
            }
        }
    }

    /// Waits for the next decision. Returns `None` if the caller leaves first.
    async fn next_decision(&mut self) -> Option<Decision> {
        let responder = self.responder.as_mut()?;
        tokio::select! {
            decision = self.decisions.recv() => decision,
            () = responder.closed() => {
                self.worker.notify(Event::CallerLeft(self.job.arrival.request));
                None
            }
        }
    }

    fn respond(&mut self, response: HttpResponse) {
        if let Some(responder) = self.responder.take() {
            // Sending fails if the caller has left, who then needs no response.
            let _ = responder.send(response);
        }
    }

    async fn attempt(&mut self, send: Send) -> AttemptResult {
        let call = Call {
            id: send.id,
            method: self.job.method.clone(),
            path: self.job.path.clone(),
            content_type: self.job.content_type.clone(),
            body: self.job.body.clone(),
            chat: send.chat,
            overnight: send.overnight,
        };
        if send.send_by.is_some_and(|send_by| send_by < Clock::new().now()) {
            let failure = Failure::NotSent("its booking claim is too old to send it safely".into());
            return AttemptResult::Ended(End::Failed { failure, relayed: false });
        }
        let targets = Rc::clone(&self.worker.targets);
        let result = targets.send(send.address, call);
        let result = if send.buffered {
            // A booking continues after its caller left, because its outcome must be
            // stored for resends.
            result.await
        } else {
            let Some(responder) = self.responder.as_mut() else {
                return AttemptResult::CallerLeft;
            };
            tokio::select! {
                result = result => result,
                () = responder.closed() => return AttemptResult::CallerLeft,
            }
        };
        match result {
            Ok(answer) => self.handle_answer(&send, answer).await,
            Err(failure) => AttemptResult::Ended(End::Failed { failure, relayed: false }),
        }
    }

    async fn handle_answer(&mut self, send: &Send, answer: Response) -> AttemptResult {
        let reader = match Reader::new(send.id, &answer) {
            Ok(reader) => reader,
            Err(failure) => return AttemptResult::Ended(End::Failed { failure, relayed: false }),
        };
        if answer.is_refusal() {
            return AttemptResult::Ended(End::Refused);
        }
        if reader.is_stream() {
            return self.relay_stream(send, reader, answer).await;
        }
        match read_to_end(reader, answer.body).await {
            Ok(complete) => {
                let (status, content_type) = (answer.status, answer.content_type);
                let body = complete.body.unwrap_or_default().to_vec();
                self.deliver(
                    send,
                    booking::Response { status, content_type, body },
                    complete.tokens,
                )
            }
            Err(failure) => AttemptResult::Ended(End::Failed { failure, relayed: false }),
        }
    }

    fn deliver(&mut self, send: &Send, answer: booking::Response, tokens: Tokens) -> AttemptResult {
        let mut response = response::from_target(answer.status, answer.content_type.as_deref());
        if let Some(token) = &send.token {
            response.insert_header((response::CHAT_TOKEN_HEADER, token.as_str()));
        }
        self.respond(response.body(answer.body.clone()));
        let response = send.buffered.then_some(answer);
        self.worker.notify(Event::Ended { id: send.id, end: End::Complete { tokens, response } });
        AttemptResult::Answered
    }

    async fn relay_stream(
        &mut self,
        send: &Send,
        reader: Reader,
        answer: Response,
    ) -> AttemptResult {
        let mut response = response::from_target(answer.status, answer.content_type.as_deref());
        if let Some(token) = &send.token {
            response.insert_header((response::CHAT_TOKEN_HEADER, token.as_str()));
        }
        let (relay, body) = Relay::new(reader);
        self.respond(response.streaming(body));
        let mut ended = relay.run(answer.body).await;
        loop {
            match ended {
                StreamEnd::Complete(tokens) => {
                    let end = End::Complete { tokens, response: None };
                    self.worker.notify(Event::Ended { id: send.id, end });
                    return AttemptResult::Answered;
                }
                StreamEnd::CallerLeft => return AttemptResult::CallerLeft,
                StreamEnd::Interrupted { failure, relay } => {
                    let end =
                        End::Interrupted { failure, last_event_id: relay.last_id(), relayed: true };
                    self.worker.notify(Event::Ended { id: send.id, end });
                    match self.decisions.recv().await {
                        Some(Decision::Resume(resume)) => ended = self.resume(resume, relay).await,
                        Some(Decision::Refuse(refusal)) => {
                            let text = response::refusal_json(&refusal, &self.id().to_string());
                            relay.send_error(&text).await;
                            return AttemptResult::Answered;
                        }
                        _ => return AttemptResult::Answered,
                    }
                }
            }
        }
    }

    /// Resumes an interrupted stream on the engine that runs it.
    async fn resume(&self, resume: Resume, mut relay: Relay) -> StreamEnd {
        let call = stream::resume(resume.id, resume.after);
        match self.worker.targets.send(resume.address, call).await {
            Ok(answer) => match relay.resume_with(&answer) {
                Ok(()) => relay.run(answer.body).await,
                Err(failure) => StreamEnd::Interrupted { failure, relay },
            },
            Err(failure) => StreamEnd::Interrupted { failure, relay },
        }
    }
}

/// Reads the complete body of an answer that is not a stream.
async fn read_to_end(mut reader: Reader, mut body: Body) -> Result<CompleteResponse, Failure> {
    while let Some(chunk) = body.next().await {
        reader.push(&chunk?)?;
    }
    reader.finish()
}

//! Traffic workers: carry out decisions on one request after another.

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

use crate::answer;
use crate::clock::Clock;
use crate::control::{Arrived, Control, Input};
use crate::relay::{Ended, Relay};

/// A request as a worker read it.
pub(crate) struct Job {
    pub(crate) arrival: Arrival,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) body: Bytes,
}

/// One traffic thread's way to the control thread and to targets.
pub(crate) struct Worker {
    control: Addr<Control>,
    targets: Rc<dyn TargetClient>,
}

impl Worker {
    pub(crate) fn new(control: Addr<Control>, targets: Rc<dyn TargetClient>) -> Self {
        Self { control, targets }
    }

    /// Runs a request to its response. The work goes on in a task of its own:
    /// when the caller goes away the task learns it, and still tells the
    /// control thread how the attempt ended.
    pub(crate) async fn run(self: &Rc<Self>, job: Job) -> HttpResponse {
        let (head, response) = oneshot::channel();
        let (sender, decisions) = mpsc::unbounded_channel();
        let arrival = job.arrival.clone();
        self.control.do_send(Arrived { arrival, decisions: sender });
        let task = Task { worker: Rc::clone(self), job, decisions, head: Some(head) };
        actix_rt::spawn(task.run());
        response.await.unwrap_or_else(|_| {
            let message = "this VM is stopping: send the request again".into();
            answer::reject(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
        })
    }

    pub(crate) fn tell(&self, event: Event) {
        self.control.do_send(Input(Kind::Request(event)));
    }
}

/// One request under way.
struct Task {
    worker: Rc<Worker>,
    job: Job,
    decisions: mpsc::UnboundedReceiver<Decision>,
    head: Option<oneshot::Sender<HttpResponse>>,
}

/// Where an attempt leaves its request.
enum Next {
    /// The caller has, or gets, the answer.
    Done,
    /// The control thread decides on.
    Decide(End),
    /// The caller is gone.
    Gone,
}

impl Task {
    fn id(&self) -> RequestId {
        self.job.arrival.request
    }

    async fn run(mut self) {
        while let Some(decision) = self.decision().await {
            match decision {
                Decision::Send(send) => {
                    let id = send.id;
                    match self.attempt(send).await {
                        Next::Done => return,
                        Next::Decide(end) => self.worker.tell(Event::Ended { id, end }),
                        Next::Gone => {
                            self.worker.tell(Event::CallerGone(id.request));
                            return;
                        }
                    }
                }
                // Only a stream is resumed, and that reads its own decisions.
                Decision::Resume(resume) => {
                    let failure = Failure::Broken("there is no stream to resume".into());
                    let end = End::Failed { failure, relayed: false };
                    self.worker.tell(Event::Ended { id: resume.id, end });
                }
                Decision::Replay(response) => return self.respond(answer::replay(response)),
                Decision::Refuse(refusal) => {
                    let id = self.id().to_string();
                    return self.respond(answer::refuse(&refusal, &id));
                }
            }
        }
    }

    /// The next decision; `None` when the caller left while waiting for it.
    async fn decision(&mut self) -> Option<Decision> {
        let head = self.head.as_mut()?;
        tokio::select! {
            decision = self.decisions.recv() => decision,
            () = head.closed() => {
                self.worker.tell(Event::CallerGone(self.job.arrival.request));
                None
            }
        }
    }

    fn respond(&mut self, response: HttpResponse) {
        if let Some(head) = self.head.take() {
            // A caller that is gone needs no answer.
            let _ = head.send(response);
        }
    }

    async fn attempt(&mut self, send: Send) -> Next {
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
            let failure = Failure::NotSent("its claim is too old".into());
            return Next::Decide(End::Failed { failure, relayed: false });
        }
        let targets = Rc::clone(&self.worker.targets);
        let opened = targets.send(send.address, call);
        let opened = if send.buffered {
            // A booking is seen through to its outcome, caller or no caller.
            opened.await
        } else {
            let Some(head) = self.head.as_mut() else { return Next::Gone };
            tokio::select! {
                opened = opened => opened,
                () = head.closed() => return Next::Gone,
            }
        };
        match opened {
            Ok(answer) => self.answered(&send, answer).await,
            Err(failure) => Next::Decide(End::Failed { failure, relayed: false }),
        }
    }

    async fn answered(&mut self, send: &Send, answer: Response) -> Next {
        let reader = match Reader::new(send.id, &answer) {
            Ok(reader) => reader,
            Err(failure) => return Next::Decide(End::Failed { failure, relayed: false }),
        };
        if answer.is_refusal() {
            return Next::Decide(End::Refused);
        }
        if reader.is_stream() {
            return self.stream(send, reader, answer).await;
        }
        match read(reader, answer.body).await {
            Ok(whole) => {
                let (status, content_type) = (answer.status, answer.content_type);
                let body = whole.body.unwrap_or_default().to_vec();
                self.whole(send, booking::Response { status, content_type, body }, whole.tokens)
            }
            Err(failure) => Next::Decide(End::Failed { failure, relayed: false }),
        }
    }

    fn whole(&mut self, send: &Send, answer: booking::Response, tokens: Tokens) -> Next {
        let mut response = answer::finished(answer.status, answer.content_type.as_deref());
        if let Some(token) = &send.token {
            response.insert_header((answer::CHAT_TOKEN_HEADER, token.as_str()));
        }
        self.respond(response.body(answer.body.clone()));
        let response = send.buffered.then_some(answer);
        self.worker.tell(Event::Ended { id: send.id, end: End::Complete { tokens, response } });
        Next::Done
    }

    async fn stream(&mut self, send: &Send, reader: Reader, answer: Response) -> Next {
        let mut response = answer::finished(answer.status, answer.content_type.as_deref());
        if let Some(token) = &send.token {
            response.insert_header((answer::CHAT_TOKEN_HEADER, token.as_str()));
        }
        let (relay, body) = Relay::new(reader);
        self.respond(response.streaming(body));
        let mut ended = relay.run(answer.body).await;
        loop {
            match ended {
                Ended::Whole(tokens) => {
                    let end = End::Complete { tokens, response: None };
                    self.worker.tell(Event::Ended { id: send.id, end });
                    return Next::Done;
                }
                Ended::Gone => return Next::Gone,
                Ended::Broken { failure, relay } => {
                    let end =
                        End::Interrupted { failure, last_event_id: relay.last_id(), relayed: true };
                    self.worker.tell(Event::Ended { id: send.id, end });
                    match self.decisions.recv().await {
                        Some(Decision::Resume(resume)) => ended = self.resume(resume, relay).await,
                        Some(Decision::Refuse(refusal)) => {
                            let text = answer::text(&refusal, &self.id().to_string());
                            relay.break_off(&text).await;
                            return Next::Done;
                        }
                        _ => return Next::Done,
                    }
                }
            }
        }
    }

    /// Goes on with a broken stream where its engine has it.
    async fn resume(&self, resume: Resume, mut relay: Relay) -> Ended {
        let call = stream::resume(resume.id, resume.after);
        match self.worker.targets.send(resume.address, call).await {
            Ok(answer) => match relay.reopen(&answer) {
                Ok(()) => relay.run(answer.body).await,
                Err(failure) => Ended::Broken { failure, relay },
            },
            Err(failure) => Ended::Broken { failure, relay },
        }
    }
}

/// Reads an answer that is no stream to its end.
async fn read(mut reader: Reader, mut body: Body) -> Result<CompleteResponse, Failure> {
    while let Some(chunk) = body.next().await {
        reader.push(&chunk?)?;
    }
    reader.finish()
}

//! The control thread: an actor that runs the gateway reducer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message};
use briarshift_gateway::request::explain::{Answer, Question};
use briarshift_gateway::request::{self, Arrival, Decision, End};
use briarshift_gateway::status::Status;
use briarshift_gateway::{Check, Effect, Event, Identity, Kind, State};
use briarshift_store::registry::{Call, Registry};
use briarshift_units::{Moment, RequestId};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::clock;
use super::link::Link;
use super::metric::Metrics;
use super::shared::Shared;
use super::task::Command;
use crate::pending::PendingRequests;

/// Interval of [`Kind::Tick`] events: short enough for the shortest delay that the
/// reducer uses.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// A target that does not accept a connection within this time counts as down:
/// several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// The actor that owns the reducer's state.
pub(crate) struct Control {
    state: State,
    registry: Rc<dyn Registry>,
    link: Link,
    shared: Shared,
    metrics: Metrics,
    /// Sends commands to the traffic thread.
    commands: mpsc::UnboundedSender<Command>,
    pending: PendingRequests<Decision>,
    drained: watch::Sender<Option<Moment>>,
}

/// An event for the reducer.
pub(crate) struct Input(pub(crate) Kind);

/// A worker has read a request; the decisions about it are sent to `decisions`.
pub(crate) struct Arrived {
    pub(crate) arrival: Arrival,
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
}

/// Requests the [`Status`].
pub(crate) struct GetStatus;

/// Requests an explanation of where a request would go now.
pub(crate) struct Explain(pub(crate) Question);

impl Message for Explain {
    type Result = Answer;
}

impl Message for Input {
    type Result = ();
}

impl Message for Arrived {
    type Result = ();
}

impl Message for GetStatus {
    type Result = Status;
}

impl Control {
    pub(crate) fn new(
        identity: Identity,
        registry: Rc<dyn Registry>,
        link: Link,
        shared: Shared,
        metrics: Metrics,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Self {
        Self {
            state: State::new(identity),
            registry,
            link,
            shared,
            metrics,
            commands,
            pending: PendingRequests::default(),
            drained: watch::Sender::new(None),
        }
    }

    /// Returns a channel that gets a value once the drain is complete and the process may
    /// stop: when it must have stopped.
    pub(crate) fn drained(&self) -> watch::Receiver<Option<Moment>> {
        self.drained.subscribe()
    }

    fn apply(&mut self, kind: Kind, ctx: &mut Context<Self>) {
        let event = Event { at: clock::now(), entropy: fastrand::u64(..), kind };
        for effect in self.state.apply(event) {
            self.execute(effect, ctx);
        }
    }

    fn execute(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::Decide { request, decision } => self.send_decision(request, decision, ctx),
            Effect::Call(call) => self.call_store(call, ctx),
            Effect::CheckTarget { target, address } => {
                let control = ctx.address();
                actix_rt::spawn(async move {
                    let found = check(address).await;
                    control.do_send(Input(Kind::TargetChecked { target, address, found }));
                });
            }
            Effect::Send { address, datagram } => self.link.send(&[address], &datagram),
            Effect::Broadcast { addresses, datagram } => self.link.send(&addresses, &datagram),
            Effect::SetSecret(secret) => self.link.set_secret(secret),
            Effect::SetLimits(limits) => self.shared.set_limits(limits),
            Effect::SetReady(ready) => self.shared.set_ready(ready),
            Effect::CloseConnections(address) => {
                // Sending fails if the traffic thread has stopped, which closed its
                // connections.
                let _ = self.commands.send(Command::CloseConnections(address));
            }
            Effect::Log(record) => {
                self.metrics.count_event(&record);
                log::info!("{record}");
            }
            Effect::Drained { end } => {
                self.drained.send_replace(Some(end));
            }
        }
    }

    /// Sends a decision to the request's worker. If the worker is gone before the last
    /// decision, reports to the reducer that the caller left. A worker that is gone when it
    /// should send a request a second time has reported that itself, or that the request
    /// was answered.
    fn send_decision(&mut self, request: RequestId, decision: Decision, ctx: &mut Context<Self>) {
        let last = !matches!(decision, Decision::Send(_));
        let is_hedge = matches!(&decision, Decision::Send(send) if send.is_hedge);
        if !self.pending.send(request, decision, last) && !last && !is_hedge {
            ctx.notify(Input(Kind::Request(request::Event::CallerLeft(request))));
        }
    }

    /// Starts a call to the store; its result comes as [`Kind::Store`].
    fn call_store(&self, call: Call, ctx: &Context<Self>) {
        let registry = Rc::clone(&self.registry);
        let control = ctx.address();
        let sent = clock::now();
        actix_rt::spawn(async move {
            let answer = registry.execute(call.clone()).await;
            control.do_send(Input(Kind::Store { call, sent, answer }));
        });
    }
}

/// Finds out whether something listens at an address.
async fn check(address: SocketAddr) -> Check {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Check::Listens,
        Ok(Err(err))
            if matches!(err.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) =>
        {
            Check::Refuses
        }
        Ok(Err(_)) | Err(_) => Check::Unreachable,
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(usize::MAX >> 8);
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| actor.apply(Kind::Tick, ctx));
        ctx.run_interval(GAUGE_INTERVAL, |actor, _| {
            actor.metrics.set_gauges(&actor.state.status(clock::now()));
        });
        self.apply(Kind::Tick, ctx);
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, Input(kind): Input, ctx: &mut Self::Context) {
        let ended = match &kind {
            Kind::Request(request::Event::SendEnded { id, end: End::Complete { .. }, .. }) => {
                Some(id.request)
            }
            Kind::Request(request::Event::CallerLeft(request)) => Some(*request),
            Kind::Drain => {
                self.shared.set_draining();
                None
            }
            _ => None,
        };
        self.apply(kind, ctx);
        if let Some(request) = ended {
            self.pending.remove(request);
        }
    }
}

impl Handler<Arrived> for Control {
    type Result = ();

    fn handle(&mut self, Arrived { arrival, decisions }: Arrived, ctx: &mut Self::Context) {
        self.pending.insert(arrival.request, decisions);
        self.apply(Kind::Request(request::Event::Arrived(arrival)), ctx);
    }
}

impl Handler<Explain> for Control {
    type Result = actix::MessageResult<Explain>;

    fn handle(&mut self, Explain(question): Explain, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.explain(clock::now(), fastrand::u64(..), &question))
    }
}

impl Handler<GetStatus> for Control {
    type Result = actix::MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.status(clock::now()))
    }
}

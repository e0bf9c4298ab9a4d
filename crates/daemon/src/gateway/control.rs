//! The control thread: an actor around the reducer of routed services.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message};
use briarshift_gateway::request::{self, Arrival, Decision, End};
use briarshift_gateway::status::Status;
use briarshift_gateway::{Effect, Event, Identity, Kind, State};
use briarshift_store::registry::{Call, Registry};
use briarshift_units::RequestId;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::clock;
use super::link::Link;
use super::metric::Metrics;
use super::shared::Shared;
use super::task::Order;
use crate::waiting::Waiting;

/// How often the reducer is told that time passed: fine enough for the
/// shortest of its pauses.
const TICK: Duration = Duration::from_millis(25);
/// A target that does not take a connection within this time is down: some round
/// trips between data centres.
const CHECK: Duration = Duration::from_millis(300);
/// How often gauges are shown.
const GAUGES: Duration = Duration::from_secs(1);

/// The actor.
pub(crate) struct Control {
    state: State,
    registry: Rc<dyn Registry>,
    link: Link,
    shared: Shared,
    metrics: Metrics,
    /// The traffic thread.
    orders: mpsc::UnboundedSender<Order>,
    waiting: Waiting<Decision>,
    drained: watch::Sender<bool>,
}

/// Something happened.
pub(crate) struct Input(pub(crate) Kind);

/// A request was read.
pub(crate) struct Arrived {
    pub(crate) arrival: Arrival,
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
}

/// Asks for [`Status`].
pub(crate) struct AskStatus;

impl Message for Input {
    type Result = ();
}

impl Message for Arrived {
    type Result = ();
}

impl Message for AskStatus {
    type Result = Status;
}

impl Control {
    pub(crate) fn new(
        me: Identity,
        registry: Rc<dyn Registry>,
        link: Link,
        shared: Shared,
        metrics: Metrics,
        orders: mpsc::UnboundedSender<Order>,
    ) -> Self {
        Self {
            state: State::new(me),
            registry,
            link,
            shared,
            metrics,
            orders,
            waiting: Waiting::default(),
            drained: watch::Sender::new(false),
        }
    }

    /// Turns true once the process may end.
    pub(crate) fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    fn apply(&mut self, kind: Kind, ctx: &mut Context<Self>) {
        let event = Event { at: clock::now(), entropy: fastrand::u64(..), kind };
        for effect in self.state.apply(event) {
            self.carry_out(effect, ctx);
        }
    }

    fn carry_out(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::Decide { request, decision } => self.decide(request, decision, ctx),
            Effect::Call(call) => self.call(call, ctx),
            Effect::CheckTarget { target, address } => {
                let control = ctx.address();
                actix_rt::spawn(async move {
                    let listens = listens(address).await;
                    control.do_send(Input(Kind::TargetChecked { target, address, listens }));
                });
            }
            Effect::Send { address, datagram } => self.link.send(&[address], &datagram),
            Effect::Broadcast { addresses, datagram } => self.link.send(&addresses, &datagram),
            Effect::SetSecret(secret) => self.link.trust(secret),
            Effect::SetLimits(limits) => self.shared.set_limits(limits),
            Effect::SetReady(ready) => self.shared.set_ready(ready),
            Effect::CloseConnections(address) => {
                // A traffic thread that is gone keeps no connections.
                let _ = self.orders.send(Order::Forget(address));
            }
            Effect::Log(record) => {
                self.metrics.record(&record);
                log::info!("{record}");
            }
            Effect::Drained => {
                self.drained.send_replace(true);
            }
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision, ctx: &mut Context<Self>) {
        let last = !matches!(decision, Decision::Send(_));
        if !self.waiting.decide(request, decision, last) && !last {
            ctx.notify(Input(Kind::Request(request::Event::CallerLeft(request))));
        }
    }

    fn call(&self, call: Call, ctx: &Context<Self>) {
        let registry = Rc::clone(&self.registry);
        let control = ctx.address();
        let sent = clock::now();
        actix_rt::spawn(async move {
            let result = registry.execute(call.clone()).await;
            control.do_send(Input(Kind::Store { call, sent, result }));
        });
    }
}

/// Whether something listens at an address.
async fn listens(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(usize::MAX >> 8);
        ctx.run_interval(TICK, |actor, ctx| actor.apply(Kind::Tick, ctx));
        ctx.run_interval(GAUGES, |actor, _| {
            actor.metrics.status(&actor.state.status(clock::now()));
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
                self.shared.drain();
                None
            }
            _ => None,
        };
        self.apply(kind, ctx);
        if let Some(request) = ended {
            self.waiting.remove(request);
        }
    }
}

impl Handler<Arrived> for Control {
    type Result = ();

    fn handle(&mut self, Arrived { arrival, decisions }: Arrived, ctx: &mut Self::Context) {
        self.waiting.insert(arrival.request, decisions);
        self.apply(Kind::Request(request::Event::Arrived(arrival)), ctx);
    }
}

impl Handler<AskStatus> for Control {
    type Result = actix::MessageResult<AskStatus>;

    fn handle(&mut self, _: AskStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.status(clock::now()))
    }
}

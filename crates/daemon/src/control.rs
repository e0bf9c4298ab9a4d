//! The control thread: an actor that runs the control reducer.

use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture};
use briarshift_control::request::{self, Decision};
use briarshift_control::status::{Counts, Status};
use briarshift_control::{Effect, Event, Identity, Kind, State};
use briarshift_settings::Document;
use briarshift_units::{RequestId, VmId};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::driver::Driver;
use crate::metric::Metrics;
use crate::pending::PendingRequests;

/// Interval of [`Kind::Tick`] events.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// An event for the reducer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Input(pub(crate) Kind);

/// A request arrived; the decisions about it are sent to `decisions`.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Arrived {
    pub(crate) arrival: request::Arrival,
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
}

/// Requests a summary of the reducer's state.
#[derive(Message)]
#[rtype(result = "Status")]
pub(crate) struct GetStatus;

/// Requests the counts that the gauges show.
#[derive(Message)]
#[rtype(result = "Counts")]
pub(crate) struct GetCounts;

/// Requests the environment document in force.
#[derive(Message)]
#[rtype(result = "Option<Document>")]
pub(crate) struct GetDocument;

/// Starts a drain; the reply comes when no request is in flight any more.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// The actor that owns the reducer's state.
pub(crate) struct Control {
    vm: VmId,
    state: State,
    clock: Clock,
    driver: Rc<Driver>,
    metrics: Metrics,
    pending: PendingRequests<Decision>,
    drained: watch::Sender<bool>,
}

impl Control {
    pub(crate) fn new(identity: Identity, driver: Driver, metrics: Metrics) -> Self {
        Self {
            vm: identity.vm.clone(),
            state: State::new(identity),
            clock: Clock::new(),
            driver: Rc::new(driver),
            metrics,
            pending: PendingRequests::default(),
            drained: watch::Sender::new(false),
        }
    }

    fn apply(&mut self, kind: Kind, ctx: &Context<Self>) {
        let event = Event {
            at: self.clock.now(),
            wall: self.clock.wall(),
            entropy: fastrand::u64(..),
            kind,
        };
        for effect in self.state.apply(event) {
            self.execute(effect, ctx);
        }
    }

    fn execute(&mut self, effect: Effect, ctx: &Context<Self>) {
        match effect {
            Effect::Decide { request, decision } => self.send_decision(request, decision),
            Effect::Log(record) => {
                self.metrics.count_event(&record);
                log::info!("{record} vm={}", self.vm);
            }
            Effect::Drained => {
                self.drained.send_replace(true);
            }
            Effect::InForce(revision) => self.metrics.set_document_revision(revision),
            effect => {
                let control = ctx.address();
                let sink = Rc::new(move |kind| control.do_send(Input(kind)));
                self.driver.execute(effect, sink);
            }
        }
    }

    /// Sends a decision to the worker that handles the request.
    fn send_decision(&mut self, request: RequestId, decision: Decision) {
        let last = !matches!(decision, Decision::Send(_) | Decision::Resume(_));
        // If the worker's channel is closed, the worker has reported that its caller
        // left, or is about to.
        self.pending.send(request, decision, last);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(usize::MAX >> 8);
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| {
            actor.apply(Kind::Tick, ctx);
        });
        ctx.run_interval(GAUGE_INTERVAL, |actor, _| {
            actor.metrics.set_gauges(&actor.state.counts());
        });
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, Input(kind): Input, ctx: &mut Self::Context) {
        let ended = match &kind {
            Kind::Request(request::Event::Ended { id, end: request::End::Complete { .. } }) => {
                Some(id.request)
            }
            Kind::Request(request::Event::CallerLeft(request)) => Some(*request),
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

impl Handler<GetStatus> for Control {
    type Result = actix::MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.status())
    }
}

impl Handler<GetCounts> for Control {
    type Result = actix::MessageResult<GetCounts>;

    fn handle(&mut self, _: GetCounts, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.counts())
    }
}

impl Handler<GetDocument> for Control {
    type Result = Option<Document>;

    fn handle(&mut self, _: GetDocument, _: &mut Self::Context) -> Self::Result {
        self.state.document().current().cloned()
    }
}

impl Handler<Drain> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Drain, ctx: &mut Self::Context) -> Self::Result {
        let mut drained = self.drained.subscribe();
        self.apply(Kind::Drain, ctx);
        Box::pin(async move {
            // An error means that the actor, which owns the sender, has stopped; then no
            // request is in flight either.
            let _ = drained.wait_for(|drained| *drained).await;
        })
    }
}

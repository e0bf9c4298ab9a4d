//! The control thread: an actor around the reducer.

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
use crate::waiting::Waiting;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(10);

/// Time between two updates of the gauges.
const GAUGES: Duration = Duration::from_secs(1);

/// Something happened.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Input(pub(crate) Kind);

/// A request arrived; decisions on it go to `decisions`.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Arrived {
    pub(crate) arrival: request::Arrival,
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
}

/// Asks for a summary of the state.
#[derive(Message)]
#[rtype(result = "Status")]
pub(crate) struct AskStatus;

/// Asks for the numbers of the gauges.
#[derive(Message)]
#[rtype(result = "Counts")]
pub(crate) struct AskCounts;

/// Asks for the document in force.
#[derive(Message)]
#[rtype(result = "Option<Document>")]
pub(crate) struct AskDocument;

/// Begins a graceful shutdown and waits for its end.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// The actor.
pub(crate) struct Control {
    vm: VmId,
    state: State,
    clock: Clock,
    driver: Rc<Driver>,
    metrics: Metrics,
    waiting: Waiting<Decision>,
    drained: watch::Sender<bool>,
}

impl Control {
    pub(crate) fn new(me: Identity, driver: Driver, metrics: Metrics) -> Self {
        Self {
            vm: me.vm.clone(),
            state: State::new(me),
            clock: Clock::new(),
            driver: Rc::new(driver),
            metrics,
            waiting: Waiting::default(),
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
            self.carry_out(effect, ctx);
        }
    }

    fn carry_out(&mut self, effect: Effect, ctx: &Context<Self>) {
        match effect {
            Effect::Decide { request, decision } => self.decide(request, decision),
            Effect::Log(record) => {
                self.metrics.record(&record);
                log::info!("{record} vm={}", self.vm);
            }
            Effect::Drained => {
                self.drained.send_replace(true);
            }
            Effect::InForce(revision) => self.metrics.revision(revision),
            effect => {
                let control = ctx.address();
                let sink = Rc::new(move |kind| control.do_send(Input(kind)));
                self.driver.carry_out(effect, sink);
            }
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        let last = !matches!(decision, Decision::Send(_) | Decision::Resume(_));
        // A worker that is gone has told so, or will.
        self.waiting.decide(request, decision, last);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(usize::MAX >> 8);
        ctx.run_interval(TICK, |actor, ctx| {
            actor.apply(Kind::Tick, ctx);
        });
        ctx.run_interval(GAUGES, |actor, _| actor.metrics.counts(&actor.state.counts()));
    }
}

impl Handler<Input> for Control {
    type Result = ();

    fn handle(&mut self, Input(kind): Input, ctx: &mut Self::Context) {
        let ended = match &kind {
            Kind::Request(request::Event::Ended { id, end: request::End::Complete { .. } }) => {
                Some(id.request)
            }
            Kind::Request(request::Event::CallerGone(request)) => Some(*request),
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
        actix::MessageResult(self.state.status())
    }
}

impl Handler<AskCounts> for Control {
    type Result = actix::MessageResult<AskCounts>;

    fn handle(&mut self, _: AskCounts, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.state.counts())
    }
}

impl Handler<AskDocument> for Control {
    type Result = Option<Document>;

    fn handle(&mut self, _: AskDocument, _: &mut Self::Context) -> Self::Result {
        self.state.document().current().cloned()
    }
}

impl Handler<Drain> for Control {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Drain, ctx: &mut Self::Context) -> Self::Result {
        let mut drained = self.drained.subscribe();
        self.apply(Kind::Drain, ctx);
        Box::pin(async move {
            // The sender lives in the actor; if that is gone, so are requests.
            let _ = drained.wait_for(|drained| *drained).await;
        })
    }
}

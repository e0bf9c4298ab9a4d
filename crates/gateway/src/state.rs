//! The whole state of a gateway VM, and the reducer over it.

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_logging::Record;
use briarshift_store::Error;
use briarshift_store::registry::{Call, Reply, Value};
use briarshift_units::{Moment, TargetId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::Heartbeat;
use briarshift_wire::holding::Holdings;

use crate::limit::{DRAIN_FLUSH, DRAIN_RESERVE, DRAIN_SETTLE};
use crate::peer::News;
use crate::request::Leaving;
use crate::status::Status;
use crate::sync::Update;
use crate::{
    Bounds, Context, Effect, Event, Identity, Kind, Output, cache, peer, poison, request, sync,
    target,
};

/// Where a graceful stop stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Drain {
    No,
    Since(Moment),
    /// None is in flight and none is taken any more; the last answers leave.
    Closing(Moment),
    Done,
}

/// All that a gateway VM knows.
#[derive(Debug)]
pub struct State {
    me: Arc<Identity>,
    sync: sync::State,
    targets: target::State,
    peers: peer::State,
    cache: cache::State,
    poison: poison::State,
    requests: request::State,
    drain: Drain,
    ready: bool,
}

impl State {
    /// A VM that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        Self {
            sync: sync::State::new(me.bounds.key_age),
            me: Arc::new(me),
            targets: target::State::default(),
            peers: peer::State::default(),
            cache: cache::State::default(),
            poison: poison::State::default(),
            requests: request::State::default(),
            drain: Drain::No,
            ready: false,
        }
    }

    /// Numbers for gauges and operators.
    pub fn status(&self, now: Moment) -> Status {
        let confirmed = self.sync.fence().confirmed_at();
        Status {
            revision: self.sync.catalog().map(|catalog| catalog.revision()).unwrap_or_default(),
            confirmed_ms_ago: confirmed.map_or(u64::MAX, |at| now.since(at).as_millis()),
            in_flight: self.requests.len(),
            targets: self.targets.ready(now),
            peers: self.peers.alive(),
            ready: self.ready,
            draining: self.drain != Drain::No,
        }
    }

    /// Targets as this VM believes them to be.
    pub fn targets(&self) -> &target::State {
        &self.targets
    }

    /// Applies one event and returns what is to be done, in order.
    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let me = Arc::clone(&self.me);
        let ctx = Context { at: event.at, entropy: event.entropy, me: &me };
        let mut out = Output::default();
        match event.kind {
            Kind::Tick => self.tick(&ctx, &mut out),
            Kind::Request(event) => self.request(&ctx, event, &mut out),
            Kind::Store { call, sent, result } => {
                self.store(&ctx, &call, sent, result, &mut out);
            }
            Kind::Datagram(datagram) => self.peer(&ctx, datagram, &mut out),
            Kind::TargetChecked { target, address, listens } => {
                self.checked(&ctx, &target, address, listens, &mut out);
            }
            Kind::Settings(bounds) => self.settings(&ctx, bounds, &mut out),
            Kind::Drain => self.leave(&ctx, &mut out),
        }
        self.settle(&ctx, &mut out);
        out.effects
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.sync.tick(ctx, &self.peers, out);
        self.targets.tick(ctx, out);
        self.poison.tick(ctx);
        self.cache.tick(ctx.at);
        self.write_holdings(ctx, out);
        if self.peers.is_due(ctx.at) {
            let news = News {
                revision: self.sync.catalog().map(|catalog| catalog.revision()).unwrap_or_default(),
                confirmed: self.sync.fence().confirmed_at(),
                loads: self.targets.loads(),
                troubles: self.targets.troubles(ctx.at),
                placed: self.cache.placed(),
                placements: self.cache.to_tell(ctx.at),
                strikes: self.poison.to_tell(),
            };
            self.peers.beat(ctx, news, out);
            self.targets.silent(self.peers.silent(ctx.at), out);
        }
    }

    /// Writes what engines hold, for VMs that start, if that is this VM's duty.
    fn write_holdings(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if !self.cache.take_turn(ctx.at) {
            return;
        }
        let may_write = self.drain == Drain::No && !self.sync.is_troubled(ctx.at);
        if !may_write || !self.peers.is_first(ctx.me) {
            return;
        }
        match self.cache.holdings(ctx.at).encode() {
            Ok(holdings) => out.push(Effect::Call(Call::WriteHoldings { holdings })),
            Err(err) => out.log(Record::new("holdings_not_written").with("reason", err)),
        }
    }

    /// Takes up what engines hold, as another VM wrote it. One that has sent
    /// prompts itself knows better.
    fn restore(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if !update.whole || !self.cache.is_empty() {
            return;
        }
        for row in &update.rows {
            let Some(Value::Holdings(bytes)) = &row.value else { continue };
            let line = Record::new("holdings").with("version", row.version.0);
            match Holdings::decode(bytes) {
                Ok(holdings) => {
                    let parts = self.cache.restore(&holdings, ctx.at);
                    out.log(line.with("engines", holdings.engines.len()).with("parts", parts));
                }
                Err(err) => out.log(line.with("unusable", err)),
            }
        }
    }

    fn request(&mut self, ctx: &Context<'_>, event: request::Event, out: &mut Output) {
        let leaving = self.leaving(ctx.at);
        let mut view = request::View {
            catalog: self.sync.catalog(),
            fence: self.sync.fence(),
            targets: &mut self.targets,
            peers: &self.peers,
            cache: &mut self.cache,
            poison: &mut self.poison,
            leaving,
        };
        self.requests.apply(ctx, &mut view, event, out);
    }

    fn store(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        if let Some(update) = self.sync.answered(ctx, call, sent, result, out) {
            self.update(ctx, &update, out);
        }
    }

    fn peer(&mut self, ctx: &Context<'_>, datagram: Datagram, out: &mut Output) {
        match datagram {
            Datagram::Heartbeat(beat) => self.beat(ctx, beat, out),
            Datagram::SyncRequest(ask) => {
                if let Some(address) = self.peers.address(&ask.from) {
                    self.sync.asked(ctx, &ask, address, out);
                }
            }
            Datagram::SyncResponse(tell) => {
                if let Some(update) = self.sync.told(ctx, tell, out) {
                    self.update(ctx, &update, out);
                }
            }
        }
    }

    fn update(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        let troubled = self.sync.is_troubled(ctx.at);
        for strike in self.targets.update(ctx, update, troubled, out) {
            self.poison.strike(ctx, strike, out);
        }
        self.peers.update(ctx, update, out);
        self.restore(ctx, update, out);
    }

    fn beat(&mut self, ctx: &Context<'_>, beat: Heartbeat, out: &mut Output) {
        let Some(heard) = self.peers.hear(ctx, beat, out) else { return };
        self.cache.told(&heard.placements, heard.new, ctx.at);
        self.targets.told(&heard.troubles, ctx.at);
        for strike in heard.strikes {
            self.poison.told(ctx, strike, out);
        }
    }

    fn settings(&mut self, ctx: &Context<'_>, bounds: Bounds, out: &mut Output) {
        if ctx.me.bounds == bounds {
            return;
        }
        out.log(
            Record::new("settings").with("key_age", bounds.key_age).with("grace", bounds.grace),
        );
        self.sync.limit(bounds.key_age);
        self.me = Arc::new(Identity { bounds, ..Identity::clone(&self.me) });
    }

    fn checked(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        address: SocketAddr,
        listens: bool,
        out: &mut Output,
    ) {
        let known = self.targets.get(target).map(|entry| entry.target.address);
        if listens || known != Some(address) {
            return;
        }
        out.log(Record::new("target_down").with("target", target).with("address", address));
        out.push(Effect::CloseConnections(address));
        for strike in self.targets.unreachable(target, ctx.at) {
            self.poison.strike(ctx, strike, out);
        }
    }

    fn leave(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if self.drain == Drain::No {
            self.drain = Drain::Since(ctx.at);
            out.log(Record::new("draining").with("in_flight", self.requests.len()));
            self.sync.leave(out);
        }
    }

    /// Says when readiness changes, and when a drain is done.
    fn settle(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let ready = self.drain == Drain::No
            && self.sync.fence().is_fresh(ctx.at)
            && 0 < self.targets.ready(ctx.at);
        if ready != self.ready {
            self.ready = ready;
            out.log(Record::new("ready").with("ready", ready));
            out.push(Effect::SetReady(ready));
        }
        match self.drain {
            Drain::Since(since) => {
                let settled = DRAIN_SETTLE <= ctx.at.since(since) && self.requests.is_empty();
                let late = ctx.me.bounds.grace - DRAIN_RESERVE <= ctx.at.since(since);
                if settled || late {
                    self.drain = Drain::Closing(ctx.at);
                    out.log(Record::new("closing").with("in_flight", self.requests.len()));
                }
            }
            Drain::Closing(since) if DRAIN_FLUSH <= ctx.at.since(since) => {
                self.drain = Drain::Done;
                out.log(Record::new("drained").with("in_flight", self.requests.len()));
                out.push(Effect::Drained);
            }
            _ => {}
        }
    }

    /// What this VM takes while it shuts down.
    fn leaving(&self, now: Moment) -> Leaving {
        match self.drain {
            Drain::No => Leaving::No,
            Drain::Since(since) if now.since(since) < DRAIN_SETTLE => Leaving::No,
            Drain::Since(_) => Leaving::Streams,
            Drain::Closing(_) | Drain::Done => Leaving::All,
        }
    }
}

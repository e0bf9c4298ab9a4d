//! The state of a gateway VM and the reducer over it.

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_logging::Record;
use briarshift_store::registry::{self, Call, Value};
use briarshift_units::{Moment, TargetId, VmId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::Heartbeat;
use briarshift_wire::holding::Holdings;

use crate::peer::Outgoing;
use crate::request::explain::{Answer, Question};
use crate::status::Status;
use crate::sync::Update;
use crate::{
    Bounds, Check, Context, Effect, Event, Identity, Kind, Output, cache, drain, peer, poison,
    request, sync, target,
};

/// The whole state of a gateway VM.
#[derive(Debug)]
pub struct State {
    me: Arc<Identity>,
    sync: sync::State,
    targets: target::State,
    peers: peer::State,
    cache: cache::State,
    poison: poison::State,
    requests: request::State,
    drain: drain::State,
    ready: bool,
}

impl State {
    /// Creates the state of a VM that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        Self {
            sync: sync::State::new(&me.bounds),
            me: Arc::new(me),
            targets: target::State::default(),
            peers: peer::State::default(),
            cache: cache::State::default(),
            poison: poison::State::default(),
            requests: request::State::default(),
            drain: drain::State::default(),
            ready: false,
        }
    }

    /// Returns figures for gauges and operators.
    pub fn status(&self, now: Moment) -> Status {
        let confirmed = self.sync.freshness().confirmed_at();
        Status {
            revision: self.sync.catalog().map(|catalog| catalog.revision()).unwrap_or_default(),
            confirmed_ms_ago: confirmed.map_or(u64::MAX, |at| now.since(at).as_millis()),
            in_flight: self.requests.len(),
            waiting: self.requests.waiting_count(),
            targets: self.targets.ready_count(now),
            peers: self.peers.live_count(),
            ready: self.ready,
            draining: !self.drain.is_running(),
        }
    }

    /// Returns the targets as this VM knows them.
    pub fn targets(&self) -> &target::State {
        &self.targets
    }

    /// Explains where a request would go now. Changes nothing; `entropy` draws between
    /// equally good targets.
    pub fn explain(&mut self, now: Moment, entropy: u64, question: &Question) -> Answer {
        let me = Arc::clone(&self.me);
        let ctx = Context { at: now, entropy, me: &me };
        let (requests, mut view) = self.requests_and_view(&ctx);
        requests.explain(&ctx, &mut view, question)
    }

    /// Applies one event and returns the resulting effects, in order.
    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let me = Arc::clone(&self.me);
        let ctx = Context { at: event.at, entropy: event.entropy, me: &me };
        let mut out = Output::default();
        match event.kind {
            Kind::Tick => self.handle_tick(&ctx, &mut out),
            Kind::Request(event) => self.handle_request(&ctx, event, &mut out),
            Kind::Store { call, sent, answer } => {
                self.handle_store_reply(&ctx, &call, sent, answer, &mut out);
            }
            Kind::Datagram(datagram) => {
                self.handle_datagram(&ctx, datagram, &mut out);
                self.poll_waiting(&ctx, &mut out);
            }
            Kind::TargetChecked { target, address, found } => {
                self.handle_target_check(&ctx, &target, address, found, &mut out);
            }
            Kind::Settings(bounds) => self.handle_settings(&ctx, bounds, &mut out),
            Kind::Drain => self.handle_drain(&ctx, &mut out),
        }
        self.update_lifecycle(&ctx, &mut out);
        out.effects
    }

    fn handle_tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.sync.tick(ctx, &self.peers, out);
        self.targets.tick(ctx, out);
        self.targets.tick_limits(ctx, &self.peers, out);
        self.targets.tick_leaving(ctx, &self.peers, out);
        self.targets.tick_evacuations(ctx, &self.peers, self.sync.rows_complete_at(), out);
        self.targets.tick_cold(ctx, &self.peers, self.sync.read_at(), out);
        self.targets.tick_speeds(ctx, &self.peers, out);
        self.poison.tick(ctx, &self.peers, out);
        self.cache.tick(ctx.at);
        self.hedge_requests(ctx, out);
        self.write_holdings(ctx, out);
        if self.peers.is_report_due(ctx.at) {
            let (loads, placements) = (self.targets.loads(), self.cache.take_unreported());
            let demands = self.requests.demands(ctx.at);
            self.peers.report(ctx, loads, demands, placements, out);
        }
        if self.peers.is_heartbeat_due(ctx.at) {
            let mut placements = self.cache.placements_to_send(ctx.at);
            if self.peers.hears_relay(ctx.at) {
                placements.clear();
            }
            let outgoing = Outgoing {
                revision: self.sync.catalog().map(|catalog| catalog.revision()).unwrap_or_default(),
                read_at: self.sync.read_at(),
                loads: self.targets.loads(),
                failures: self.targets.take_failures(ctx.at),
                prompts_sent: self.cache.prompts_sent(),
                placements,
                crashes: self.poison.crashes_to_send(),
                demands: self.requests.demands(ctx.at),
            };
            self.peers.send_heartbeat(ctx, outgoing, out);
            self.targets.set_silent_data_centres(self.peers.silent_data_centres(ctx.at), out);
        }
        self.poll_waiting(ctx, out);
    }

    /// Writes what engines hold, and what crashes them, for VMs that start, if this VM
    /// writes for the fleet.
    fn write_holdings(&mut self, ctx: &Context<'_>, out: &mut Output) {
        // What is refused is written at once: all VMs may be lost before the next turn. If
        // the VM that writes is lost, another one does so at its next turn.
        let is_due = self.cache.poll_holdings_write(ctx.at) | self.poison.take_unsaved();
        if !is_due {
            return;
        }
        let may_write = self.drain.is_running() && !self.sync.is_store_failing(ctx.at);
        if !may_write || !self.peers.writes_for_fleet(ctx) {
            return;
        }
        let (crashes, blocked) = self.poison.refused(ctx.at);
        match (Holdings { blocked, crashes, ..self.cache.holdings(ctx.at) }).encode() {
            Ok(holdings) => out.call(Call::WriteHoldings { holdings }, "writer"),
            Err(err) => out.log(Record::new("holdings_not_written").with("reason", err)),
        }
    }

    /// Restores what engines hold, and what crashes them, from what a VM wrote to the
    /// store. Does nothing if this VM already knows where prompts went, since that is
    /// newer.
    fn restore_holdings(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if !update.snapshot || !self.cache.is_empty() {
            return;
        }
        for row in &update.rows {
            let Some(Value::Holdings(bytes)) = &row.value else { continue };
            let line = Record::new("holdings").with("version", row.version);
            match Holdings::decode(bytes) {
                Ok(holdings) => {
                    let parts = self.cache.restore(&holdings, ctx.at);
                    for parts in &holdings.blocked {
                        self.poison.block(ctx, parts.clone(), "holdings", out);
                    }
                    self.poison.restore(ctx, &holdings.crashes, out);
                    out.log(line.with("engines", holdings.engines.len()).with("parts", parts));
                }
                Err(err) => out.log(line.with("unusable", err)),
            }
        }
    }

    fn handle_request(&mut self, ctx: &Context<'_>, event: request::Event, out: &mut Output) {
        let (requests, mut view) = self.requests_and_view(ctx);
        requests.apply(ctx, &mut view, event, out);
    }

    /// Sends late requests a second time.
    fn hedge_requests(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let is_draining = !self.drain.is_running();
        let (requests, mut view) = self.requests_and_view(ctx);
        requests.tick_hedges(ctx, &mut view, is_draining, out);
    }

    /// Sends requests that wait for room if there is some, and gives up those that can't be
    /// met.
    fn poll_waiting(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if 0 < self.requests.waiting_count() {
            let (requests, mut view) = self.requests_and_view(ctx);
            requests.poll(ctx, &mut view, out);
        }
    }

    /// Returns the requests, and what the other components know.
    fn requests_and_view(&mut self, ctx: &Context<'_>) -> (&mut request::State, request::View<'_>) {
        let view = request::View {
            catalog: self.sync.catalog(),
            freshness: self.sync.freshness(),
            targets: &mut self.targets,
            peers: &self.peers,
            cache: &mut self.cache,
            poison: &mut self.poison,
            leaving: self.drain.leaving(ctx.me.bounds.grace, ctx.at),
        };
        (&mut self.requests, view)
    }

    fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        answer: registry::Answer,
        out: &mut Output,
    ) {
        if let Some(update) = self.sync.handle_store_reply(ctx, call, sent, answer, out) {
            self.apply_update(ctx, &update, out);
        }
    }

    fn handle_datagram(&mut self, ctx: &Context<'_>, datagram: Datagram, out: &mut Output) {
        match datagram {
            Datagram::Heartbeat(heartbeat) => self.handle_heartbeat(ctx, heartbeat, out),
            Datagram::LoadReport(report) => {
                let placements = self.peers.receive_report(ctx, report);
                self.cache.record_placements(&placements, placements.len() as u64, ctx.at);
                self.targets.record_peer_sends(&placements, ctx.at);
            }
            Datagram::CrashReport(report) => {
                if self.peers.address(&report.from).is_some() {
                    self.poison.receive(ctx, report, out);
                }
            }
            Datagram::LimitReport(report) => {
                if self.peers.address(&report.from).is_some() {
                    let vms = self.peers.fleet_size();
                    self.targets.receive_limits(ctx, report, vms, out);
                }
            }
            Datagram::LeavingReport(report) => {
                if self.peers.address(&report.from).is_some() {
                    self.targets.receive_leaving(ctx, &report, out);
                }
            }
            Datagram::EvacuationReport(report) => {
                if self.peers.address(&report.from).is_some() {
                    self.targets.receive_evacuations(ctx, &report, out);
                }
            }
            Datagram::SpeedReport(report) => {
                if self.peers.address(&report.from).is_some() {
                    self.targets.receive_speeds(ctx, &report);
                }
            }
            Datagram::SyncRequest(request) => {
                if let Some(address) = self.peers.address(&request.from) {
                    self.sync.handle_request(ctx, &request, address, out);
                }
            }
            Datagram::SyncResponse(response) => {
                if let Some(update) = self.sync.handle_response(ctx, response, out) {
                    self.apply_update(ctx, &update, out);
                }
            }
        }
    }

    fn apply_update(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if let Some(catalog) = self.sync.catalog() {
            self.targets.set_slow_starts(catalog);
        }
        for crash in self.targets.update(ctx, update, out) {
            self.poison.record_crash(ctx, crash, out);
        }
        self.peers.update(ctx, update, out);
        self.restore_holdings(ctx, update, out);
        if update.has_returned {
            self.poison.mark_unsaved();
        }
    }

    fn handle_heartbeat(&mut self, ctx: &Context<'_>, heartbeat: Heartbeat, out: &mut Output) {
        let from = heartbeat.from.clone();
        let was_live = self.peers.is_live(&from);
        self.sync.hear_revision(heartbeat.revision);
        let Some(incoming) = self.peers.receive(ctx, heartbeat, out) else { return };
        if !was_live {
            self.send_poison_summary(ctx, &from, out);
        }
        self.cache.record_placements(&incoming.placements, incoming.new_prompts, ctx.at);
        let new = incoming.placements.len().min(incoming.new_prompts as usize);
        self.targets.record_peer_sends(&incoming.placements[..new], ctx.at);
        self.targets.apply_peer_failures(&incoming.failures, ctx.at);
        self.targets.record_peer_losses(ctx, &from, &incoming.failures, out);
        for crash in incoming.crashes {
            self.poison.record_peer_crash(ctx, crash, out);
        }
    }

    /// Tells a VM that has just started what to refuse.
    fn send_poison_summary(&mut self, ctx: &Context<'_>, vm: &VmId, out: &mut Output) {
        if let Some(address) = self.peers.address(vm)
            && let Some(datagram) = self.poison.summary(ctx)
        {
            out.push(Effect::Send { address, datagram });
        }
    }

    fn handle_settings(&mut self, ctx: &Context<'_>, bounds: Bounds, out: &mut Output) {
        if ctx.me.bounds == bounds {
            return;
        }
        out.log(
            Record::new("settings")
                .with("key_age", bounds.key_age)
                .with("change", bounds.change)
                .with("grace", bounds.grace),
        );
        self.sync.set_bounds(&bounds);
        self.me = Arc::new(Identity { bounds, ..Identity::clone(&self.me) });
    }

    fn handle_target_check(
        &mut self,
        ctx: &Context<'_>,
        target: &TargetId,
        address: SocketAddr,
        found: Check,
        out: &mut Output,
    ) {
        let known_address = self.targets.get(target).map(|entry| entry.target.address);
        if found == Check::Listens || known_address != Some(address) {
            return;
        }
        let event = if found == Check::Refuses { "target_down" } else { "target_unreachable" };
        out.log(Record::new(event).with("target", target).with("address", address));
        out.push(Effect::CloseConnections(address));
        self.targets.record_lost(ctx, target, out);
        self.targets.record_unreachable(target, ctx.at);
        // A cut interrupts requests at all targets behind it, which crash under none of them.
        if found == Check::Refuses {
            for crash in self.targets.take_crashes(target, ctx.at) {
                self.poison.record_crash(ctx, crash, out);
            }
        }
    }

    fn handle_drain(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if self.drain.start(ctx.at) {
            out.log(Record::new("draining").with("in_flight", self.requests.len()));
            self.sync.leave(out);
        }
    }

    /// Reports a change of readiness, and moves a shutdown to its next phase.
    fn update_lifecycle(&mut self, ctx: &Context<'_>, out: &mut Output) {
        // While operators evacuate all targets, callers are to get a refusal that says so.
        let ready = self.drain.is_running()
            && self.sync.freshness().is_fresh(ctx.at)
            && (0 < self.targets.ready_count(ctx.at) || self.targets.has_evacuated());
        if ready != self.ready {
            self.ready = ready;
            out.log(Record::new("ready").with("ready", ready));
            out.push(Effect::SetReady(ready));
        }
        if let drain::Step::End(end) = self.drain.advance(ctx, self.requests.len(), out) {
            self.requests.end_all(ctx, out);
            out.push(Effect::Drained { end });
        }
    }
}

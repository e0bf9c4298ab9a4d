//! The whole state of an entry VM, and the reducer over it.

use std::sync::Arc;

use briarshift_units::Moment;
use briarshift_wire::Message;

use crate::status::{self, Counts, Status};
use crate::{
    Context, Effect, Event, Identity, Kind, Output, Scope, Signal, Ticket, booking, cache,
    document, member, order, poison, request, reservation, target, usage,
};

/// All that an entry VM knows.
#[derive(Debug)]
pub struct State {
    me: Arc<Identity>,
    document: document::State,
    members: member::State,
    targets: target::State,
    reservations: reservation::State,
    cache: cache::State,
    requests: request::State,
    bookings: booking::State,
    poison: poison::State,
    orders: order::State,
    usage: usage::State,
    drained: bool,
}

impl State {
    /// A VM that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        Self {
            me: Arc::new(me),
            document: document::State::default(),
            members: member::State::default(),
            targets: target::State::default(),
            reservations: reservation::State::default(),
            cache: cache::State::default(),
            requests: request::State::default(),
            bookings: booking::State::default(),
            poison: poison::State::default(),
            orders: order::State::default(),
            usage: usage::State::default(),
            drained: false,
        }
    }

    /// Proposes peers from the settings, to join through.
    pub fn seed(&mut self, peers: impl IntoIterator<Item = member::Seed>) {
        for peer in peers {
            self.members.seed(peer);
        }
    }

    /// Numbers for gauges.
    pub fn counts(&self) -> Counts {
        Counts {
            revision: self.document.revision(),
            in_flight: self.requests.len(),
            draining: self.requests.is_draining(),
            live_members: self.members.live().count(),
            live_targets: self.targets.all().filter(|target| target.takes_work()).count(),
        }
    }

    /// The whole report for operators.
    pub fn status(&self) -> Status {
        Status {
            vm: self.me.vm.clone(),
            start: self.me.start,
            data_centre: self.me.data_centre.clone(),
            counts: self.counts(),
            members: status::members(&self.members),
            targets: status::targets(&self.targets),
        }
    }

    /// The document in force.
    pub fn document(&self) -> &document::State {
        &self.document
    }

    /// Targets as this VM believes them to be.
    pub fn targets(&self) -> &target::State {
        &self.targets
    }

    /// Entry VMs as this VM believes them to be.
    pub fn members(&self) -> &member::State {
        &self.members
    }

    /// Applies one event and returns what is to be done, in order.
    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let me = Arc::clone(&self.me);
        let ctx = Context { at: event.at, wall: event.wall, entropy: event.entropy, me: &me };
        let mut out = Output::default();
        let revision = self.document.revision();
        self.dispatch(&ctx, event.kind, &mut out);
        if revision != self.document.revision() {
            out.signal(Signal::GossipSoon);
        }
        while !out.signals.is_empty() {
            for signal in std::mem::take(&mut out.signals) {
                self.signal(&ctx, signal, &mut out);
            }
        }
        if self.requests.is_draining() && self.is_settled(ctx.at) && !self.drained {
            self.drained = true;
            out.push(Effect::Drained);
        }
        out.effects
    }

    /// Whether no request and no booking's outcome is under way.
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.bookings.unsettled() == 0
    }

    /// Whether nothing that must last is still to be written either.
    fn is_settled(&self, at: Moment) -> bool {
        self.is_idle() && self.usage.is_flushed(at)
    }

    fn dispatch(&mut self, ctx: &Context<'_>, kind: Kind, out: &mut Output) {
        match kind {
            Kind::Tick => self.tick(ctx, out),
            Kind::Request(event) => self.with_requests(|requests, view| {
                requests.apply(ctx, view, event, out);
            }),
            Kind::Peer { from, message } => match message {
                Message::Gossip(message) => {
                    self.members.handle_gossip(ctx, &from, &message, out);
                    self.targets.handle_gossip(ctx, &message.loads, out);
                    self.document.handle_head(ctx, &self.members, &from, message.document, out);
                }
                Message::Reservation(message) => {
                    self.with_reservations(ctx, out, |reservations, scope| {
                        reservations.handle_message(scope, &from, message);
                    })
                }
                Message::Document(message) => {
                    self.document.handle_message(ctx, &self.members, &from, message, out);
                }
                Message::Poison(message) => self.with_poison(ctx, out, |poison, scope| {
                    poison.handle_message(scope, &from, message);
                }),
            },
            Kind::Store { ticket, result } => match ticket {
                Ticket::Document => self.document.handle_store_reply(ctx, result, out),
                Ticket::Report => self.document.handle_report_reply(&result),
                Ticket::Booking(claim) => self.bookings.store(ctx, claim, result, out),
                Ticket::Order(pool) => self.orders.handle_store_reply(ctx, &pool, &result, out),
                Ticket::Usage => self.usage.handle_store_reply(ctx, &result, out),
            },
            Kind::VmList(Ok(rows)) => {
                self.members.handle_list(ctx, &rows);
                self.targets.handle_list(ctx, &rows, out);
            }
            Kind::VmList(Err(_)) => {}
            Kind::TargetReport { target, result } => {
                self.orders.handle_report(ctx, &target, &result);
                self.targets.handle_report(ctx, &target, result, out);
            }
            Kind::CacheEvents { target, result } => self.cache.handle_events(&target, result, out),
            Kind::OrderAnswered { target, result } => {
                self.orders.handle_outcome(ctx, &target, &result, out);
            }
            Kind::Drain => {
                self.requests.drain();
                self.members.leave(out);
            }
        }
    }

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.document.tick(ctx, &self.members, out);
        self.members.tick(ctx, out);
        self.targets.tick(ctx, &self.members, out);
        self.with_reservations(ctx, out, reservation::State::tick);
        self.with_requests(|requests, view| requests.tick(ctx, view, out));
        self.bookings.tick(ctx, out);
        self.with_poison(ctx, out, poison::State::tick);
        self.cache.tick(ctx, &self.targets, self.reservations.admitted(), out);
        self.order(ctx, out);
        let view = usage::View {
            vms: 1 + self.members.live().count(),
            drained: self.requests.is_draining() && self.is_idle(),
        };
        self.usage.tick(ctx, view, out);
    }

    fn signal(&mut self, ctx: &Context<'_>, signal: Signal, out: &mut Output) {
        match signal {
            Signal::Reserve(ask) => self.with_reservations(ctx, out, |reservations, scope| {
                reservations.reserve(scope, ask)
            }),
            Signal::ReservationDecided(decision) => self.with_requests(|requests, view| {
                requests.placed(ctx, view, decision, out);
            }),
            Signal::Release(id) => self.with_reservations(ctx, out, |reservations, scope| {
                reservations.release(scope, id);
            }),
            Signal::Claim(booking) => self.bookings.claim(ctx, booking, out),
            Signal::ClaimDecided(decision) => self.with_requests(|requests, view| {
                requests.claimed(ctx, view, decision, out);
            }),
            Signal::StoreResponse(id, response) => self.bookings.settle(ctx, id, response, out),
            Signal::LookUpClaim(booking) => self.bookings.look(ctx, booking, out),
            Signal::DropClaim(id) => self.bookings.unclaim(ctx, id, out),
            Signal::SuspectTarget(target) => self.targets.suspect(ctx, &target, out),
            Signal::RecordCrash(fingerprint, target) => {
                self.with_poison(ctx, out, |poison, scope| {
                    poison.strike(scope, fingerprint, &target);
                })
            }
            Signal::ClearCrashes(fingerprint) => self.with_poison(ctx, out, |poison, scope| {
                poison.clear(scope, fingerprint);
            }),
            Signal::CrashRecorded(fingerprint) => self.requests.struck(fingerprint, out),
            Signal::StartTrial(trial) => self.with_poison(ctx, out, |poison, scope| {
                poison.attempt(scope, trial);
            }),
            Signal::TrialDecided(decision) => self.with_requests(|requests, view| {
                requests.tried(view, decision, out);
            }),
            Signal::EndTrial(id) => {
                self.with_poison(ctx, out, |poison, scope| poison.over(scope, id))
            }
            Signal::CancelAttempt(target, id) => {
                if let Some(target) = self.targets.get(&target) {
                    out.push(Effect::Cancel { address: target.address, id });
                }
            }
            Signal::CountUsage(sample) => {
                self.orders.record_demand(ctx, &sample);
                self.usage.record(ctx, &sample);
            }
            Signal::SendGossip(round) => self.round(ctx, round, out),
            Signal::GossipSoon => self.members.schedule_push(),
        }
    }

    /// Fills a message of gossip with what each concern has to tell.
    fn round(&mut self, ctx: &Context<'_>, round: member::Envelope, out: &mut Output) {
        let (mut message, mut budget) = self.members.begin_message(ctx, &round);
        message.document = self.document.current_head();
        self.targets.fill(ctx, round.purpose, &mut message, &mut budget);
        self.members.finish_message(ctx, round.purpose, &mut message, &mut budget);
        let member::Envelope { to, address, .. } = round;
        out.push(Effect::Send { to, address, message: Message::Gossip(message) });
    }

    fn with_requests(&mut self, apply: impl FnOnce(&mut request::State, request::View<'_>)) {
        let view = request::View {
            document: self.document.current(),
            targets: &self.targets,
            poison: &self.poison,
        };
        apply(&mut self.requests, view);
    }

    fn order(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let view = order::View {
            targets: &self.targets,
            members: &self.members,
            document: self.document.current(),
            draining: self.requests.is_draining(),
        };
        self.orders.tick(ctx, view, out);
    }

    fn with_poison(
        &mut self,
        ctx: &Context<'_>,
        out: &mut Output,
        apply: impl FnOnce(&mut poison::State, &mut poison::Scope<'_>),
    ) {
        let view = poison::View { targets: &self.targets, members: &self.members };
        apply(&mut self.poison, &mut Scope { ctx, view, out });
    }

    fn with_reservations(
        &mut self,
        ctx: &Context<'_>,
        out: &mut Output,
        apply: impl FnOnce(&mut reservation::State, &mut reservation::Scope<'_>),
    ) {
        let Some(document) = self.document.current() else { return };
        let view = reservation::View {
            targets: &self.targets,
            members: &self.members,
            document,
            cache: &self.cache,
        };
        apply(&mut self.reservations, &mut Scope { ctx, view, out });
    }
}

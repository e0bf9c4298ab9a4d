//! The other VMs of the fleet.
//!
//! Every VM sends its whole state of loads to every other in one datagram,
//! less often the more there are. Whether a peer is alive is judged by its
//! beats alone; the store only says where it listens.

mod load;
mod order;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_store::registry::{Member, Name, Value};
use briarshift_units::{DataCentre, Moment, Revision, Span, StartNumber, VmId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Crash, Failure, Heartbeat, Load, Placement};

use crate::limit::{
    DATA_CENTRE_TIMEOUT, HEARTBEAT_INTERVAL_PER_PEER, MAX_DELEGATE_AGE, MAX_MISSED_HEARTBEATS,
    MIN_HEARTBEAT_INTERVAL,
};
use crate::sync::Update;
use crate::{Context, Effect, Identity, Output};

pub use load::Loads;
pub use order::Order;

/// What a beat says beside who sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// The configuration in force here.
    pub revision: Revision,
    /// When that was last the newest.
    pub confirmed: Option<Moment>,
    /// Where this VM has requests.
    pub loads: Vec<Load>,
    /// Targets that failed.
    pub troubles: Vec<Failure>,
    /// Prompts sent so far.
    pub placed: u64,
    /// Where the newest of them went.
    pub placements: Vec<Placement>,
    /// Strikes to tell.
    pub strikes: Vec<Crash>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    known: Option<Known>,
    alive: bool,
}

impl Peer {
    /// What it has at targets, as far as that counts.
    fn loads(&self) -> &[Load] {
        let known = self.known.as_ref().filter(|_| self.alive);
        known.map_or(&[], |known| &known.loads)
    }
}

/// What a peer's last beat said of itself.
#[derive(Debug)]
struct Known {
    heard: Moment,
    start: StartNumber,
    sequence: u64,
    age: Option<Span>,
    placed: u64,
    loads: Vec<Load>,
}

/// What a beat says to the other concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// Prompts that the sender has placed since its beat before.
    pub new: u64,
    /// Where its newest prompts went.
    pub placements: Vec<Placement>,
    /// Targets that failed it.
    pub troubles: Vec<Failure>,
    /// Its newest strikes.
    pub strikes: Vec<Crash>,
}

/// All peers.
#[derive(Debug, Default)]
pub struct State {
    peers: BTreeMap<VmId, Peer>,
    /// What the peers that are heard have.
    loads: Loads,
    sequence: u64,
    next: Moment,
    /// The last beat, for peers that are heard for the first time.
    last: Option<Heartbeat>,
}

impl State {
    /// VMs of the fleet, this one included.
    pub fn vms(&self) -> usize {
        self.peers.len() + 1
    }

    /// Peers that are heard.
    pub fn alive(&self) -> usize {
        self.peers.values().filter(|peer| peer.alive).count()
    }

    /// Whether every peer is heard.
    pub fn is_complete(&self) -> bool {
        self.peers.values().all(|peer| peer.alive)
    }

    /// Takes in rows from the store.
    pub fn update(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if update.whole {
            let named =
                |vm: &VmId| update.rows.iter().any(|row| row.name == Name::Member(vm.clone()));
            // A peer that is heard stays, whatever the store has lost.
            self.peers.retain(|vm, peer| peer.alive || named(vm));
        }
        for row in &update.rows {
            let Name::Member(vm) = &row.name else { continue };
            match &row.value {
                Some(Value::Member(member)) if *vm != ctx.me.vm => self.put(vm, member, out),
                None => {
                    if self.peers.get(vm).is_some_and(|peer| !peer.alive) {
                        out.log(Record::new("peer_gone").with("peer", vm));
                        self.peers.remove(vm);
                    }
                }
                Some(_) => {}
            }
        }
        // A VM that hears nobody lets itself be heard at once.
        if !self.peers.values().any(|peer| peer.alive) {
            self.next = self.next.min(ctx.at);
        }
    }

    fn put(&mut self, vm: &VmId, member: &Member, out: &mut Output) {
        if self.peers.get(vm).is_some_and(|peer| member.start <= peer.member.start) {
            return;
        }
        out.log(Record::new("peer").with("peer", vm).with("address", member.address));
        let peer = Peer { member: member.clone(), known: None, alive: false };
        if let Some(before) = self.peers.insert(vm.clone(), peer) {
            self.loads.remove(before.loads());
        }
    }

    /// Takes in a beat, if it is newer than what is known, and returns what it
    /// says to the other concerns.
    pub fn hear(&mut self, ctx: &Context<'_>, beat: Heartbeat, out: &mut Output) -> Option<Heard> {
        let Heartbeat {
            from,
            start,
            sequence,
            revision_age: age,
            loads,
            failures: troubles,
            prompts_sent: placed,
            placements,
            crashes: strikes,
            ..
        } = beat;
        let peer = self.peers.get_mut(&from)?;
        let known = peer.known.as_ref();
        if known.is_some_and(|known| (start, sequence) <= (known.start, known.sequence)) {
            return None;
        }
        let before = known.filter(|known| known.start == start).map_or(0, |known| known.placed);
        if !peer.alive {
            out.log(Record::new("peer_heard").with("peer", &from));
            if let Some(last) = &self.last {
                let (address, datagram) = (peer.member.address, Datagram::Heartbeat(last.clone()));
                out.push(Effect::Send { address, datagram });
            }
        }
        self.loads.remove(peer.loads());
        self.loads.add(&loads);
        peer.alive = true;
        peer.known = Some(Known { heard: ctx.at, start, sequence, age, placed, loads });
        let new = placed.saturating_sub(before);
        Some(Heard { new, placements, troubles, strikes })
    }

    /// Whether a beat is due.
    pub fn is_due(&self, now: Moment) -> bool {
        self.next <= now
    }

    /// Sends a beat to all peers, and notices those that fell silent.
    pub fn beat(&mut self, ctx: &Context<'_>, news: News, out: &mut Output) {
        let pause = self.pause();
        self.next = ctx.at + pause;
        self.sequence += 1;
        let beat = Heartbeat {
            from: ctx.me.vm.clone(),
            start: ctx.me.start,
            sequence: self.sequence,
            revision: news.revision,
            revision_age: news.confirmed.map(|at| ctx.at.since(at)),
            loads: news.loads,
            failures: news.troubles,
            prompts_sent: news.placed,
            placements: news.placements,
            crashes: news.strikes,
        };
        let addresses = self.peers.values().map(|peer| peer.member.address).collect();
        self.last = Some(beat.clone());
        out.push(Effect::Broadcast { addresses, datagram: Datagram::Heartbeat(beat) });
        self.notice(ctx, Span(pause.0 * MAX_MISSED_HEARTBEATS), out);
    }

    /// Notices the peers that were not heard for so long.
    fn notice(&mut self, ctx: &Context<'_>, silent: Span, out: &mut Output) {
        for (vm, peer) in &mut self.peers {
            let heard = peer.known.as_ref().map(|known| known.heard);
            if peer.alive && heard.is_none_or(|at| silent <= ctx.at.since(at)) {
                self.loads.remove(peer.loads());
                peer.alive = false;
                out.log(Record::new("peer_silent").with("peer", vm).with("after", silent));
            }
        }
    }

    /// Data centres with VMs none of which is heard, and since when.
    pub fn silent(&self, now: Moment) -> BTreeMap<DataCentre, Moment> {
        let mut heard: BTreeMap<&DataCentre, Moment> = BTreeMap::new();
        for peer in self.peers.values() {
            let Some(known) = &peer.known else { continue };
            let last = heard.entry(&peer.member.data_centre).or_default();
            *last = known.heard.max(*last);
        }
        let silent = heard.into_iter().filter(|(_, at)| DATA_CENTRE_TIMEOUT <= now.since(*at));
        silent.map(|(centre, at)| (centre.clone(), at)).collect()
    }

    /// Where a VM listens.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.member.address)
    }

    /// The VMs of this data centre that are heard, and this one, in the order in
    /// which they read the store for the others.
    pub fn order(&self, me: &Identity) -> Order {
        self.order_of(me, |member| member.data_centre == me.data_centre)
    }

    /// Whether this VM writes for the whole fleet: it comes first of all that are
    /// heard. VMs that are cut off from each other may all think so.
    pub fn is_first(&self, me: &Identity) -> bool {
        self.order_of(me, |_| true).is_first()
    }

    fn order_of(&self, me: &Identity, is_wanted: impl Fn(&Member) -> bool) -> Order {
        let alive = self.peers.values().filter(|peer| peer.alive);
        let peers = alive.map(|peer| &peer.member).filter(|member| is_wanted(member));
        let peers = peers.map(|member| (member.vm.clone(), member.link));
        Order::new(&me.vm, peers.chain([(me.vm.clone(), me.link)]).collect())
    }

    /// The peer of any data centre with the youngest news of the store, if that
    /// is as young as a delegate's should be.
    pub fn freshest(&self, now: Moment) -> Option<(VmId, SocketAddr)> {
        let age = |peer: &Peer| -> Option<Span> {
            let known = peer.known.as_ref()?;
            Some(known.age? + now.since(known.heard))
        };
        let alive = self.peers.values().filter(|peer| peer.alive);
        let known = alive.filter_map(|peer| Some((age(peer)?, &peer.member)));
        let (_, member) =
            known.filter(|(age, _)| *age <= MAX_DELEGATE_AGE).min_by_key(|(age, _)| *age)?;
        Some((member.vm.clone(), member.address))
    }

    /// What all peers that are heard have at targets.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    fn pause(&self) -> Span {
        MIN_HEARTBEAT_INTERVAL.max(Span(HEARTBEAT_INTERVAL_PER_PEER.0 * self.peers.len() as u64))
    }
}

//! The other VMs of the fleet.
//!
//! Each VM sends all its loads to every other VM in one datagram, the
//! heartbeat; the larger the fleet, the longer the interval. Only heartbeats
//! decide whether a peer is live; the store just provides its address. In a
//! large fleet, relays spread the loads faster than heartbeats do (see
//! [`relay`]).

mod demand;
mod load;
mod news;
mod ranking;
mod relay;
mod report;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_store::registry::{Member, Name, Value};
use briarshift_units::{DataCentre, Moment, Revision, Span, StartNumber, VmId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::demand::Demand;
use briarshift_wire::heartbeat::{Crash, Failure, Heartbeat, Load, Placement};

use crate::limit::{
    DATA_CENTRE_TIMEOUT, HEARTBEAT_INTERVAL_PER_PEER, MAX_MISSED_HEARTBEATS,
    MIN_HEARTBEAT_INTERVAL, MISSED_DATA_CENTRE_HEARTBEATS, NEW_PEER_TTL, RELAY_INTERVAL,
};
use crate::sync::Update;
use crate::{Context, Effect, Identity, Output};

pub use demand::Demands;
pub(crate) use demand::largest as largest_demands;
pub use load::Loads;
pub(crate) use news::News;
pub use ranking::Ranking;

/// Content of a heartbeat, apart from its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Revision of the configuration in force on this VM.
    pub revision: Revision,
    /// When the operators' rows were last known to be the newest.
    pub read_at: Option<Moment>,
    /// This VM's loads at targets.
    pub loads: Vec<Load>,
    /// Targets that failed since the last heartbeat.
    pub failures: Vec<Failure>,
    /// Prompts that this VM has sent since its start.
    pub prompts_sent: u64,
    /// Where the newest of these prompts went.
    pub placements: Vec<Placement>,
    /// Crashes to report.
    pub crashes: Vec<Crash>,
    /// Demands of client accounts on pools that are short of room.
    pub demands: Vec<Demand>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    latest: Option<Latest>,
    /// Start number and sequence of the last load report.
    last_report: Option<(StartNumber, u64)>,
    live: bool,
    /// When this VM learned of the peer's process.
    known_at: Moment,
}

impl Peer {
    /// Returns true if the peer counts in rankings: it is live, or has just
    /// registered.
    fn is_ranked(&self, now: Moment) -> bool {
        let is_new = self.latest.is_none() && now.since(self.known_at) < NEW_PEER_TTL;
        self.live || is_new
    }

    fn is_in(&self, data_centre: &DataCentre) -> bool {
        self.member.data_centre == *data_centre
    }

    /// Returns the peer's loads, or none if it is silent.
    fn loads(&self) -> &[Load] {
        let latest = self.latest.as_ref().filter(|_| self.live);
        latest.map_or(&[], |latest| &latest.loads)
    }

    /// Returns the demands of accounts by way of the peer, or none if it is silent.
    fn demands(&self) -> &[Demand] {
        let latest = self.latest.as_ref().filter(|_| self.live);
        latest.map_or(&[], |latest| &latest.demands)
    }
}

/// What a peer's latest heartbeat reported.
#[derive(Debug)]
struct Latest {
    received_at: Moment,
    start: StartNumber,
    sequence: u64,
    revision_age: Option<Span>,
    prompts_sent: u64,
    loads: Vec<Load>,
    demands: Vec<Demand>,
}

/// Content of a received heartbeat that the other components handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// Number of prompts that the sender has sent since its previous heartbeat.
    pub new_prompts: u64,
    /// Where the sender's newest prompts went.
    pub placements: Vec<Placement>,
    /// Targets that failed the sender's requests.
    pub failures: Vec<Failure>,
    /// The sender's newest crashes.
    pub crashes: Vec<Crash>,
}

/// All peers.
#[derive(Debug, Default)]
pub struct State {
    peers: BTreeMap<VmId, Peer>,
    /// Sum of the loads of live peers.
    loads: Loads,
    /// Sum of the demands that live peers report.
    demands: Demands,
    relay: relay::State,
    sequence: u64,
    next_heartbeat_at: Moment,
    /// The latest heartbeat of this VM, to be sent to peers that become live.
    last_heartbeat: Option<Heartbeat>,
}

impl State {
    /// Returns the number of VMs in the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of live peers.
    pub fn live_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.live).count()
    }

    /// Returns true if all peers are live.
    pub fn are_all_live(&self) -> bool {
        self.peers.values().all(|peer| peer.live)
    }

    /// Applies rows from the store.
    pub fn update(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if update.snapshot {
            let is_listed =
                |vm: &VmId| update.rows.iter().any(|row| row.name == Name::Member(vm.clone()));
            // A live peer is kept, even if the store has lost its registration.
            self.peers.retain(|vm, peer| peer.live || is_listed(vm));
        }
        for row in &update.rows {
            let Name::Member(vm) = &row.name else { continue };
            match &row.value {
                Some(Value::Member(member)) if *vm != ctx.me.vm => {
                    self.upsert(ctx, vm, member, out);
                }
                None => {
                    if self.peers.get(vm).is_some_and(|peer| !peer.live) {
                        out.log(Record::new("peer_gone").with("peer", vm));
                        self.peers.remove(vm);
                    }
                }
                Some(_) => {}
            }
        }
        // Without live peers, this VM sends a heartbeat at once, so that the
        // others learn of it.
        if !self.peers.values().any(|peer| peer.live) {
            self.next_heartbeat_at = self.next_heartbeat_at.min(ctx.at);
        }
    }

    fn upsert(&mut self, ctx: &Context<'_>, vm: &VmId, member: &Member, out: &mut Output) {
        if self.peers.get(vm).is_some_and(|peer| member.start <= peer.member.start) {
            return;
        }
        out.log(Record::new("peer").with("peer", vm).with("address", member.address));
        let (member, known_at) = (member.clone(), ctx.at);
        let peer = Peer { member, latest: None, last_report: None, live: false, known_at };
        if let Some(previous) = self.peers.insert(vm.clone(), peer) {
            self.loads.remove(previous.loads());
            self.demands.remove(previous.demands());
        }
    }

    /// Applies a heartbeat if it is newer than the sender's latest one. Returns
    /// the content for the other components.
    pub fn receive(
        &mut self,
        ctx: &Context<'_>,
        heartbeat: Heartbeat,
        out: &mut Output,
    ) -> Option<Incoming> {
        let Heartbeat {
            from,
            start,
            sequence,
            revision_age,
            loads,
            failures,
            prompts_sent,
            placements,
            crashes,
            demands,
            ..
        } = heartbeat;
        let peer = self.peers.get_mut(&from)?;
        let latest = peer.latest.as_ref();
        if latest.is_some_and(|latest| (start, sequence) <= (latest.start, latest.sequence)) {
            return None;
        }
        let previous =
            latest.filter(|latest| latest.start == start).map_or(0, |latest| latest.prompts_sent);
        if !peer.live {
            out.log(Record::new("peer_heard").with("peer", &from));
            if let Some(last) = &self.last_heartbeat {
                let (address, datagram) = (peer.member.address, Datagram::Heartbeat(last.clone()));
                out.push(Effect::Send { address, datagram });
            }
        }
        self.loads.remove(peer.loads());
        self.loads.add(&loads);
        self.demands.remove(peer.demands());
        self.demands.add(&demands);
        peer.live = true;
        peer.latest = Some(Latest {
            received_at: ctx.at,
            start,
            sequence,
            revision_age,
            prompts_sent,
            loads,
            demands,
        });
        let new_prompts = prompts_sent.saturating_sub(previous);
        Some(Incoming { new_prompts, placements, failures, crashes })
    }

    /// Returns true if a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: Moment) -> bool {
        self.next_heartbeat_at <= now
    }

    /// Sends a heartbeat to all peers, and marks peers as silent.
    pub fn send_heartbeat(&mut self, ctx: &Context<'_>, outgoing: Outgoing, out: &mut Output) {
        let interval = self.heartbeat_interval();
        // VMs that start together spread their second heartbeats over the interval.
        let delay = match self.sequence {
            0 => Span(ctx.entropy % interval.0),
            _ => jitter(interval, ctx.entropy),
        };
        self.next_heartbeat_at = ctx.at + delay;
        self.sequence += 1;
        let heartbeat = Heartbeat {
            from: ctx.me.vm.clone(),
            start: ctx.me.start,
            sequence: self.sequence,
            revision: outgoing.revision,
            revision_age: outgoing.read_at.map(|at| ctx.at.since(at)),
            loads: outgoing.loads,
            failures: outgoing.failures,
            prompts_sent: outgoing.prompts_sent,
            placements: outgoing.placements,
            crashes: outgoing.crashes,
            demands: outgoing.demands,
        };
        let addresses = self.addresses();
        self.last_heartbeat = Some(heartbeat.clone());
        out.push(Effect::Broadcast { addresses, datagram: Datagram::Heartbeat(heartbeat) });
        self.mark_silent(ctx, Span(interval.0 * MAX_MISSED_HEARTBEATS), out);
    }

    /// Marks the peers as silent whose latest heartbeat is older than
    /// `timeout`.
    fn mark_silent(&mut self, ctx: &Context<'_>, timeout: Span, out: &mut Output) {
        for (vm, peer) in &mut self.peers {
            let received_at = peer.latest.as_ref().map(|latest| latest.received_at);
            if peer.live && received_at.is_none_or(|at| timeout <= ctx.at.since(at)) {
                self.loads.remove(peer.loads());
                self.demands.remove(peer.demands());
                peer.live = false;
                out.log(Record::new("peer_silent").with("peer", vm).with("after", timeout));
            }
        }
    }

    /// Returns the data centres from which no heartbeat has arrived for
    /// [`DATA_CENTRE_TIMEOUT`], or for [`MISSED_DATA_CENTRE_HEARTBEATS`] of a
    /// small one in a large fleet, each with the time of the last one. Data
    /// centres that never sent a heartbeat are not included.
    pub fn silent_data_centres(&self, now: Moment) -> BTreeMap<DataCentre, Moment> {
        let mut last_received: BTreeMap<&DataCentre, (Moment, u64)> = BTreeMap::new();
        for peer in self.peers.values() {
            let Some(latest) = &peer.latest else { continue };
            let (last, vms) = last_received.entry(&peer.member.data_centre).or_default();
            *last = latest.received_at.max(*last);
            *vms += 1;
        }
        let missed = self.heartbeat_interval().0 * MISSED_DATA_CENTRE_HEARTBEATS;
        let timeout = |vms: u64| DATA_CENTRE_TIMEOUT.max(Span(missed / vms.max(1)));
        let silent =
            last_received.into_iter().filter(|(_, (at, vms))| timeout(*vms) <= now.since(*at));
        silent.map(|(data_centre, (at, _))| (data_centre.clone(), at)).collect()
    }

    /// Returns the ids of all peers.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.peers.keys()
    }

    /// Returns the addresses of all peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.member.address).collect()
    }

    /// Returns true if heartbeats of a peer arrive.
    pub fn is_live(&self, vm: &VmId) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.live)
    }

    /// Returns the address of a peer.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.member.address)
    }

    /// Ranks this VM and the live peers of its data centre as readers of the
    /// store.
    pub fn rank_data_centre(&self, ctx: &Context<'_>) -> Ranking {
        self.rank(ctx, |member| member.data_centre == ctx.me.data_centre)
    }

    /// Ranks this VM and the live peers of all data centres from which heartbeats
    /// arrive as readers of the store. A data centre that is cut off has readers
    /// of its own.
    pub fn rank_reachable(&self, ctx: &Context<'_>) -> Ranking {
        let silent = self.silent_data_centres(ctx.at);
        self.rank(ctx, |member| !silent.contains_key(&member.data_centre))
    }

    /// Returns true if this VM writes for the whole fleet, which is true of the
    /// first in the ranking of all live VMs. VMs that are cut off from each
    /// other may each be first.
    pub fn writes_for_fleet(&self, ctx: &Context<'_>) -> bool {
        self.rank(ctx, |_| true).is_first()
    }

    fn rank(&self, ctx: &Context<'_>, filter: impl Fn(&Member) -> bool) -> Ranking {
        let me = ctx.me;
        let ranked = self.peers.values().filter(|peer| peer.is_ranked(ctx.at));
        let peers = ranked.map(|peer| &peer.member).filter(|member| filter(member));
        let peers = peers.map(|member| (member.vm.clone(), member.link));
        Ranking::new(&me.vm, peers.chain([(me.vm.clone(), me.link)]).collect())
    }

    /// Returns the peer of any data centre whose rows of operators were known to be the
    /// newest last, if that is at most `max_age` ago.
    pub fn freshest(&self, now: Moment, max_age: Span) -> Option<(VmId, SocketAddr)> {
        let age = |peer: &Peer| -> Option<Span> {
            let latest = peer.latest.as_ref()?;
            Some(latest.revision_age? + now.since(latest.received_at))
        };
        let live = self.peers.values().filter(|peer| peer.live);
        let ages = live.filter_map(|peer| Some((age(peer)?, &peer.member)));
        let (_, member) = ages.filter(|(age, _)| *age <= max_age).min_by_key(|(age, _)| *age)?;
        Some((member.vm.clone(), member.address))
    }

    /// Returns the sum of the loads of live peers: the recent one of a relay, or
    /// else that of their latest heartbeats.
    pub fn loads(&self, now: Moment) -> &Loads {
        self.relay.fleet(now).unwrap_or(&self.loads)
    }

    /// Returns the demands of client accounts by way of all other VMs: those that a relay
    /// recently summed up, or else those of the latest heartbeats of live peers.
    pub fn demands(&self, now: Moment) -> &Demands {
        self.relay.fleet_demands(now).unwrap_or(&self.demands)
    }

    /// Returns true if heartbeats are so far apart that relays spread the loads.
    pub fn uses_relays(&self) -> bool {
        Span(RELAY_INTERVAL.0 * 2) < self.heartbeat_interval()
    }

    /// Returns the fraction of the live VMs, including this one, that are in
    /// this VM's data centre.
    pub fn data_centre_share(&self, me: &Identity) -> f64 {
        let live = self.peers.values().filter(|peer| peer.live);
        let here = live.clone().filter(|peer| peer.is_in(&me.data_centre)).count();
        (here + 1) as f64 / (live.count() + 1) as f64
    }

    fn heartbeat_interval(&self) -> Span {
        MIN_HEARTBEAT_INTERVAL.max(Span(HEARTBEAT_INTERVAL_PER_PEER.0 * self.peers.len() as u64))
    }
}

/// Returns the interval changed by up to a quarter at random, so that VMs that
/// started together do not send their heartbeats together for ever.
fn jitter(interval: Span, entropy: u64) -> Span {
    Span(interval.0 * 3 / 4 + entropy % (interval.0 / 2).max(1))
}

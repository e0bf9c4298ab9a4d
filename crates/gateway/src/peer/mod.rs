//! The other VMs of the fleet.
//!
//! Every VM sends its whole state of loads to every other in one datagram,
//! less often the more there are. Whether a peer is live is judged by its
//! beats alone; the store only says where it listens.

mod load;
mod ranking;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_store::registry::{Member, Name, Value};
use briarshift_units::{DataCentre, Moment, Revision, Span, Start, VmId};
use briarshift_wire::beat::{Beat, Load, Placement, Strike, Trouble};
use briarshift_wire::datagram::Datagram;

use crate::limit::{
    DATA_CENTRE_TIMEOUT, HEARTBEAT_INTERVAL_PER_PEER, MAX_DELEGATE_AGE, MAX_MISSED_HEARTBEATS,
    MIN_HEARTBEAT_INTERVAL,
};
use crate::sync::Update;
use crate::{Context, Effect, Identity, Output};

pub use load::Loads;
pub use ranking::Ranking;

/// What a beat says beside who sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The configuration in force here.
    pub revision: Revision,
    /// When that was last the newest.
    pub confirmed: Option<Moment>,
    /// Where this VM has requests.
    pub loads: Vec<Load>,
    /// Targets that failed.
    pub troubles: Vec<Trouble>,
    /// Prompts sent so far.
    pub prompts_sent: u64,
    /// Where the newest of them went.
    pub placements: Vec<Placement>,
    /// Strikes to tell.
    pub strikes: Vec<Strike>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    latest: Option<Latest>,
    live: bool,
}

impl Peer {
    /// What it has at targets, as far as that counts.
    fn loads(&self) -> &[Load] {
        let latest = self.latest.as_ref().filter(|_| self.live);
        latest.map_or(&[], |latest| &latest.loads)
    }
}

/// What a peer's last beat said of itself.
#[derive(Debug)]
struct Latest {
    received_at: Moment,
    start: Start,
    sequence: u64,
    config_age: Option<Span>,
    prompts_sent: u64,
    loads: Vec<Load>,
}

/// What a beat says to the other concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// Prompts that the sender has placed since its beat before.
    pub new_prompts: u64,
    /// Where its newest prompts went.
    pub placements: Vec<Placement>,
    /// Targets that failed it.
    pub troubles: Vec<Trouble>,
    /// Its newest strikes.
    pub strikes: Vec<Strike>,
}

/// All peers.
#[derive(Debug, Default)]
pub struct State {
    peers: BTreeMap<VmId, Peer>,
    /// What the peers that are heard have.
    loads: Loads,
    sequence: u64,
    next_heartbeat_at: Moment,
    /// The last beat, for peers that are heard for the first time.
    last_heartbeat: Option<Beat>,
}

impl State {
    /// VMs of the fleet, this one included.
    pub fn fleet_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Peers that are heard.
    pub fn live_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.live).count()
    }

    /// Whether every peer is heard.
    pub fn are_all_live(&self) -> bool {
        self.peers.values().all(|peer| peer.live)
    }

    /// Takes in rows from the store.
    pub fn update(&mut self, ctx: &Context<'_>, update: &Update, out: &mut Output) {
        if update.snapshot {
            let named =
                |vm: &VmId| update.rows.iter().any(|row| row.name == Name::Member(vm.clone()));
            // A peer that is heard stays, whatever the store has lost.
            self.peers.retain(|vm, peer| peer.live || named(vm));
        }
        for row in &update.rows {
            let Name::Member(vm) = &row.name else { continue };
            match &row.value {
                Some(Value::Member(member)) if *vm != ctx.me.vm => self.upsert(vm, member, out),
                None => {
                    if self.peers.get(vm).is_some_and(|peer| !peer.live) {
                        out.log(Record::new("peer_gone").with("peer", vm));
                        self.peers.remove(vm);
                    }
                }
                Some(_) => {}
            }
        }
        // A VM that hears nobody lets itself be heard at once.
        if !self.peers.values().any(|peer| peer.live) {
            self.next_heartbeat_at = self.next_heartbeat_at.min(ctx.at);
        }
    }

    fn upsert(&mut self, vm: &VmId, member: &Member, out: &mut Output) {
        if self.peers.get(vm).is_some_and(|peer| member.start <= peer.member.start) {
            return;
        }
        out.log(Record::new("peer").with("peer", vm).with("address", member.address));
        let peer = Peer { member: member.clone(), latest: None, live: false };
        if let Some(before) = self.peers.insert(vm.clone(), peer) {
            self.loads.remove(before.loads());
        }
    }

    /// Takes in a beat, if it is newer than what is known, and returns what it
    /// says to the other concerns.
    pub fn receive(&mut self, ctx: &Context<'_>, beat: Beat, out: &mut Output) -> Option<Incoming> {
        let Beat {
            from, start, sequence, age, loads, troubles, placed, placements, strikes, ..
        } = beat;
        let peer = self.peers.get_mut(&from)?;
        let latest = peer.latest.as_ref();
        if latest.is_some_and(|latest| (start, sequence) <= (latest.start, latest.sequence)) {
            return None;
        }
        let before =
            latest.filter(|latest| latest.start == start).map_or(0, |latest| latest.prompts_sent);
        if !peer.live {
            out.log(Record::new("peer_heard").with("peer", &from));
            if let Some(last) = &self.last_heartbeat {
                let (address, datagram) = (peer.member.address, Datagram::Beat(last.clone()));
                out.push(Effect::Send { address, datagram });
            }
        }
        self.loads.remove(peer.loads());
        self.loads.add(&loads);
        peer.live = true;
        peer.latest = Some(Latest {
            received_at: ctx.at,
            start,
            sequence,
            config_age: age,
            prompts_sent: placed,
            loads,
        });
        let new_prompts = placed.saturating_sub(before);
        Some(Incoming { new_prompts, placements, troubles, strikes })
    }

    /// Whether a beat is due.
    pub fn is_heartbeat_due(&self, now: Moment) -> bool {
        self.next_heartbeat_at <= now
    }

    /// Sends a beat to all peers, and notices those that fell silent.
    pub fn send_heartbeat(&mut self, ctx: &Context<'_>, outgoing: Outgoing, out: &mut Output) {
        let interval = self.heartbeat_interval();
        self.next_heartbeat_at = ctx.at + interval;
        self.sequence += 1;
        let beat = Beat {
            from: ctx.me.vm.clone(),
            start: ctx.me.start,
            sequence: self.sequence,
            revision: outgoing.revision,
            age: outgoing.confirmed.map(|at| ctx.at.since(at)),
            loads: outgoing.loads,
            troubles: outgoing.troubles,
            placed: outgoing.prompts_sent,
            placements: outgoing.placements,
            strikes: outgoing.strikes,
        };
        let addresses = self.peers.values().map(|peer| peer.member.address).collect();
        self.last_heartbeat = Some(beat.clone());
        out.push(Effect::Broadcast { addresses, datagram: Datagram::Beat(beat) });
        self.mark_silent(ctx, Span(interval.0 * MAX_MISSED_HEARTBEATS), out);
    }

    /// Notices the peers that were not heard for so long.
    fn mark_silent(&mut self, ctx: &Context<'_>, timeout: Span, out: &mut Output) {
        for (vm, peer) in &mut self.peers {
            let received_at = peer.latest.as_ref().map(|latest| latest.received_at);
            if peer.live && received_at.is_none_or(|at| timeout <= ctx.at.since(at)) {
                self.loads.remove(peer.loads());
                peer.live = false;
                out.log(Record::new("peer_silent").with("peer", vm).with("after", timeout));
            }
        }
    }

    /// Data centres with VMs none of which is heard, and since when.
    pub fn silent_data_centres(&self, now: Moment) -> BTreeMap<DataCentre, Moment> {
        let mut last_received: BTreeMap<&DataCentre, Moment> = BTreeMap::new();
        for peer in self.peers.values() {
            let Some(latest) = &peer.latest else { continue };
            let last = last_received.entry(&peer.member.data_centre).or_default();
            *last = latest.received_at.max(*last);
        }
        let silent =
            last_received.into_iter().filter(|(_, at)| DATA_CENTRE_TIMEOUT <= now.since(*at));
        silent.map(|(centre, at)| (centre.clone(), at)).collect()
    }

    /// Where a VM listens.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.member.address)
    }

    /// The VMs of this data centre that are heard, and this one, in the order in
    /// which they read the store for the others.
    pub fn rank_data_centre(&self, me: &Identity) -> Ranking {
        self.rank(me, |member| member.data_centre == me.data_centre)
    }

    /// Whether this VM writes for the whole fleet: it comes first of all that are
    /// heard. VMs that are cut off from each other may all think so.
    pub fn writes_for_fleet(&self, me: &Identity) -> bool {
        self.rank(me, |_| true).is_first()
    }

    fn rank(&self, me: &Identity, filter: impl Fn(&Member) -> bool) -> Ranking {
        let live = self.peers.values().filter(|peer| peer.live);
        let peers = live.map(|peer| &peer.member).filter(|member| filter(member));
        let peers = peers.map(|member| (member.vm.clone(), member.link));
        Ranking::new(&me.vm, peers.chain([(me.vm.clone(), me.link)]).collect())
    }

    /// The peer of any data centre with the youngest news of the store, if that
    /// is as young as a delegate's should be.
    pub fn freshest(&self, now: Moment) -> Option<(VmId, SocketAddr)> {
        let age = |peer: &Peer| -> Option<Span> {
            let latest = peer.latest.as_ref()?;
            Some(latest.config_age? + now.since(latest.received_at))
        };
        let live = self.peers.values().filter(|peer| peer.live);
        let ages = live.filter_map(|peer| Some((age(peer)?, &peer.member)));
        let (_, member) =
            ages.filter(|(age, _)| *age <= MAX_DELEGATE_AGE).min_by_key(|(age, _)| *age)?;
        Some((member.vm.clone(), member.address))
    }

    /// What all peers that are heard have at targets.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    fn heartbeat_interval(&self) -> Span {
        MIN_HEARTBEAT_INTERVAL.max(Span(HEARTBEAT_INTERVAL_PER_PEER.0 * self.peers.len() as u64))
    }
}

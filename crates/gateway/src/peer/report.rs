//! The reports that VMs send to relays, and relays to each other and to the VMs
//! of their data centres.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use briarshift_units::{DataCentre, Moment, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::demand::Demand;
use briarshift_wire::heartbeat::{Load, Placement};
use briarshift_wire::load::{Report, Scope};

use super::{Demands, Loads, Peer, State};
use crate::limit::{MAX_SUMMED_DEMANDS, RELAYS_PER_DATA_CENTRE};
use crate::{Context, Effect, Output};

impl State {
    /// Returns true if this VM is to report its loads to its relay.
    pub fn is_report_due(&self, now: Moment) -> bool {
        self.uses_relays() && self.relay.is_due(now)
    }

    /// Returns true if this VM recently heard from a relay, or serves as one.
    pub fn hears_relay(&self, now: Moment) -> bool {
        self.relay.fleet(now).is_some()
    }

    /// Reports this VM's loads, the demands of accounts, and its placements since the last
    /// report, to its relay. If this VM serves as a relay, sends sums to the relays of other data
    /// centres and to the VMs of its own.
    pub fn report(
        &mut self,
        ctx: &Context<'_>,
        loads: Vec<Load>,
        demands: Vec<Demand>,
        placements: Vec<Placement>,
        out: &mut Output,
    ) {
        if !self.relay.start_round(ctx.at) {
            return;
        }
        let ranking = self.rank_data_centre(ctx);
        let relay = self.relay.choose(ctx, ranking.all(), out);
        if relay == ctx.me.vm {
            self.relay.add_local_placements(&placements);
        }
        if self.relay.serves(&ctx.me.vm, ctx.at) {
            self.send_sums(ctx, &loads, &demands, out);
        }
        if let Some(address) = self.address(&relay) {
            self.relay.set_reported(loads.clone(), demands.clone(), &placements);
            let report = self.load_report(ctx, Scope::Vm, loads, demands, placements);
            out.push(Effect::Send { address, datagram: report });
        }
    }

    fn send_sums(
        &mut self,
        ctx: &Context<'_>,
        own: &[Load],
        own_demands: &[Demand],
        out: &mut Output,
    ) {
        let own_data_centre = &ctx.me.data_centre;
        let mut sum = Loads::of(own);
        let mut demands = Demands::of(own_demands);
        self.add_peer_loads(&mut sum, &mut demands, ctx.at, |peer| peer.is_in(own_data_centre));
        let addresses = self.remote_relays(ctx);
        let (for_relays, for_vms) = self.relay.take_placements();
        let datagram = self.load_report(
            ctx,
            Scope::DataCentre,
            sum.to_vec(),
            demands.largest(MAX_SUMMED_DEMANDS),
            for_relays,
        );
        out.push(Effect::Broadcast { addresses, datagram });

        let mut known = BTreeSet::new();
        for (name, loads, remote) in self.relay.data_centres(ctx.at) {
            sum.add(&loads.to_vec());
            demands.add(&remote.to_vec());
            known.insert(name.clone());
        }
        self.add_peer_loads(&mut sum, &mut demands, ctx.at, |peer| {
            !peer.is_in(own_data_centre) && !known.contains(&peer.member.data_centre)
        });
        let local_peers =
            self.peers.values().filter(|peer| peer.live && peer.is_in(own_data_centre));
        let addresses = local_peers.map(|peer| peer.member.address).collect();
        let loads = sum.to_vec();
        let demands = demands.largest(MAX_SUMMED_DEMANDS);
        self.relay.set_reported(own.to_vec(), own_demands.to_vec(), &[]);
        self.relay.set_fleet(&ctx.me.vm, &loads, &demands, ctx.at);
        let datagram = self.load_report(ctx, Scope::Fleet, loads, demands, for_vms);
        out.push(Effect::Broadcast { addresses, datagram });
    }

    /// Adds the loads and demands of the live peers accepted by `filter`, except of those
    /// that have missed a heartbeat.
    fn add_peer_loads(
        &self,
        sum: &mut Loads,
        demands: &mut Demands,
        now: Moment,
        filter: impl Fn(&Peer) -> bool,
    ) {
        let max_age = Span(self.heartbeat_interval().0 * 2);
        let is_recent = |peer: &Peer| {
            peer.latest.as_ref().is_some_and(|it| now.since(it.received_at) < max_age)
        };
        for peer in self.peers.values().filter(|peer| filter(peer) && is_recent(peer)) {
            sum.add(peer.loads());
            demands.add(peer.demands());
        }
    }

    /// Returns the addresses of the VMs that probably serve as relays in other
    /// data centres.
    fn remote_relays(&self, ctx: &Context<'_>) -> Vec<SocketAddr> {
        let members = self.peers.values().map(|peer| &peer.member.data_centre);
        let others: BTreeSet<_> = members.filter(|name| **name != ctx.me.data_centre).collect();
        let first = |name: &DataCentre| {
            let ranking = self.rank(ctx, |member| member.data_centre == *name);
            let peers = ranking.all().iter().filter(|vm| **vm != ctx.me.vm);
            peers.take(RELAYS_PER_DATA_CENTRE).filter_map(|vm| self.address(vm)).collect::<Vec<_>>()
        };
        others.into_iter().flat_map(first).collect()
    }

    fn load_report(
        &mut self,
        ctx: &Context<'_>,
        scope: Scope,
        loads: Vec<Load>,
        demands: Vec<Demand>,
        placements: Vec<Placement>,
    ) -> Datagram {
        let (from, start) = (ctx.me.vm.clone(), ctx.me.start);
        let sequence = self.relay.next_sequence();
        Datagram::LoadReport(Report { from, start, sequence, scope, loads, placements, demands })
    }

    /// Applies a report if it is newer than the sender's latest one. Returns the
    /// placements that this VM does not know yet.
    pub fn receive_report(&mut self, ctx: &Context<'_>, report: Report) -> Vec<Placement> {
        let Report { from, start, sequence, scope, loads, placements, demands } = report;
        let Some(peer) = self.peers.get_mut(&from) else { return Vec::new() };
        if peer.last_report.is_some_and(|last| (start, sequence) <= last) {
            return Vec::new();
        }
        peer.last_report = Some((start, sequence));
        match scope {
            Scope::Vm => {
                self.relay.record_report(ctx.at);
                self.relay.add_local_placements(&placements);
                let latest = peer.latest.as_mut().filter(|latest| latest.start == start);
                if let Some(latest) = latest.filter(|_| peer.live) {
                    self.loads.remove(&latest.loads);
                    self.loads.add(&loads);
                    self.demands.remove(&latest.demands);
                    self.demands.add(&demands);
                    latest.received_at = ctx.at;
                    latest.loads = loads;
                    latest.demands = demands;
                }
                placements
            }
            Scope::DataCentre => {
                let data_centre = peer.member.data_centre.clone();
                self.relay.set_data_centre(data_centre, &loads, &demands, ctx.at);
                // A VM that is no relay gets these placements from its relay.
                if !self.relay.serves(&ctx.me.vm, ctx.at) {
                    return Vec::new();
                }
                self.relay.add_remote_placements(&placements);
                placements
            }
            Scope::Fleet => {
                self.relay.set_fleet(&from, &loads, &demands, ctx.at);
                self.relay.new_placements(&from, placements)
            }
        }
    }
}

//! Who watches the store for a data centre.
//!
//! One live VM of the data centre, by rendezvous hash over the revision in
//! force: each new revision moves the watch, so that reading long documents
//! falls on all VMs alike. Who is only suspected to be dead doesn't count: a
//! second watch costs one call, a missing one delays a change.

use std::net::SocketAddr;

use briarshift_routing::rank;
use briarshift_units::{ChatKey, DataCentre, Revision, VmId};
use briarshift_wire::gossip::Health;

use crate::{Context, member};

/// Entry VMs, as far as spreading documents needs to know them.
pub trait Peers {
    /// Live VMs of a data centre, this one left out.
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId>;

    /// Where a VM listens for its peers.
    fn address(&self, vm: &VmId) -> Option<SocketAddr>;
}

impl Peers for member::State {
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId> {
        let alive = self.live().filter(|member| member.health == Health::Alive);
        let near = alive.filter(|member| member.data_centre == *data_centre);
        near.map(|member| &member.vm).collect()
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.get(vm).map(|member| member.address)
    }
}

/// Live VMs of this data centre, this one included; the delegate comes first
/// and is followed by those who take over.
pub(super) fn order<'a>(
    ctx: &'a Context<'_>,
    peers: &'a dyn Peers,
    revision: Revision,
) -> Vec<&'a VmId> {
    let mut vms = peers.alive_in(&ctx.me.data_centre);
    vms.push(&ctx.me.vm);
    rank::order(ChatKey(revision.0), vms, |vm| vm.as_str())
}

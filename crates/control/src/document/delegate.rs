//! Selection of the delegate: the VM that watches the store for a data centre.
//!
//! It is one of the live VMs of the data centre, by rendezvous hash over the
//! revision in force. Each new revision selects again, which spreads the reads
//! of long documents over all VMs. A suspect VM is not selected: two VMs that
//! watch at once cost one more call, but a missing watch delays a change.

use std::net::SocketAddr;

use briarshift_routing::rank;
use briarshift_units::{ChatKey, DataCentre, Revision, VmId};
use briarshift_wire::gossip::Health;

use crate::{Context, member};

/// What document distribution needs to know of the entry VMs.
pub trait Peers {
    /// Returns the VMs of a data centre that are alive, without this one.
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId>;

    /// Returns the address of a VM's peer listener, if the VM is known.
    fn address(&self, vm: &VmId) -> Option<SocketAddr>;
}

impl Peers for member::State {
    fn alive_in(&self, data_centre: &DataCentre) -> Vec<&VmId> {
        let alive = self.live().filter(|member| member.health == Health::Alive);
        let local = alive.filter(|member| member.data_centre == *data_centre);
        local.map(|member| &member.vm).collect()
    }

    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.get(vm).map(|member| member.address)
    }
}

/// Returns the VMs of this data centre that are alive, this one included: the
/// delegate first, then the VMs that take over from it, in order.
pub(super) fn order<'a>(
    ctx: &'a Context<'_>,
    peers: &'a dyn Peers,
    revision: Revision,
) -> Vec<&'a VmId> {
    let mut vms = peers.alive_in(&ctx.me.data_centre);
    vms.push(&ctx.me.vm);
    rank::order(ChatKey(revision.0), vms, |vm| vm.as_str())
}

//! Access to the other components while an event is applied.

use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_routing::freshness::Freshness;
use briarshift_units::Moment;
use briarshift_wire::heartbeat::TargetHash;

use super::pending::Pending;
use crate::{Context, Output, cache, peer, poison, target};

/// Which requests a VM refuses because it shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// None.
    No,
    /// Streams, and requests whose deadline is later than this: they could outlast
    /// the process.
    AcceptsUntil(Moment),
    /// All.
    RefusesAll,
}

/// What the other components know.
pub struct View<'a> {
    /// The configuration in force.
    pub catalog: Option<&'a Arc<Catalog>>,
    /// Until when requests with keys may be served.
    pub freshness: &'a Freshness,
    /// Targets.
    pub targets: &'a mut target::State,
    /// The other VMs, with which retry budgets and connections are shared.
    pub peers: &'a peer::State,
    /// Contents of the engines' caches.
    pub cache: &'a mut cache::State,
    /// Requests that crash targets.
    pub poison: &'a mut poison::State,
    /// Which requests are refused because this VM is about to stop.
    pub leaving: Leaving,
}

impl View<'_> {
    /// Returns the parameters with which candidates are looked up.
    pub(super) fn query<'a>(
        &'a self,
        ctx: &'a Context<'_>,
        pending: &Pending,
    ) -> target::Query<'a> {
        let has_key = !pending.shared_parts().is_empty();
        target::Query {
            data_centre: &ctx.me.data_centre,
            peer_loads: self.peers.loads(ctx.at),
            all_peers_live: self.peers.are_all_live(),
            is_shared_prompt: has_key,
            readmission_key: if has_key { pending.prompt_key().0 } else { ctx.entropy },
            now: ctx.at,
        }
    }

    /// Returns how many tokens of a request's prompt a target is expected to hold.
    pub(super) fn held_tokens(&self, ctx: &Context<'_>, pending: &Pending, target: &str) -> u64 {
        self.cache.cached_tokens(TargetHash::of(target), pending.shared_parts(), ctx.at)
    }
}

/// The context of the event that is being applied, access to the other
/// components, and the output for its effects.
pub(super) struct Step<'a, 'v> {
    pub ctx: &'a Context<'a>,
    pub view: &'a mut View<'v>,
    pub out: &'a mut Output,
}

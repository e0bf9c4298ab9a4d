//! One event with all that it is decided by.

use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_routing::fence::Fence;

use crate::{Context, Output, cache, peer, poison, target};

/// What a VM that shuts down refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// Nothing yet.
    No,
    /// Streams, which could outlast it.
    Streams,
    /// Everything.
    All,
}

/// What the other concerns know.
pub struct View<'a> {
    /// The configuration in force.
    pub catalog: Option<&'a Arc<Catalog>>,
    /// Until when keys may be served.
    pub fence: &'a Fence,
    /// Targets.
    pub targets: &'a mut target::State,
    /// The other VMs, which share budgets and connections.
    pub peers: &'a peer::State,
    /// What engines hold.
    pub cache: &'a mut cache::State,
    /// Strikes.
    pub poison: &'a mut poison::State,
    /// What is refused because this VM is about to stop.
    pub leaving: Leaving,
}

impl View<'_> {
    /// Targets as they are seen from this VM now.
    pub(super) fn glance<'a>(&'a self, ctx: &'a Context<'_>) -> target::Glance<'a> {
        target::Glance {
            data_centre: &ctx.me.data_centre,
            others: self.peers.loads(),
            complete: self.peers.is_complete(),
            now: ctx.at,
        }
    }
}

/// One event being applied: its moment, what the other concerns know, and where
/// its effects go.
pub(super) struct Turn<'a, 'v> {
    pub ctx: &'a Context<'a>,
    pub view: &'a mut View<'v>,
    pub out: &'a mut Output,
}

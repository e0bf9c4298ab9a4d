//! Ranks the VMs that may read the store for the others.

use briarshift_routing::rank;
use briarshift_units::{ChatKey, MegabitsPerSecond, VmId};

use crate::limit::{BACKUP_DELEGATES, MAX_DELEGATES, VMS_PER_DELEGATE};

/// Key of this ranking in rendezvous hashing.
const RANKING_KEY: ChatKey = ChatKey(0);
/// A link counts as wide if the widest link has at most this many times its
/// bandwidth.
const WIDE_LINK_RATIO: u64 = 2;

/// VMs, usually those of one data centre, in an order that all of them compute
/// alike: first the delegates, then the backups that take over as soon as the
/// delegates have only stale data, then all others. VMs with wide links come
/// first, because the volume that a reader receives grows with the number of
/// targets, each of which writes about once per second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ranking {
    all: Vec<VmId>,
    delegates: usize,
    /// Position of this VM.
    position: usize,
}

impl Ranking {
    /// Ranks VMs, each given with the bandwidth of its link.
    pub(super) fn new(me: &VmId, all: Vec<(VmId, MegabitsPerSecond)>) -> Self {
        let widest = all.iter().map(|(_, link)| *link).max().unwrap_or_default();
        let ranked = rank::order(RANKING_KEY, all, |(vm, _)| vm.as_str());
        let is_wide = |(_, link): &(VmId, MegabitsPerSecond)| widest.0 <= link.0 * WIDE_LINK_RATIO;
        let (wide, narrow): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_wide);
        let all: Vec<_> = wide.into_iter().chain(narrow).map(|(vm, _)| vm).collect();
        let delegates = (1 + all.len() / VMS_PER_DELEGATE).min(MAX_DELEGATES);
        let position = all.iter().position(|vm| vm == me).unwrap_or(all.len());
        Self { all, delegates, position }
    }

    /// Returns all VMs in their order.
    pub fn all(&self) -> &[VmId] {
        &self.all
    }

    /// Returns true if this VM is the first.
    pub fn is_first(&self) -> bool {
        self.position == 0
    }

    /// Returns true if this VM reads the store for others.
    pub fn is_delegate(&self) -> bool {
        self.position < self.delegates
    }

    /// Returns how many VMs that are neither delegates nor backups come before
    /// this one, or `None` if it is a delegate or a backup.
    pub fn fallback_rank(&self) -> Option<usize> {
        self.position.checked_sub(self.delegates + BACKUP_DELEGATES)
    }

    /// Returns the delegates.
    pub fn delegates(&self) -> &[VmId] {
        &self.all[..self.delegates.min(self.all.len())]
    }

    /// Returns the backups.
    pub fn backups(&self) -> &[VmId] {
        let rest = &self.all[self.delegates.min(self.all.len())..];
        &rest[..BACKUP_DELEGATES.min(rest.len())]
    }
}

//! Who of a data centre reads the store for the others.

use briarshift_routing::rank;
use briarshift_units::{ChatKey, MegabitsPerSecond, VmId};

use crate::limit::{BACKUP_DELEGATES, MAX_DELEGATES, VMS_PER_DELEGATE};

/// Names the duty in the ranking of VMs.
const DELEGATES_KEY: ChatKey = ChatKey(0);
/// A link counts as wide if this many times it is as much as the widest one.
const WIDE: u64 = 2;

/// VMs, mostly those of a data centre, in an order that all of them agree on: the
/// delegates, then the backups that take over as soon as delegates have only old
/// news, then all others. VMs with wide links come first: what they read grows
/// with the number of targets, which write about once a second each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    all: Vec<VmId>,
    delegates: usize,
    /// This VM's place.
    place: usize,
}

impl Order {
    /// Orders VMs, each with what its link carries.
    pub(super) fn new(me: &VmId, all: Vec<(VmId, MegabitsPerSecond)>) -> Self {
        let widest = all.iter().map(|(_, link)| *link).max().unwrap_or_default();
        let ranked = rank::order(DELEGATES_KEY, all, |(vm, _)| vm.as_str());
        let is_wide = |(_, link): &(VmId, MegabitsPerSecond)| widest.0 <= link.0 * WIDE;
        let (wide, narrow): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_wide);
        let all: Vec<_> = wide.into_iter().chain(narrow).map(|(vm, _)| vm).collect();
        let delegates = (1 + all.len() / VMS_PER_DELEGATE).min(MAX_DELEGATES);
        let place = all.iter().position(|vm| vm == me).unwrap_or(all.len());
        Self { all, delegates, place }
    }

    /// Whether this VM comes first.
    pub fn is_first(&self) -> bool {
        self.place == 0
    }

    /// Whether this VM reads the store for others.
    pub fn is_delegate(&self) -> bool {
        self.place < self.delegates
    }

    /// How many VMs that are neither delegates nor backups come before this one;
    /// `None` if it is a delegate or a backup.
    pub fn behind(&self) -> Option<usize> {
        self.place.checked_sub(self.delegates + BACKUP_DELEGATES)
    }

    /// The delegates.
    pub fn delegates(&self) -> &[VmId] {
        &self.all[..self.delegates.min(self.all.len())]
    }

    /// The backups.
    pub fn backups(&self) -> &[VmId] {
        let rest = &self.all[self.delegates.min(self.all.len())..];
        &rest[..BACKUP_DELEGATES.min(rest.len())]
    }
}

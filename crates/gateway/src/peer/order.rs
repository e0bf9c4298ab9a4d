//! Who of a data centre reads the store for the others.

use briarshift_units::VmId;

use crate::limit::{BACKUPS, MOST_DELEGATES, VMS_PER_DELEGATE};

/// The VMs of a data centre in an order that all of them agree on: the
/// delegates, then the backups that take over as soon as delegates have only old
/// news, then all others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    all: Vec<VmId>,
    delegates: usize,
    /// This VM's place.
    place: usize,
}

impl Order {
    pub(super) fn new(me: &VmId, all: Vec<VmId>) -> Self {
        let delegates = (1 + all.len() / VMS_PER_DELEGATE).min(MOST_DELEGATES);
        let place = all.iter().position(|vm| vm == me).unwrap_or(all.len());
        Self { all, delegates, place }
    }

    /// Whether this VM reads the store for others.
    pub fn is_delegate(&self) -> bool {
        self.place < self.delegates
    }

    /// How many VMs that are neither delegates nor backups come before this one;
    /// `None` if it is a delegate or a backup.
    pub fn behind(&self) -> Option<usize> {
        self.place.checked_sub(self.delegates + BACKUPS)
    }

    /// The delegates.
    pub fn delegates(&self) -> &[VmId] {
        &self.all[..self.delegates.min(self.all.len())]
    }

    /// The backups.
    pub fn backups(&self) -> &[VmId] {
        let rest = &self.all[self.delegates.min(self.all.len())..];
        &rest[..BACKUPS.min(rest.len())]
    }
}

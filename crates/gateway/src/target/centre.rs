//! Data centres that are cut off.
//!
//! Load pattern: a data centre is partitioned, and each request that goes to
//! one of its targets waits until a connection fails. Two signs together say
//! so: none of its VMs is heard, and one of its targets has failed since. Its
//! targets are then passed over until a VM is heard or a target answers; one
//! sign alone may be a lost VM or a lost target.

use std::collections::BTreeMap;

use briarshift_logging::Record;
use briarshift_units::{DataCentre, Moment};

use crate::Output;

/// The two signs, by data centre.
#[derive(Debug, Default)]
pub(super) struct State {
    silent: BTreeMap<DataCentre, Moment>,
    failed: BTreeMap<DataCentre, Moment>,
}

impl State {
    /// Replaces the data centres whose VMs are not heard, and since when.
    pub(super) fn silent(&mut self, silent: BTreeMap<DataCentre, Moment>, out: &mut Output) {
        for (centre, since) in &silent {
            if !self.silent.contains_key(centre) {
                let line = Record::new("data_centre_silent").with("data_centre", centre);
                out.log(line.with("since", since).with("cut", self.is_cut(centre)));
            }
        }
        for centre in self.silent.keys().filter(|centre| !silent.contains_key(*centre)) {
            out.log(Record::new("data_centre_heard").with("data_centre", centre));
        }
        self.silent = silent;
    }

    /// A target there failed.
    pub(super) fn failed(&mut self, centre: &DataCentre, now: Moment) {
        self.failed.insert(centre.clone(), now);
    }

    /// A target there answered a request that was sent a while ago at most.
    pub(super) fn answered(&mut self, centre: &DataCentre) {
        self.failed.remove(centre);
    }

    /// Whether both signs are there.
    pub(super) fn is_cut(&self, centre: &DataCentre) -> bool {
        let since = self.silent.get(centre);
        let failed = self.failed.get(centre);
        since.zip(failed).is_some_and(|(since, failed)| since < failed)
    }
}

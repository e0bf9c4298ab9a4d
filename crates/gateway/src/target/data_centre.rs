//! Detects data centres that are cut off from this VM.
//!
//! If a data centre is partitioned from this VM, each request that goes to one
//! of its targets waits until the connection fails. A data centre counts as cut
//! off if no heartbeat arrives from any of its VMs and one of its targets has
//! failed since then; one of these alone may be a lost VM or a lost target. Its
//! targets are avoided until a heartbeat of one of its VMs arrives or one of
//! its targets answers.

use std::collections::BTreeMap;

use briarshift_logging::Record;
use briarshift_units::{DataCentre, Moment};

use crate::Output;

/// Silent data centres, with the time of their last heartbeat, and the times of
/// the last failures of targets.
#[derive(Debug, Default)]
pub(super) struct State {
    silent: BTreeMap<DataCentre, Moment>,
    failed: BTreeMap<DataCentre, Moment>,
}

impl State {
    /// Replaces the data centres from which heartbeats no longer arrive, each
    /// with the time of the last one, and logs the changes.
    pub(super) fn set_silent(&mut self, silent: BTreeMap<DataCentre, Moment>, out: &mut Output) {
        for (data_centre, since) in &silent {
            if !self.silent.contains_key(data_centre) {
                let line = Record::new("data_centre_silent").with("data_centre", data_centre);
                out.log(line.with("since", since).with("cut", self.is_cut_off(data_centre)));
            }
        }
        for data_centre in
            self.silent.keys().filter(|data_centre| !silent.contains_key(*data_centre))
        {
            out.log(Record::new("data_centre_heard").with("data_centre", data_centre));
        }
        self.silent = silent;
    }

    /// Records that a target in a data centre failed.
    pub(super) fn record_failure(&mut self, data_centre: &DataCentre, now: Moment) {
        self.failed.insert(data_centre.clone(), now);
    }

    /// Records that a target in a data centre answered.
    pub(super) fn record_answer(&mut self, data_centre: &DataCentre) {
        self.failed.remove(data_centre);
    }

    /// Returns true if the data centre is silent and a target has failed since.
    pub(super) fn is_cut_off(&self, data_centre: &DataCentre) -> bool {
        let since = self.silent.get(data_centre);
        let failed = self.failed.get(data_centre);
        since.zip(failed).is_some_and(|(since, failed)| since < failed)
    }
}

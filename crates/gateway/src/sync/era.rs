//! Eras of the store: what a VM forgets when the store comes back from an older copy.

use briarshift_logging::Record;
use briarshift_store::Era;
use briarshift_units::Moment;

use super::State;
use crate::limit::STORE_FAILURE_WINDOW;
use crate::{Context, Output};

impl State {
    /// Begins a later era of the store, of which this VM learned by an answer to a call or by
    /// a peer's message.
    pub(super) fn begin_era(&mut self, ctx: &Context<'_>, era: Era, by: &str, out: &mut Output) {
        let revision = self.catalog.as_ref().map(|catalog| catalog.revision());
        let line = Record::new("store_returned").with("before", self.era).with("era", era);
        let line = line.with("version", self.version.unwrap_or_default());
        out.log(line.with("catalog", revision.unwrap_or_default()).with("by", by));
        self.era = era;
        self.returned_at = Some(ctx.at);
        self.is_unsettled = true;
        self.rows.is_certain = false;
        self.delegates_lack_changes = false;
        self.registration.restart(ctx);
    }

    /// Returns true if the rows are of an earlier era and must be read anew.
    pub(super) fn must_read_anew(&self) -> bool {
        self.version.is_some_and(|version| version.era < self.era)
    }

    /// Returns true if the store returned from a copy so recently that rows may be missing
    /// that are about to be written again.
    pub(super) fn has_just_returned(&self, now: Moment) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW)
    }
}

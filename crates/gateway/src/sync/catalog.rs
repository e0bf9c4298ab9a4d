//! The configuration in force, and what confirms it.
//!
//! A read confirms it only if it is the one that the store holds, and, after the store has
//! returned from a copy, only if operators have had time to write again what was lost and no
//! peer has a newer one in force.

use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_logging::Record;
use briarshift_store::registry::{Row, Value};
use briarshift_units::{Moment, Revision, Span};

use super::State;
use crate::limit::RETURN_SETTLE_TIME;
use crate::{Context, Effect, Output};

impl State {
    /// Records which revision of the configuration a peer has in force.
    pub fn hear_revision(&mut self, revision: Revision) {
        self.peer_revision = self.peer_revision.max(revision);
    }

    /// Records that the operators' rows were the newest at a time.
    pub(super) fn confirm(&mut self, ctx: &Context<'_>, at: Moment, out: &mut Output) {
        if self.catalog.is_none() && !self.is_superseded {
            return;
        }
        self.unconfirmed = false;
        self.read_at = self.read_at.max(Some(at));
        if self.is_superseded || !self.is_settled(at) {
            return;
        }
        self.freshness.confirm(at);
        if std::mem::take(&mut self.is_unsettled) {
            let waited = self.returned_at.map_or(Span::ZERO, |returned| ctx.at.since(returned));
            out.log(Record::new("store_settled").with("era", self.era).with("after", waited));
        }
    }

    /// Returns true if operators had written again by a time what the store lost when it
    /// returned, as far as this VM can tell.
    fn is_settled(&self, at: Moment) -> bool {
        let Some(returned_at) = self.returned_at else { return true };
        let in_force = self.catalog.as_ref().map(|catalog| catalog.revision());
        returned_at + RETURN_SETTLE_TIME <= at && Some(self.peer_revision) <= in_force
    }

    /// Adopts the store's configuration, if it can be used and is newer than the one in
    /// force.
    pub(super) fn follow_catalog(&mut self, row: &Row, out: &mut Output) {
        let stored = match &row.value {
            Some(Value::Catalog(catalog)) => {
                self.adopt_catalog(catalog, out);
                Some(catalog.revision())
            }
            _ => None,
        };
        let in_force = self.catalog.as_ref().map(|catalog| catalog.revision());
        let was_superseded = std::mem::replace(&mut self.is_superseded, stored != in_force);
        if was_superseded == self.is_superseded {
            return;
        }
        let event = if self.is_superseded { "catalog_superseded" } else { "catalog_confirmed" };
        let line = Record::new(event).with("version", row.version);
        let line = line.with("in_force", in_force.unwrap_or_default());
        out.log(match stored {
            Some(revision) => line.with("stored", revision),
            None => line.with("stored", "unusable"),
        });
    }

    fn adopt_catalog(&mut self, catalog: &Arc<Catalog>, out: &mut Output) {
        let known = self.catalog.as_ref().map(|catalog| catalog.revision());
        if known.is_some_and(|known| catalog.revision() <= known) {
            if Some(catalog.revision()) != known {
                let line = Record::new("catalog_older").with("revision", catalog.revision());
                out.log(line.with("in_force", known.unwrap_or_default()));
            }
            return;
        }
        out.log(
            Record::new("catalog")
                .with("revision", catalog.revision())
                .with("before", known.unwrap_or_default())
                .with("routes", catalog.route_count())
                .with("keys_required", catalog.requires_keys()),
        );
        for fault in catalog.faults() {
            let line = Record::new("catalog_fault").with("revision", catalog.revision());
            out.log(line.with("reason", fault));
        }
        out.push(Effect::SetLimits(catalog.limits()));
        self.catalog = Some(Arc::clone(catalog));
    }
}

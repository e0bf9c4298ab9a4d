//! Why a target of a pool can't get a request, for operators.

use briarshift_store::registry::Status;
use briarshift_units::{PoolId, TargetId};

use super::{Entry, Query, State};

impl State {
    /// Returns the targets of a pool that normally get no request now, each with the
    /// reason.
    pub fn excluded<'a>(
        &'a self,
        query: &'a Query<'_>,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a TargetId, &'static str)> {
        let of_pool = self.entries.iter().filter(|(_, entry)| entry.target.pool == *pool);
        of_pool.filter_map(|(id, entry)| Some((id, entry.exclusion(query)?)))
    }
}

impl Entry {
    /// Returns why the target normally gets no request now, if it gets none.
    fn exclusion(&self, query: &Query<'_>) -> Option<&'static str> {
        let reasons = [
            ("evacuated", self.is_evacuated()),
            ("leaving", self.target.status == Status::Leaving || self.left_at.is_some()),
            ("registration_ended", self.ended_at.is_some()),
            ("moved", self.has_moved(query.now)),
            ("pause", self.pause.is_some_and(|it| !it.permits(self.requests, query.now))),
            ("limit", query.now < self.permitted_at(query)),
            ("cold", query.now < self.warm_or_turn_at(query.now)),
            ("readmission", !self.is_readmitted(query)),
        ];
        reasons.into_iter().find_map(|(reason, applies)| applies.then_some(reason))
    }
}

//! The newest known version of each row, for VMs that request what has changed.
//!
//! A VM that is complete up to version v knows, for each name, the row of version
//! v or an equal one, or a newer one. So a peer that is complete up to v lacks
//! exactly the rows that are kept here with a version after v, whichever way and
//! in whichever order they arrived. Two cases need care:
//!
//! - The pages of a snapshot may be newer than the version up to which the snapshot
//!   is complete. Their rows are kept with their own versions.
//! - A later snapshot replaces changes that the store has dropped. What was written
//!   and deleted in between is not known, so peers in that gap are told nothing.
//!
//! - A store that comes back from an older copy has lost changes that this VM knows, and
//!   may have deleted or written anything since. Peers that have read further in the old
//!   era than this VM are told nothing, as they may know rows that are gone.
//!
//! Targets rewrite their rows regularly; a row counts as changed only if its value
//! differs, or if it was deleted meanwhile, which shows in its creation version. After the
//! store has returned, the next write of a target's row counts too: it shows that the row
//! is not a remnant of the copy.

use std::collections::{BTreeSet, HashMap, HashSet};

use briarshift_store::registry::{Name, Row, Value};
use briarshift_store::{Position, Version};

use crate::limit::{MAX_DATAGRAM_ROWS, MAX_KEPT_DELETIONS, MAX_KEPT_GAPS};

#[derive(Debug, Default)]
pub(super) struct Journal {
    /// The newest row of each name, deletions included.
    rows: HashMap<Name, Row>,
    by_version: BTreeSet<(Position, Name)>,
    deletions: BTreeSet<(Position, Name)>,
    /// All rows after this version are kept.
    complete_after: Option<Position>,
    /// Ranges without their ends: what was deleted after a version in one of them is
    /// not known.
    gaps: Vec<(Position, Position)>,
    /// Rows of targets that have not been written since the store returned, as far as this
    /// VM knows.
    unproven: HashSet<Name>,
    /// The rows that are being applied are the first ones of an era.
    is_returning: bool,
}

impl Journal {
    /// Applies rows that are complete up to `version`, and returns those that changed
    /// something. In a snapshot, rows that are missing have been deleted, and all rows
    /// of the snapshot are returned. `known` is the version up to which this VM was
    /// complete before.
    pub(super) fn apply(
        &mut self,
        mut rows: Vec<Row>,
        snapshot: bool,
        known: Option<Position>,
        version: Position,
    ) -> Vec<Row> {
        rows.sort_by_key(|row| row.version);
        self.is_returning = known.is_some_and(|known| known.era < version.era);
        if snapshot {
            self.record_missing(&rows, version);
        }
        if snapshot || self.is_returning {
            self.add_gap(known, version);
        }
        if snapshot {
            for row in &rows {
                self.record(row);
            }
        } else {
            rows.retain(|row| self.record(row));
        }
        if std::mem::take(&mut self.is_returning) {
            let is_target = |row: &&Row| matches!(row.name, Name::Target(_)) && row.value.is_some();
            self.unproven =
                self.rows.values().filter(is_target).map(|row| row.name.clone()).collect();
        }
        self.drop_oldest_deletions();
        rows
    }

    /// Returns the rows of evacuated data centres.
    pub(super) fn evacuations(&self) -> impl Iterator<Item = &Row> {
        let is_evacuation =
            |row: &&Row| matches!(row.name, Name::Evacuation(_)) && row.value.is_some();
        self.rows.values().filter(is_evacuation)
    }

    /// Returns the rows that a peer lacks that is complete up to a version, or `None`
    /// if they are not known or too many for a datagram.
    pub(super) fn changes_after(&self, version: Position) -> Option<Vec<Row>> {
        let is_in_gap = |&(from, to): &(Position, Position)| from < version && version < to;
        if self.complete_after.is_none_or(|first| version < first)
            || self.gaps.iter().any(is_in_gap)
        {
            return None;
        }
        // `Name::Catalog` is the first of all names.
        let first = (version.next(), Name::Catalog);
        let rows = self.by_version.range(first..).filter_map(|(_, name)| self.rows.get(name));
        let size: usize = rows.clone().map(datagram_rows).sum();
        (size <= MAX_DATAGRAM_ROWS).then(|| rows.cloned().collect())
    }

    /// Records that the known rows that are not in a snapshot have been deleted.
    fn record_missing(&mut self, rows: &[Row], version: Position) {
        let named: HashSet<_> = rows.iter().map(|row| &row.name).collect();
        let is_missing = |row: &&Row| row.value.is_some() && !named.contains(&row.name);
        let missing: Vec<_> =
            self.rows.values().filter(is_missing).map(|row| row.name.clone()).collect();
        for name in missing {
            self.record(&Row { name, version, created: Version::default(), value: None });
        }
    }

    fn add_gap(&mut self, known: Option<Position>, version: Position) {
        if self.complete_after.is_none() {
            self.complete_after = Some(version);
            return;
        }
        self.gaps.extend(known.map(|known| (known, version)));
        if MAX_KEPT_GAPS < self.gaps.len() {
            let (_, end) = self.gaps.remove(0);
            self.complete_after = self.complete_after.max(Some(end));
        }
    }

    /// Keeps a row, and returns true if it changed something. Holdings are only read at
    /// the start and not passed on.
    fn record(&mut self, row: &Row) -> bool {
        if matches!(row.name, Name::Holdings | Name::Other(_)) {
            return false;
        }
        if let Some(known) = self.rows.get(&row.name) {
            // Between two deletions the row was written. A later write in a new era may repeat
            // what was lost, with the same revisions: peers may have seen that it was missing.
            let is_comparable = self.is_returning || known.version.era == row.version.era;
            let is_equal = is_comparable
                && row.value.is_some()
                && known.value == row.value
                && known.created == row.created;
            if row.version < known.version {
                return false;
            }
            let is_proof = known.version < row.version && self.unproven.remove(&row.name);
            if is_equal && !is_proof {
                return false;
            }
            let key = (known.version, row.name.clone());
            self.by_version.remove(&key);
            self.deletions.remove(&key);
        }
        let key = (row.version, row.name.clone());
        if row.value.is_none() {
            self.deletions.insert(key.clone());
        }
        self.by_version.insert(key);
        self.rows.insert(row.name.clone(), row.clone());
        true
    }

    fn drop_oldest_deletions(&mut self) {
        while MAX_KEPT_DELETIONS < self.deletions.len() {
            let Some(key) = self.deletions.pop_first() else { return };
            self.by_version.remove(&key);
            self.rows.remove(&key.1);
            self.complete_after = self.complete_after.max(Some(key.0));
        }
    }
}

/// Returns the size of a row in a datagram, as a multiple of a target's row.
fn datagram_rows(row: &Row) -> usize {
    match &row.value {
        Some(Value::Catalog(catalog)) => 1 + catalog.route_count(),
        _ => 1,
    }
}

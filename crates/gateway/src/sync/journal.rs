//! The latest known rows, and their recent changes for VMs that request them.
//!
//! Targets rewrite their rows regularly; only a row that differs counts as a
//! change.

use std::collections::{HashMap, HashSet, VecDeque};

use briarshift_store::Version;
use briarshift_store::registry::{Name, Row, Value};

use crate::limit::{MAX_DATAGRAM_ROWS, MAX_KEPT_CHANGES};

#[derive(Debug, Default)]
pub(super) struct Journal {
    values: HashMap<Name, Value>,
    changes: VecDeque<Row>,
    /// `changes` contains all changes after this version.
    complete_after: Option<Version>,
}

impl Journal {
    /// Applies rows that are complete up to a version, and returns those that
    /// changed something. In a snapshot, rows that are missing have been
    /// deleted, and all rows of the snapshot are returned.
    pub(super) fn apply(
        &mut self,
        mut rows: Vec<Row>,
        snapshot: bool,
        version: Version,
    ) -> Vec<Row> {
        rows.sort_by_key(|row| row.version);
        if snapshot {
            self.apply_snapshot(&rows, version);
        } else {
            // Rows are compared one by one, since a row may be deleted and
            // written again unchanged.
            rows.retain(|row| self.record(row));
        }
        while MAX_KEPT_CHANGES < self.changes.len() {
            self.complete_after = self.changes.pop_front().map(|row| row.version);
        }
        rows
    }

    /// Applies a snapshot. Its differences are kept as changes for peers, so
    /// that a store that has dropped its history doesn't make every VM read all
    /// rows again.
    fn apply_snapshot(&mut self, rows: &[Row], version: Version) {
        if self.complete_after.is_none() {
            self.complete_after = Some(version);
            let entry = |row: &Row| Some((row.name.clone(), row.value.clone()?));
            self.values.extend(rows.iter().filter_map(entry));
            return;
        }
        let named: HashSet<_> = rows.iter().map(|row| &row.name).collect();
        let mut gone: Vec<_> =
            self.values.keys().filter(|name| !named.contains(name)).cloned().collect();
        gone.sort();
        for row in rows {
            self.record(row);
        }
        for name in gone {
            self.record(&Row { name, version, value: None });
        }
    }

    /// Applies one row, and returns true if it changed something. Holdings are
    /// only read at the start and not passed on.
    fn record(&mut self, row: &Row) -> bool {
        if row.name == Name::Holdings {
            return false;
        }
        if self.values.get(&row.name) == row.value.as_ref() {
            return false;
        }
        match &row.value {
            Some(value) => self.values.insert(row.name.clone(), value.clone()),
            None => self.values.remove(&row.name),
        };
        self.changes.push_back(row.clone());
        true
    }

    /// Returns the changes after a version, or `None` if some are no longer
    /// kept or they are too many for a datagram.
    pub(super) fn changes_after(&self, version: Version) -> Option<Vec<Row>> {
        if self.complete_after.is_none_or(|first| version < first) {
            return None;
        }
        let rows: Vec<_> =
            self.changes.iter().filter(|row| version < row.version).cloned().collect();
        let size: usize = rows.iter().map(datagram_rows).sum();
        (size <= MAX_DATAGRAM_ROWS).then_some(rows)
    }
}

/// Returns the size of a row in a datagram, as a multiple of a target's row.
fn datagram_rows(row: &Row) -> usize {
    match &row.value {
        Some(Value::Catalog(catalog)) => 1 + catalog.route_count(),
        _ => 1,
    }
}

//! Rows as last known, and their latest changes for VMs that ask.
//!
//! Targets write their rows again and again; only what differs is a change.

use std::collections::{HashMap, HashSet, VecDeque};

use briarshift_store::Version;
use briarshift_store::registry::{Name, Row, Value};

use crate::limit::{MAX_DATAGRAM_ROWS, MAX_KEPT_CHANGES};

#[derive(Debug, Default)]
pub(super) struct Journal {
    values: HashMap<Name, Value>,
    changes: VecDeque<Row>,
    /// Changes after this version are all in `changes`.
    complete_after: Option<Version>,
}

impl Journal {
    /// Takes in rows that are complete up to a version, and returns those that
    /// changed something. If they are `whole`, what is not among them is gone,
    /// and all of them are returned.
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
            // One after another: a row may be deleted and written again as it was.
            rows.retain(|row| self.record(row));
        }
        while MAX_KEPT_CHANGES < self.changes.len() {
            self.complete_after = self.changes.pop_front().map(|row| row.version);
        }
        rows
    }

    /// Takes in all rows that there are. What they changed can be told to askers
    /// as before: a store that has dropped its history must not send them all to
    /// read it anew.
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

    /// Takes in one row; whether it changed something. What engines hold is read
    /// at the start only, and not told.
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

    /// The changes after a version; `None` if some are no longer kept, or they
    /// are too many for a datagram.
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

/// A row's part of a datagram, in rows of targets.
fn datagram_rows(row: &Row) -> usize {
    match &row.value {
        Some(Value::Catalog(catalog)) => 1 + catalog.routes(),
        _ => 1,
    }
}

//! Rows as last known, and their latest changes for VMs that ask.
//!
//! Targets write their rows again and again; only what differs is a change.

use std::collections::{HashMap, HashSet, VecDeque};

use briarshift_store::Version;
use briarshift_store::registry::{Name, Row, Value};

use crate::limit::{MAX_DATAGRAM_ROWS, MAX_KEPT_CHANGES};

#[derive(Debug, Default)]
pub(super) struct Journal {
    known: HashMap<Name, Value>,
    changes: VecDeque<Row>,
    /// Changes after this version are all in `changes`.
    complete: Option<Version>,
}

impl Journal {
    /// Takes in rows that are complete up to a version, and returns those that
    /// changed something. If they are `whole`, what is not among them is gone,
    /// and all of them are returned.
    pub(super) fn take(&mut self, mut rows: Vec<Row>, whole: bool, version: Version) -> Vec<Row> {
        rows.sort_by_key(|row| row.version);
        if whole {
            self.replace(&rows, version);
        } else {
            // One after another: a row may be deleted and written again as it was.
            rows.retain(|row| self.note(row));
        }
        while MAX_KEPT_CHANGES < self.changes.len() {
            self.complete = self.changes.pop_front().map(|row| row.version);
        }
        rows
    }

    /// Takes in all rows that there are. What they changed can be told to askers
    /// as before: a store that has dropped its history must not send them all to
    /// read it anew.
    fn replace(&mut self, rows: &[Row], version: Version) {
        if self.complete.is_none() {
            self.complete = Some(version);
            let known = |row: &Row| Some((row.name.clone(), row.value.clone()?));
            self.known.extend(rows.iter().filter_map(known));
            return;
        }
        let named: HashSet<_> = rows.iter().map(|row| &row.name).collect();
        let mut gone: Vec<_> =
            self.known.keys().filter(|name| !named.contains(name)).cloned().collect();
        gone.sort();
        for row in rows {
            self.note(row);
        }
        for name in gone {
            self.note(&Row { name, version, value: None });
        }
    }

    /// Takes in one row; whether it changed something. What engines hold is read
    /// at the start only, and not told.
    fn note(&mut self, row: &Row) -> bool {
        if row.name == Name::Holdings {
            return false;
        }
        if self.known.get(&row.name) == row.value.as_ref() {
            return false;
        }
        match &row.value {
            Some(value) => self.known.insert(row.name.clone(), value.clone()),
            None => self.known.remove(&row.name),
        };
        self.changes.push_back(row.clone());
        true
    }

    /// The changes after a version; `None` if some are no longer kept, or they
    /// are too many for a datagram.
    pub(super) fn since(&self, version: Version) -> Option<Vec<Row>> {
        if self.complete.is_none_or(|complete| version < complete) {
            return None;
        }
        let rows: Vec<_> =
            self.changes.iter().filter(|row| version < row.version).cloned().collect();
        let weight: usize = rows.iter().map(weight).sum();
        (weight <= MAX_DATAGRAM_ROWS).then_some(rows)
    }
}

/// A row's part of a datagram, in rows of targets.
fn weight(row: &Row) -> usize {
    match &row.value {
        Some(Value::Catalog(catalog)) => 1 + catalog.route_count(),
        _ => 1,
    }
}

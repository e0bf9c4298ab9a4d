//! Names the records that don't add up.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use briarshift_store::{Entry, Key};
use briarshift_units::{StartNumber, VmId};
use serde::Serialize;

use super::counters::Counters;
use super::record::Record;

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It can't be read.
    Malformed(String),
    /// It stands under the key of another segment.
    Misplaced,
    /// Its code is not the one that the fleet's key gives.
    Altered,
    /// Its rows do not give its total, or one stands twice.
    Sum,
    /// Its chats found more tokens in caches than they had.
    Cached,
    /// The segment before it is missing.
    Gap,
    /// The segment before it is not the one that its VM closed.
    Replaced,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed(err) => return write!(f, "can't be read ({err}): tampered"),
            Self::Misplaced => "stands under another segment's key: tampered",
            Self::Altered => "is not authentic under the fleet's key: tampered",
            Self::Sum => "has rows that do not give its total: tampered",
            Self::Cached => "has more cached than prompt tokens: check the engines",
            Self::Gap => "follows a segment that is missing: a record was deleted",
            Self::Replaced => "follows a segment that was put back or altered: tampered",
        };
        f.write_str(text)
    }
}

/// A record that doesn't add up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The record's key.
    pub key: Key,
    /// What is wrong with it.
    pub fault: Fault,
}

/// What an audit gave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Records that can be read, sound or not.
    pub records: Vec<Record>,
    /// What is wrong.
    pub findings: Vec<Finding>,
}

/// Which segments were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// All that there are: a missing first segment is a gap.
    Full,
    /// Some days only.
    Partial,
}

/// Reads records and checks each by itself and against the segment before.
/// Without a key, codes are not checked against the rows, only against one
/// another.
///
/// # Examples
///
/// ```
/// use briarshift_control::usage::audit::{Coverage, Fault, audit};
/// use briarshift_store::{Entry, Version};
/// let key = "usage/1970-01-01/kt-1/3/0".into();
/// let entry = Entry { key, value: "{}".into(), version: Version(1) };
/// let audit = audit(&[entry], None, Coverage::Full);
/// assert!(matches!(audit.findings[0].fault, Fault::Malformed(_)));
/// ```
pub fn audit(entries: &[Entry], key: Option<&[u8]>, coverage: Coverage) -> Audit {
    let mut audit = Audit::default();
    for entry in entries {
        match serde_json::from_str::<Record>(&entry.value) {
            Ok(record) => {
                let faults = faults(&record, &entry.key, key);
                let finding = |fault| Finding { key: entry.key.clone(), fault };
                audit.findings.extend(faults.into_iter().map(finding));
                audit.records.push(record);
            }
            Err(err) => audit
                .findings
                .push(Finding { key: entry.key.clone(), fault: Fault::Malformed(err.to_string()) }),
        }
    }
    let chained = chain(&audit.records, coverage);
    audit.findings.extend(chained);
    audit
}

fn faults(record: &Record, key: &Key, secret: Option<&[u8]>) -> Vec<Fault> {
    let body = &record.body;
    let mut faults = Vec::new();
    if &body.segment_id.key() != key {
        faults.push(Fault::Misplaced);
    }
    if secret.is_some_and(|secret| !record.is_authentic(secret)) {
        faults.push(Fault::Altered);
    }
    let subjects: BTreeSet<_> = body.rows.iter().map(|row| &row.subject).collect();
    let sum: Counters = body.rows.iter().map(|row| row.counters).sum();
    if sum != body.total || subjects.len() != body.rows.len() {
        faults.push(Fault::Sum);
    }
    if body.rows.iter().any(|row| row.counters.prompt_tokens < row.counters.cached_tokens) {
        faults.push(Fault::Cached);
    }
    faults
}

/// Follows each VM start's segments.
fn chain(records: &[Record], coverage: Coverage) -> Vec<Finding> {
    let mut starts: BTreeMap<(&VmId, StartNumber), BTreeMap<u64, &Record>> = BTreeMap::new();
    for record in records {
        let place = &record.body.segment_id;
        starts.entry((&place.vm, place.start)).or_default().insert(place.segment, record);
    }
    let mut findings = Vec::new();
    for segments in starts.values() {
        let first = segments.keys().next();
        for (number, record) in segments {
            let Some(before) = number.checked_sub(1) else { continue };
            let fault = match segments.get(&before) {
                Some(before) if before.code == record.body.previous => continue,
                Some(_) => Fault::Replaced,
                None if coverage == Coverage::Partial && first == Some(number) => continue,
                None => Fault::Gap,
            };
            findings.push(Finding { key: record.body.segment_id.key(), fault });
        }
    }
    findings
}

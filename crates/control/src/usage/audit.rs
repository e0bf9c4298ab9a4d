//! Audit of usage records: finds records that are inconsistent or were altered.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use briarshift_store::{Entry, Key};
use briarshift_units::{StartNumber, VmId};
use serde::Serialize;

use super::counters::Counters;
use super::record::Record;

/// A fault of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The value can't be parsed as a record. Contains the parser's error.
    Malformed(String),
    /// The record is stored under the key of another segment.
    Misplaced,
    /// The record's MAC is not valid under the fleet's key.
    Altered,
    /// The rows don't add up to the total, or two rows have the same subject.
    Sum,
    /// A row has more cached tokens than prompt tokens.
    Cached,
    /// The previous segment is missing.
    Gap,
    /// The previous segment's record is not the one that its VM wrote last.
    Replaced,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed(err) => return write!(f, "can't be read ({err}): tampered"),
            Self::Misplaced => "is stored under another segment's key: tampered",
            Self::Altered => "is not authentic under the fleet's key: tampered",
            Self::Sum => "has rows that don't add up to its total: tampered",
            Self::Cached => "has more cached than prompt tokens: check the engines",
            Self::Gap => "follows a segment that is missing: a record was deleted",
            Self::Replaced => {
                "follows a segment that was altered or reset to an older record: tampered"
            }
        };
        f.write_str(text)
    }
}

/// A fault that the audit found, with the record's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The record's key.
    pub key: Key,
    /// The fault of the record.
    pub fault: Fault,
}

/// The result of an audit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// All records that could be parsed, also those with faults.
    pub records: Vec<Record>,
    /// The faults that were found.
    pub findings: Vec<Finding>,
}

/// Which segments the audited records cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// All segments in the store: a missing first segment is a gap.
    Full,
    /// The segments of some days: the previous segment of the first one is not
    /// checked.
    Partial,
}

/// Parses records and checks each one, and each segment against the previous
/// one. Without a key, MACs are not verified; only the references between
/// segments are compared.
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
                let faults = check_record(&record, &entry.key, key);
                let finding = |fault| Finding { key: entry.key.clone(), fault };
                audit.findings.extend(faults.into_iter().map(finding));
                audit.records.push(record);
            }
            Err(err) => audit
                .findings
                .push(Finding { key: entry.key.clone(), fault: Fault::Malformed(err.to_string()) }),
        }
    }
    let chain_findings = check_chain(&audit.records, coverage);
    audit.findings.extend(chain_findings);
    audit
}

fn check_record(record: &Record, key: &Key, secret: Option<&[u8]>) -> Vec<Fault> {
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

/// Checks that the segments of each process form a chain without gaps.
fn check_chain(records: &[Record], coverage: Coverage) -> Vec<Finding> {
    let mut starts: BTreeMap<(&VmId, StartNumber), BTreeMap<u64, &Record>> = BTreeMap::new();
    for record in records {
        let id = &record.body.segment_id;
        starts.entry((&id.vm, id.start)).or_default().insert(id.segment, record);
    }
    let mut findings = Vec::new();
    for segments in starts.values() {
        let first = segments.keys().next();
        for (number, record) in segments {
            let Some(previous) = number.checked_sub(1) else { continue };
            let fault = match segments.get(&previous) {
                Some(previous) if previous.code == record.body.previous => continue,
                Some(_) => Fault::Replaced,
                None if coverage == Coverage::Partial && first == Some(number) => continue,
                None => Fault::Gap,
            };
            findings.push(Finding { key: record.body.segment_id.key(), fault });
        }
    }
    findings
}

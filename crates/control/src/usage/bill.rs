//! The bill: splits charges between owners, from usage records.
//!
//! Charges are in whole units, so that shares add up exactly and can be
//! recomputed from the records by hand.

use std::collections::BTreeMap;

use briarshift_units::OwnerId;
use serde::{Deserialize, Serialize};

use super::counters::{Counters, Subject};
use super::record::{Code, Record, SegmentId};

/// The units that are charged for each counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tariff {
    /// For a prompt token that was not found in an engine's cache.
    pub prompt: u64,
    /// For a prompt token that was found in an engine's cache.
    pub cached: u64,
    /// For a generated token.
    pub completion: u64,
    /// For a booking that was executed.
    pub booking: u64,
    /// For each request that was answered, in addition to the charges above.
    pub request: u64,
}

impl Default for Tariff {
    fn default() -> Self {
        Self { prompt: 10, cached: 1, completion: 40, booking: 1_000, request: 100 }
    }
}

impl Tariff {
    /// Returns the units that are charged for counters.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::usage::Counters;
    /// use briarshift_control::usage::bill::Tariff;
    /// let counters = Counters { prompt_tokens: 5, cached_tokens: 3, ..Counters::default() };
    /// assert_eq!(Tariff::default().units(&counters), 2 * 10 + 3);
    /// ```
    pub fn units(&self, counters: &Counters) -> u128 {
        let fresh = counters.prompt_tokens.saturating_sub(counters.cached_tokens);
        let charge = |count: u64, units: u64| u128::from(count) * u128::from(units);
        charge(fresh, self.prompt)
            + charge(counters.cached_tokens, self.cached)
            + charge(counters.completion_tokens, self.completion)
            + charge(counters.bookings, self.booking)
            + charge(counters.requests, self.request)
    }
}

/// A record that a line is computed from, with the record's part of the line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Source {
    /// The segment of the record.
    #[serde(rename = "place")]
    pub segment_id: SegmentId,
    /// The sequence number of the record.
    pub sequence: u64,
    /// The MAC of the record.
    pub code: Code,
    /// The record's counters for the subject of the line.
    pub counters: Counters,
}

/// The usage of one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// What the line is about.
    #[serde(flatten)]
    pub subject: Subject,
    /// The sum of the counters of all records.
    pub counters: Counters,
    /// Units charged.
    pub units: u128,
    /// The records that the line is computed from.
    pub records: Vec<Source>,
}

/// One owner's share of the bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Share {
    /// The owner.
    pub owner: OwnerId,
    /// The sum of the owner's counters.
    pub counters: Counters,
    /// Units charged.
    pub units: u128,
}

/// A bill, split between owners.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Bill {
    /// Units charged to all owners together.
    pub units: u128,
    /// The owners' shares, ordered by owner.
    pub shares: Vec<Share>,
    /// The lines, ordered by owner, account, pool and model.
    pub lines: Vec<Line>,
}

impl Bill {
    /// Returns an owner's fraction of the whole bill, from 0 to 1.
    pub fn fraction(&self, share: &Share) -> f64 {
        if self.units == 0 { 0.0 } else { share.units as f64 / self.units as f64 }
    }

    /// Returns the bill with the share and the lines of one owner only. The
    /// total units stay those of the whole bill.
    #[must_use]
    pub fn for_owner(mut self, owner: &OwnerId) -> Self {
        self.shares.retain(|share| &share.owner == owner);
        self.lines.retain(|line| &line.subject.owner == owner);
        self
    }
}

/// Computes the bill from usage records.
///
/// # Examples
///
/// ```
/// use briarshift_control::usage::bill::{Bill, Tariff, split};
/// assert_eq!(split(&[], Tariff::default()), Bill::default());
/// ```
pub fn split(records: &[Record], tariff: Tariff) -> Bill {
    let mut sources: BTreeMap<&Subject, Vec<Source>> = BTreeMap::new();
    for Record { body, code } in records {
        for row in &body.rows {
            sources.entry(&row.subject).or_default().push(Source {
                segment_id: body.segment_id.clone(),
                sequence: body.sequence,
                code: *code,
                counters: row.counters,
            });
        }
    }
    let line = |(subject, records): (&Subject, Vec<Source>)| {
        let counters: Counters = records.iter().map(|source| source.counters).sum();
        let units = tariff.units(&counters);
        Line { subject: subject.clone(), counters, units, records }
    };
    let lines: Vec<_> = sources.into_iter().map(line).collect();
    let mut shares: BTreeMap<&OwnerId, Share> = BTreeMap::new();
    for line in &lines {
        let owner = &line.subject.owner;
        let empty = || Share { owner: owner.clone(), counters: Counters::default(), units: 0 };
        let share = shares.entry(owner).or_insert_with(empty);
        share.counters += line.counters;
        share.units += line.units;
    }
    let shares: Vec<_> = shares.into_values().collect();
    Bill { units: shares.iter().map(|share| share.units).sum(), shares, lines }
}

//! Splits the bill between owners, from records.
//!
//! Units are whole numbers, so that shares add up exactly and anyone can
//! recompute them from the records by hand.

use std::collections::BTreeMap;

use briarshift_units::OwnerId;
use serde::{Deserialize, Serialize};

use super::counters::{Counters, Subject};
use super::record::{Code, Record, SegmentId};

/// Units charged for each thing counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tariff {
    /// A prompt token that was not in an engine's cache.
    pub prompt: u64,
    /// A prompt token that was.
    pub cached: u64,
    /// A token generated.
    pub completion: u64,
    /// A booking that ran.
    pub booking: u64,
    /// Any request answered.
    pub request: u64,
}

impl Default for Tariff {
    fn default() -> Self {
        Self { prompt: 10, cached: 1, completion: 40, booking: 1_000, request: 100 }
    }
}

impl Tariff {
    /// Units of some counts.
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

/// A record behind a line, and what it adds to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Source {
    /// The record's segment.
    #[serde(rename = "place")]
    pub segment_id: SegmentId,
    /// Its sequence number.
    pub sequence: u64,
    /// Its code.
    pub code: Code,
    /// What it counts for this line.
    pub counters: Counters,
}

/// One subject's use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Whose use, and of what.
    #[serde(flatten)]
    pub subject: Subject,
    /// The counts.
    pub counters: Counters,
    /// Units charged.
    pub units: u128,
    /// The records behind it.
    pub records: Vec<Source>,
}

/// One owner's part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Share {
    /// The owner.
    pub owner: OwnerId,
    /// All that was counted for it.
    pub counters: Counters,
    /// Units charged.
    pub units: u128,
}

/// A bill.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Bill {
    /// Units of all owners together.
    pub units: u128,
    /// Owners, in order.
    pub shares: Vec<Share>,
    /// Lines, in order of owner, account, pool and model.
    pub lines: Vec<Line>,
}

impl Bill {
    /// An owner's part of the whole, 0 to 1.
    pub fn fraction(&self, share: &Share) -> f64 {
        if self.units == 0 { 0.0 } else { share.units as f64 / self.units as f64 }
    }

    /// The bill with one owner's lines only; the whole stays as it was.
    #[must_use]
    pub fn for_owner(mut self, owner: &OwnerId) -> Self {
        self.shares.retain(|share| &share.owner == owner);
        self.lines.retain(|line| &line.subject.owner == owner);
        self
    }
}

/// Splits the bill.
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

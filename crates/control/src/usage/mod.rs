//! Usage accounting: what each owner's requests used, in tamper-evident
//! records.
//!
//! Counters are cumulative and written by compare-and-swap, so that a lost
//! reply or a repeated write doesn't change the result: the newest record of a
//! segment contains everything that was counted in it. A segment is one key of
//! the store, `usage/{day}/{vm}/{start}/{segment}`. A process begins a new
//! segment on each UTC day, so that a bill for some days reads the keys of
//! those days only, and old keys can be deleted by day.
//!
//! - [`counters`] defines what is counted, by owner, account, pool and model.
//! - [`record`] defines the stored record: rows, totals, a sequence number and
//!   a message authentication code (MAC). A segment contains the MAC of the
//!   last record of the previous segment, so that an audit detects a segment
//!   that was deleted or reset to an older record.
//! - [`state`](State) counts, and writes the records at an interval that grows
//!   with the fleet.
//! - [`bill`] splits the bill between owners; [`audit`] finds records that are
//!   inconsistent.
//!
//! A VM that crashes loses what it counted since its last write, which is at
//! most one interval.

pub mod audit;
pub mod bill;
pub mod counters;
pub mod day;
pub mod record;

mod state;

pub use counters::{Counters, Return, Sample};
pub use state::{State, View, write_interval};

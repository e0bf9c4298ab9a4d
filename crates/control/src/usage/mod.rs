//! What each owner's requests used, kept as evidence.
//!
//! Counters are cumulative and written by compare-and-swap, so that a lost
//! answer or a repeated write changes nothing: the newest record of a segment
//! holds all that was counted in it. A segment is one key,
//! `usage/{day}/{vm}/{start}/{segment}`; a VM's start begins a new one each
//! UTC day, so that a bill for some days reads those days' keys alone, and old
//! ones can be deleted by day.
//!
//! - [`counters`] what is counted, by owner, account, pool and model.
//! - [`record`] the record as written: rows, totals, sequence number, and a
//!   message authentication code (MAC). A segment names the MAC of the last
//!   record of the segment before, so that a segment that was taken out, or
//!   put back to an older record, shows.
//! - [`state`](State) writes them at an interval that grows with the fleet.
//! - [`bill`] splits the bill from records; [`audit`] names the records that
//!   don't add up.
//!
//! A VM that dies loses what it counted since its last write: one interval.

pub mod audit;
pub mod bill;
pub mod counters;
pub mod day;
pub mod record;

mod state;

pub use counters::{Counters, Return, Sample};
pub use state::{State, View, write_interval};

//! The life of a caller's request, from arrival to its one answer.
//!
//! A request is checked, given a place, for a booking claimed, and then sent.
//! Each attempt has a number; whatever comes back for another attempt is
//! dropped. It is retried only while it is certain that nothing ran, or when
//! its call may be repeated, and never once a byte of an answer has reached
//! the caller.

mod event;
mod refusal;
mod state;

pub use briarshift_target::stream::Tokens;
pub use event::{Arrival, Decision, End, Event, Send, Work};
pub use refusal::{Outcome, Reason, Refusal};
pub use state::{State, View};

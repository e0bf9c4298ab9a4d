//! The life of a caller's request, from arrival to its one answer.
//!
//! A request is checked, given a place, for a booking claimed, and then sent.
//! Each attempt has a number; whatever comes back for another attempt is
//! dropped. It is retried only while it is certain that nothing ran, or when
//! its call may be repeated, within the pool's retry budget, and never once a
//! byte of an answer has reached the caller. A chat stream that breaks is
//! resumed on its engine while that lives. A booking that was sent is seen
//! through to its outcome, caller or no caller.

mod ending;
mod event;
mod life;
mod refusal;
mod resolve;
mod state;

pub use briarshift_target::stream::Tokens;
pub use event::{Arrival, Decision, End, Event, Resume, Send, Work};
pub use refusal::{Outcome, Reason, Refusal};
pub use resolve::digest;
pub use state::{State, View};

//! The lifecycle of a caller's request, from its arrival to its only answer.
//!
//! A request is validated, gets a reservation, is claimed if it is a booking,
//! and is then sent. Each attempt has a number, and results of any other attempt
//! are dropped. A request is retried only if it certainly did not run or if its
//! call may be repeated, within the pool's retry budget, and never after a byte
//! of an answer has reached the caller. An interrupted chat stream is resumed on
//! its engine while the engine is up. A booking that was sent runs to its end
//! even if the caller disconnects.

mod ending;
mod event;
mod in_flight;
mod refusal;
mod resolve;
mod state;

pub use briarshift_target::stream::Tokens;
pub use event::{Arrival, Decision, End, Event, Resume, Send, Work};
pub use refusal::{Outcome, Reason, Refusal};
pub use resolve::digest;
pub use state::{State, View};

//! The control reducer: events in, effects out.
//!
//! One [`State`] decides everything an entry VM decides. It has no clock,
//! socket or random source: time and entropy arrive inside each [`Event`],
//! and all it wants done leaves as [`Effect`] values. Equal lists of events
//! therefore give equal lists of effects, which is what lets property tests
//! reach the races that threads would hide, and lets a failure be replayed.
//!
//! Each concern is a module with a state of its own. [`State`] hands events to
//! them and carries what one concern tells another (a granted place, an ended
//! request); the modules never call each other.

mod context;
mod damper;
mod effect;
mod event;
mod signal;
mod state;

pub mod booking;
pub mod cache;
pub mod document;
pub mod limit;
pub mod member;
pub mod order;
pub mod reservation;
pub mod poison;
pub mod request;
pub mod status;
pub mod target;
pub mod usage;

pub use briarshift_logging::Record;
pub use context::{Context, Identity, Output, Scope};
pub use damper::Damper;
pub use effect::{Effect, Ticket};
pub use event::{Event, Kind};
pub use signal::Signal;
pub use state::State;

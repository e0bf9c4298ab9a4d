//! The control reducer, which turns events into effects.
//!
//! One [`State`] makes all decisions of an entry VM. It has no clock, socket or
//! random source: time and entropy are part of each [`Event`], and all actions
//! are returned as [`Effect`] values. Equal sequences of events therefore give
//! equal sequences of effects. This lets property tests reach races that threads
//! would hide, and lets failures be replayed.
//!
//! Each component (membership, requests, reservations and so on) is a module with
//! its own state. [`State`] passes events to the components and delivers
//! [`Signal`]s between them, such as a granted reservation or an ended request.
//! Components never call each other's event handlers.

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
pub mod poison;
pub mod request;
pub mod reservation;
pub mod status;
pub mod target;
pub mod usage;

pub use briarshift_logging::Record;
pub use context::{Context, Identity, Output, Step};
pub use damper::Damper;
pub use effect::{Effect, Ticket};
pub use event::{Event, Kind};
pub use signal::Signal;
pub use state::State;

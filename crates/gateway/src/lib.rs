//! The reducer of a gateway VM, which routes requests to pools of targets.
//!
//! A gateway VM stands in front of pools of targets. The targets register
//! themselves in the platform's store, where operators keep the routes to them.
//! One [`State`] makes all decisions of such a VM. It uses no clock, socket or
//! random source: time and random bits arrive inside each [`Event`], and all
//! actions leave as [`Effect`] values. Equal sequences of events therefore give
//! equal sequences of effects.
//!
//! Each component is a module with its own state:
//!
//! - [`sync`] follows the store: the configuration, how long it may be relied
//!   on, and this VM's lease;
//! - [`target`] tracks the targets: which ones accept requests, their load and
//!   health;
//! - [`peer`] exchanges loads and crashes with the other VMs;
//! - [`cache`] tracks which engine holds which prompt parts;
//! - [`poison`] counts the targets that crashed while they ran the same
//!   request;
//! - [`drain`] shuts this VM down gracefully;
//! - [`request`] handles a request from its arrival to its end.
//!
//! [`State`] passes events to the components, and gives each of them access to
//! what the others know. The modules hold no references to each other.

mod context;
mod effect;
mod event;
mod state;

pub mod cache;
pub mod drain;
pub mod limit;
pub mod peer;
pub mod poison;
pub mod request;
pub mod target;
pub mod status;
pub mod sync;

pub use context::{Bounds, Context, Features, Identity, Output};
pub use effect::Effect;
pub use event::{Check, Event, Kind};
pub use state::State;

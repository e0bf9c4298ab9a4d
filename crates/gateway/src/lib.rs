//! The reducer of routed services: events in, effects out.
//!
//! A gateway VM stands before pools of targets that register themselves in a
//! platform's store, by routes that operators keep there. One [`State`]
//! decides everything such a VM decides. It has no clock, socket or random
//! source: time and random bits arrive inside each [`Event`], and all it wants
//! done leaves as [`Effect`] values, so that equal lists of events give equal
//! lists of effects.
//!
//! Each concern is a module with a state of its own:
//!
//! - [`sync`] keeps up with the store: the configuration, how long it may be
//!   relied on, this VM's lease;
//! - [`target`] knows the targets: who may be sent to, their load and health;
//! - [`peer`] exchanges loads and strikes with the other VMs;
//! - [`cache`] remembers which engine holds which prompt parts;
//! - [`poison`] counts targets that died running the same request;
//! - [`request`] carries a request from its arrival to its end.
//!
//! [`State`] hands events to them and one concern's view to another; the
//! modules hold no reference to each other.

mod context;
mod effect;
mod event;
mod state;

pub mod cache;
pub mod limit;
pub mod peer;
pub mod poison;
pub mod request;
pub mod target;
pub mod status;
pub mod sync;

pub use context::{Bounds, Context, Identity, Output};
pub use effect::Effect;
pub use event::{Event, Kind};
pub use state::State;

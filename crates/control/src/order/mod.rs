//! Model placement: orders that tell engines which models to load.
//!
//! One VM at a time sends orders to the engines of a pool: the one that holds
//! the key `orders/{pool}` in the platform's store under a lease. Any of the
//! first few VMs by rendezvous hash may acquire it, so that no VM is dedicated
//! to the task and the number of store calls for a pool doesn't grow with the
//! fleet.
//!
//! - [`lock`] acquires, renews and releases the lease. The VM stops using
//!   the lease, by its own monotonic clock, well before it can expire in the
//!   store. The fencing token is checked again for each order, so that a VM
//!   that was paused sends nothing when it resumes.
//! - [`plan`] decides which models each engine should hold: a pure function of
//!   what the engines hold and of the demand, with hysteresis.
//! - [`demand`] counts requests by model, with exponential decay.
//! - [`state`](State) combines them: it reads the engines' reports before the
//!   first order, limits concurrent loads, and repeats an order while the
//!   engine's report differs from it.
//!
//! Each order carries the lease's number as its fencing token. Engines that
//! check it refuse orders of an older holder. Some engines ignore it; since an
//! order states the complete set of models, the next order corrects the effect
//! of one that arrived late. docs/ORDERS.md describes what can happen in
//! between.

pub mod demand;
pub mod lock;
pub mod plan;

mod state;

pub use state::{Policy, State, View, key};

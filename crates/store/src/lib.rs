//! The platform's key-value store, leases, watches and VM list.
//!
//! The store is the fleet's only durable storage, and the only means by which
//! VMs reach agreement. The types here are plain data: the control reducer
//! emits an [`Operation`] as an effect and receives its [`Reply`] as an event.
//! The [`Store`] and [`VmList`] traits are implemented by [`http`], and by
//! fakes in tests.

mod list;
mod position;
mod store;

pub mod http;
pub mod registry;

pub use list::{ListedVm, Role, Status, VmList};
pub use position::{Era, Position};
pub use store::{Entry, Error, Expect, Key, Lease, LeaseId, Operation, Reply, Store, Version};

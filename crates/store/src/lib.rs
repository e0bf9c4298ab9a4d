//! The platform's key-value store, leases, watches and VM list.
//!
//! The store is the only place where anything lasts or is agreed. The types
//! here are plain data, so that the control reducer can ask for an
//! [`Operation`] as an effect and receive its [`Reply`] as an event; the
//! [`Store`] and [`VmList`] traits are the border behind which [`http`] or a
//! fake stands.

mod list;
mod store;

pub mod http;
pub mod registry;

pub use list::{ListedVm, Role, Status, VmList};
pub use store::{Entry, Error, Expect, Key, Lease, LeaseId, Operation, Reply, Store, Version};

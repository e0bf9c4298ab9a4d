//! The configuration of routes, pools and client accounts, written by
//! operators.
//!
//! A [`Catalog`] is one revision of the complete configuration. It is immutable,
//! and a newer revision replaces it in one step, so that a request sees either
//! the old or the new one and never a mixture. Routes are looked up by host and
//! by the longest prefix of the path, accounts by the key that a caller sends.

mod account;
mod catalog;
mod pool;
mod route;

pub use account::Account;
pub use catalog::{Catalog, CatalogBuilder, Limits};
pub use pool::{Engine, Pool, SlowStart};
pub use route::{Kind, Route, RouteBuilder, Share};

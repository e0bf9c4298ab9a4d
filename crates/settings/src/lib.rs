//! Process settings and the environment document.
//!
//! The two are separate files on purpose. [`Process`] says what one VM is:
//! its id, data centre, addresses and keys. [`Document`] says what the fleet
//! does: accounts, pools, models and limits. The document holds no address,
//! so that the bytes proven in trial are the bytes promoted to production.

mod document;
mod process;

pub use document::{Account, Call, Document, Engine, Kind, Model, Pool, Priority, Rate, Runner};
pub use process::{Peer, Process, Tls};

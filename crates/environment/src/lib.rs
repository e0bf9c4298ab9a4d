//! An environment's document, history and reports in the platform's store.
//!
//! | key | value |
//! |---|---|
//! | `environments/E/document` | the very bytes of the document; the key's version is its revision |
//! | `environments/E/history/R` | a [`Change`]: who made revision R, when, and what it replaced |
//! | `environments/E/documents/D` | the bytes with digest D, for as long as the history names them |
//! | `environments/E/in-force/C` | a [`Report`]: what the VMs of data centre C run |
//!
//! Only the first key decides: it is written by compare-and-swap, and all
//! others can be lost without a document being lost.

mod change;
mod error;
mod key;
mod operator;
mod report;
mod swap;

pub use change::{Change, Replaced, Source};
pub use error::Error;
pub use key::{Environment, NameError};
pub use operator::{AcceptedChange, Clock, MAX_CHANGES, MAX_REPORT_AGE, Operator, StoredDocument};
pub use report::Report;

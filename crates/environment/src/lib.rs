//! Environments: their documents, change histories and reports in the
//! platform's store.
//!
//! An environment, such as `trial` or `production`, is a set of VMs that run
//! the same document. Operators put documents into an environment, and promote
//! the document of one environment to another. The store has these keys:
//!
//! | key | value |
//! |---|---|
//! | `environments/E/document` | the document in force, byte for byte; the version of the key is its revision |
//! | `environments/E/history/R` | a [`Change`]: who created revision R, when, and what it replaced |
//! | `environments/E/documents/D` | the document with digest D, while the history refers to it |
//! | `environments/E/in-force/C` | a [`Report`]: which document the VMs of data centre C run |
//!
//! The first key alone decides which document is in force. It is written by
//! compare-and-swap. If the values of the other keys are lost, the document is
//! not affected.

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

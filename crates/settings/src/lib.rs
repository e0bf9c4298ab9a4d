//! Process settings and the environment document.
//!
//! These are separate files. [`Process`] contains the settings of one VM: its id, data centre,
//! addresses and keys. [`Document`] contains the settings of the fleet: accounts, pools, models and
//! limits. The document contains no addresses, so that the bytes tested in trial can be promoted to
//! production unchanged. [`Gateway`] contains the settings of one gateway VM.
//!
//! Each type has a `parse` function that reports all faults at once. It checks the file against the
//! JSON schema, which covers single fields, and then checks the rules that involve several fields.
//! The second step works on the JSON value instead of the types, so that a fault of the first kind
//! never hides one of the second.

mod document;
mod gateway;
mod process;
mod schema;
mod value;

pub mod fault;

use briarshift_units::Size;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::fault::{Fault, Kind as FaultKind};
use crate::schema::Checker;

pub use document::{
    Account, AccountBuilder, Call, Document, DocumentBuilder, Engine, Kind, Model, Orders, Pool,
    PoolBuilder, Priority, Rate, Runner,
};
pub use fault::Faults;
pub use gateway::{Bounds, Gateway, Hedge};
pub use process::{Peer, Process, ProcessBuilder, Tls};

/// Largest size of a file, which is the largest value that the platform's store accepts.
pub const MAX_BYTES: Size = Size(1 << 20);

/// Parses bytes as a `T` after checking them against its schema and across its fields.
fn parse<T: DeserializeOwned>(
    bytes: &[u8],
    checker: &Checker,
    check_across_fields: impl Fn(&Value) -> Vec<Fault>,
) -> Result<T, Faults> {
    let size = Size(bytes.len() as u64);
    if MAX_BYTES < size {
        return Err(Faults::of_file(FaultKind::Oversized(size)));
    }
    let mut value = value::read(bytes)?;
    let mut faults = checker.faults(&value);
    faults.extend(check_across_fields(&value));
    Faults::into_result(faults)?;
    value::strip_comments(&mut value);
    serde_json::from_value(value).map_err(|err| Faults::of_file(FaultKind::Other(err.to_string())))
}

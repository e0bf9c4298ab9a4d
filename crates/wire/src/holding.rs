//! The prompt parts that engines have cached, and the parts and requests that crash
//! targets, stored for VMs that start.
//!
//! One VM writes them to the platform's store every few seconds. A VM that
//! starts reads them, because engines keep their caches when VMs are lost.

use briarshift_units::PartSet;
use serde::{Deserialize, Serialize};

use crate::heartbeat::{Crash, Placement};
use crate::{Error, versioned};

/// Version of the encoding, the first byte of the stored value.
const VERSION: u8 = 4;

/// The prompt parts that the writer believed to be cached at each engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Cached prompt parts, by engine.
    pub engines: Vec<Placement>,
    /// Sets of parts, one of each of which crashes engines. Prompts with all parts of a set
    /// are refused.
    pub blocked: Vec<PartSet>,
    /// Crashes of requests that are refused because of them.
    pub crashes: Vec<Crash>,
}

impl Holdings {
    /// Encodes the holdings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the codec can't encode them.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_wire::holding::Holdings;
    /// let none = Holdings::default();
    /// assert_eq!(Holdings::decode(&none.encode().unwrap()), Ok(none));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        versioned::encode(VERSION, self)
    }

    /// Decodes holdings.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not holdings of this version. No
    /// input makes it panic.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        versioned::decode(VERSION, bytes)
    }
}

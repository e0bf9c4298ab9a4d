//! What engines hold of prompts, as one VM writes it for those that start.

use serde::{Deserialize, Serialize};

use crate::heartbeat::Placement;
use crate::{Error, versioned};

/// Version of the encoding, the first byte.
const VERSION: u8 = 1;

/// What engines were believed to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Parts at each engine.
    pub engines: Vec<Placement>,
}

impl Holdings {
    /// Encodes them.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the codec refuses it.
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

    /// Decodes them.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; arbitrary bytes never panic.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        versioned::decode(VERSION, bytes)
    }
}

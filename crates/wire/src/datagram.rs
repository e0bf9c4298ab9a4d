//! Datagrams between the VMs of a fleet of routed services.

use serde::{Deserialize, Serialize};

use crate::heartbeat::Heartbeat;
use crate::sync::{Request, Response};
use crate::{Error, versioned};

/// Version of the encoding, the first byte.
const VERSION: u8 = 1;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// The sender's load.
    Heartbeat(Heartbeat),
    /// A question about the platform's store.
    SyncRequest(Request),
    /// Its answer.
    SyncResponse(Response),
}

impl Datagram {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the codec refuses it.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_units::Moment;
    /// use briarshift_wire::datagram::Datagram;
    /// use briarshift_wire::sync::Request;
    /// let from = "vm-1".parse().unwrap();
    /// let ask = Datagram::SyncRequest(Request { from, sent_at: Moment(5), after: 7 });
    /// assert_eq!(Datagram::decode(&ask.encode().unwrap()), Ok(ask));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        versioned::encode(VERSION, self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; arbitrary bytes never panic.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        versioned::decode(VERSION, bytes)
    }
}

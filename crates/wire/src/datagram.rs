//! UDP datagrams between the VMs of a fleet of routed services.

use serde::{Deserialize, Serialize};

use crate::crash;
use crate::evacuation;
use crate::heartbeat::Heartbeat;
use crate::leaving;
use crate::limit;
use crate::load::Report;
use crate::speed;
use crate::sync::{Request, Response};
use crate::{Error, versioned};

/// Version of the encoding, the first byte of each datagram.
const VERSION: u8 = 6;

/// The message that a datagram carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// The sender's state, sent to all peers at an interval.
    Heartbeat(Heartbeat),
    /// Requests the changes of the platform's store since a version.
    SyncRequest(Request),
    /// Answers [`Datagram::SyncRequest`].
    SyncResponse(Response),
    /// Loads at targets, between a VM and the relay of its data centre, or
    /// between relays.
    LoadReport(Report),
    /// News of crashes, sent to all peers as they are seen.
    CrashReport(crash::Report),
    /// Limits that targets name, sent to all peers as they are learned.
    LimitReport(limit::Report),
    /// Targets that leave, sent to all peers as they are learned.
    LeavingReport(leaving::Report),
    /// Data centres that operators evacuate or take back, sent to all peers as they are
    /// learned.
    EvacuationReport(evacuation::Report),
    /// Targets whose machines are slow now, sent to all peers as they are learned.
    SpeedReport(speed::Report),
}

impl Datagram {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the codec can't encode it.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_units::Moment;
    /// use briarshift_wire::datagram::Datagram;
    /// use briarshift_wire::sync::Request;
    /// let from = "vm-1".parse().unwrap();
    /// let after = briarshift_store::Position::first(7);
    /// let request = Datagram::SyncRequest(Request { from, sent_at: Moment(5), after });
    /// assert_eq!(Datagram::decode(&request.encode().unwrap()), Ok(request));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        versioned::encode(VERSION, self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not one datagram of this version.
    /// No input makes it panic.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        versioned::decode(VERSION, bytes)
    }
}

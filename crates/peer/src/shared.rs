//! State shared by the transport's tasks.

use briarshift_units::FleetId;
use quinn::Endpoint;
use tokio::sync::mpsc;

use crate::Received;
use crate::table::Table;

/// State shared by the transport's tasks.
pub(crate) struct Shared {
    pub endpoint: Endpoint,
    pub fleet: FleetId,
    pub table: Table,
    pub inbox: mpsc::Sender<Received>,
}

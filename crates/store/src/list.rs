//! The platform's list of VMs, which lags behind the actual state.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, PoolId, VmId};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::Error;

/// The role of a listed VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM, which runs `briarshift serve`. Its listed address is that
    /// of its peer listener (UDP).
    Entry,
    /// A VM that runs a target. Its listed address is that of the target's HTTP
    /// listener.
    Target {
        /// The pool that the target belongs to.
        pool: PoolId,
    },
}

/// The status of a VM, as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Id of the VM; also the id of its target, if it runs one.
    pub vm: VmId,
    /// Role of the VM.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its listener; see [`Role`].
    pub address: SocketAddr,
    /// Status of the VM.
    #[serde(rename = "standing")]
    pub status: Status,
}

/// Reads the platform's list of VMs.
pub trait VmList {
    /// Reads the complete list.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the platform did not answer with a list. The
    /// caller should then keep the last list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedVm>, Error>>;
}

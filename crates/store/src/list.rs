//! The platform's list of VMs, which lags behind the truth.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, PoolId, VmId};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::Error;

/// What a listed VM is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs `briarshift serve`; the address is its peer listener (UDP).
    Entry,
    /// Runs a target of a pool; the address is its HTTP listener.
    Target {
        /// The pool it belongs to.
        pool: PoolId,
    },
}

/// What the platform believes of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Runs.
    Live,
    /// Will be taken away.
    Leaving,
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM; a target's id is its VM's id.
    pub vm: VmId,
    /// What it is for.
    pub role: Role,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the platform believes of it.
    #[serde(rename = "standing")]
    pub status: Status,
}

/// Reads the platform's list of VMs.
pub trait VmList {
    /// The whole list.
    ///
    /// # Errors
    ///
    /// The platform's [`Error`]; keep the last list then.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedVm>, Error>>;
}

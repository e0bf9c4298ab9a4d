//! Client accounts.

use briarshift_units::AccountId;
use serde::{Deserialize, Serialize};

/// A client account. It has one or more keys, which callers send with requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, which is forwarded to targets.
    pub id: AccountId,
    /// Priority of its requests, 0 being the highest. Overrides the priority of
    /// the route.
    pub priority: Option<u8>,
}

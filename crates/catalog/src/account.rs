//! Client accounts.

use briarshift_units::AccountId;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A client account. It has one or more keys, which callers send with requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Identifies the account within the fleet, in logs and reports.
    pub id: AccountId,
    /// Name that operators gave the account, which is forwarded to targets. Any text that
    /// fits a header.
    pub name: SmolStr,
    /// Priority of its requests, 0 being the highest. Overrides the priority of
    /// the route.
    pub priority: Option<u8>,
}

//! Names in certificates: `VM.FLEET.briarshift`.
//!
//! TLS verifies DNS names, so each VM has one. Ids may contain characters that DNS labels may not.
//! Ids of VMs and fleets must therefore be lower-case DNS labels: otherwise two ids could have the
//! same name, because DNS names ignore case, or an id with a dot could pose as a VM of another
//! fleet.

use briarshift_units::{FleetId, VmId};

use crate::Error;

/// Last label of every name.
const LAST_LABEL: &str = "briarshift";
/// Longest DNS label, in bytes.
const MAX_LABEL: usize = 63;

fn label(text: &str) -> Result<&str, Error> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let hyphen_at_end = text.starts_with('-') || text.ends_with('-');
    if text.is_empty() || MAX_LABEL < text.len() || hyphen_at_end || !text.chars().all(allowed) {
        return Err(Error::Name(text.to_owned()));
    }
    Ok(text)
}

/// Returns the name of a VM in its certificate.
///
/// # Errors
///
/// [`Error::Name`] if an id is not a lower-case DNS label.
///
/// # Examples
///
/// ```
/// use briarshift_peer::name;
/// let fleet = "linen".parse().unwrap();
/// let full = name::for_vm(&"aarau-1".parse().unwrap(), &fleet).unwrap();
/// assert_eq!(full, "aarau-1.linen.briarshift");
/// assert_eq!(name::parse_vm(&full, &fleet), Some("aarau-1".parse().unwrap()));
/// ```
pub fn for_vm(vm: &VmId, fleet: &FleetId) -> Result<String, Error> {
    Ok(format!("{}.{}.{LAST_LABEL}", label(vm.as_str())?, label(fleet.as_str())?))
}

/// Returns the VM that a certificate name denotes, or `None` if the name is not of this fleet.
pub fn parse_vm(name: &str, fleet: &FleetId) -> Option<VmId> {
    let rest = name.strip_suffix(LAST_LABEL)?.strip_suffix('.')?;
    let vm = rest.strip_suffix(fleet.as_str())?.strip_suffix('.')?;
    label(vm).ok()?.parse().ok()
}

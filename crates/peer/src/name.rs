//! Names in certificates: `VM.FLEET.briarshift`.
//!
//! TLS checks DNS names, so a VM is named by one. Ids are wider than DNS
//! labels: those that name VMs and fleets must be labels too, so that no two
//! ids share a name (DNS names ignore case) and no id reaches into another
//! label.

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

/// The name of a VM in its certificate.
///
/// # Errors
///
/// [`Error::Name`] for ids that are not DNS labels in lower case.
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

/// The VM that a name stands for, if it is one of this fleet.
pub fn parse_vm(name: &str, fleet: &FleetId) -> Option<VmId> {
    let rest = name.strip_suffix(LAST_LABEL)?.strip_suffix('.')?;
    let vm = rest.strip_suffix(fleet.as_str())?.strip_suffix('.')?;
    label(vm).ok()?.parse().ok()
}

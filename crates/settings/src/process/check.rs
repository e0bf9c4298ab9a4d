//! Checks of process settings that involve several fields.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::fault::{Fault, Kind, Path};

/// Fields with TCP listeners, whose addresses must differ.
const TCP_LISTENERS: [&str; 2] = ["caller_address", "operator_address"];

/// Returns every fault that involves several fields.
pub(super) fn faults(process: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_listeners(process, &mut faults);
    check_peers(process, &mut faults);
    faults
}

fn check_listeners(process: &Value, faults: &mut Vec<Fault>) {
    let [caller, operator] = TCP_LISTENERS.map(|field| address(process, field));
    let Some(address) = caller.filter(|_| caller == operator) else { return };
    if address.port() == 0 {
        return;
    }
    let [first, second] = TCP_LISTENERS;
    let kind = Kind::AddressInUse { address: address.to_string().into(), first: first.into() };
    faults.push(Fault { path: Path::default().field(second), kind });
}

fn address(process: &Value, field: &str) -> Option<SocketAddr> {
    process[field].as_str()?.parse().ok()
}

fn check_peers(process: &Value, faults: &mut Vec<Fault>) {
    let list = Path::default().field("peers");
    let mut first =
        BTreeMap::from_iter(process["vm"].as_str().map(|vm| (vm, Path::default().field("vm"))));
    for (index, peer) in process["peers"].as_array().into_iter().flatten().enumerate() {
        let Some(vm) = peer["vm"].as_str() else { continue };
        let path = list.index(index).field("vm");
        match first.get(vm) {
            None => {
                first.insert(vm, path);
            }
            Some(earlier) => {
                let kind = Kind::Duplicate { name: vm.into(), first: earlier.clone() };
                faults.push(Fault { path, kind });
            }
        }
    }
}

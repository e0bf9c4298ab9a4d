//! Tests of the process settings: faults with their paths, and the builder.

use briarshift_settings::{Faults, Peer, Process, Tls};
use serde_json::{Value, json};

fn valid_settings() -> Value {
    let [caller, operator, peer, other] =
        ["127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8083"]
            .map(|text| text.parse().expect("an address"));
    let tls = Tls { ca: "ca.pem".into(), certificate: "vm.pem".into(), key: "vm.key".into() };
    let process = Process::builder("vm-1".parse().expect("an id"), "aarau".parse().expect("an id"))
        .listeners(caller, operator, peer)
        .platform("http://127.0.0.1:2379")
        .peer(Peer {
            vm: "vm-2".parse().expect("an id"),
            data_centre: "olten".parse().expect("an id"),
            address: other,
        })
        .tls(tls)
        .token_key(&"0".repeat(64))
        .build();
    serde_json::to_value(process).expect("settings are JSON")
}

#[track_caller]
fn check(pointer: &str, value: Value, expected: &[&str]) {
    let mut process = valid_settings();
    *process.pointer_mut(pointer).expect("a pointer to a value in the settings") = value;
    let lines = |faults: Faults| faults.iter().map(ToString::to_string).collect();
    let faults: Vec<_> =
        Process::parse(process.to_string().as_bytes()).map_or_else(lines, |_| Vec::new());
    assert_eq!(faults, expected);
}

#[test]
fn valid_settings_have_no_fault() {
    check("/workers", json!(2), &[]);
}

#[test]
fn addresses_need_a_port() {
    check(
        "/peer_address",
        json!("127.0.0.1"),
        &[
            "$.peer_address: \"127.0.0.1\" does not have the required format: ip-address:port (Address on which peers connect (UDP))",
        ],
    );
}

#[test]
fn listeners_need_different_addresses() {
    check(
        "/operator_address",
        json!("127.0.0.1:8080"),
        &[
            "$.operator_address: 127.0.0.1:8080 is already used by caller_address: give each listener its own address",
        ],
    );
}

#[test]
fn a_vm_cannot_be_its_own_peer() {
    check(
        "/peers/0/vm",
        json!("vm-1"),
        &["$.peers[0].vm: \"vm-1\" is already defined at $.vm: use different names, or remove one"],
    );
}

#[test]
fn ids_allow_only_certain_characters() {
    check(
        "/vm",
        json!("vm 1"),
        &["$.vm: \"vm 1\" does not have the required format: ^[A-Za-z0-9_.:-]+$ (Id of this VM)"],
    );
}

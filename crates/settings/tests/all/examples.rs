//! Tests of the example files in `examples/`.

use std::path::Path;

use briarshift_settings::{Document, Kind, Process};
use serde_json::Value;
use sha2::{Digest, Sha256};

fn read(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    std::fs::read(path).expect("the example")
}

/// Checks that an example document has ten accounts, one model and one pool of desk runners, and
/// that the development key in each account's comment matches its hash.
#[track_caller]
fn check(name: &str) {
    let bytes = read(name);
    let document = Document::parse(&bytes).unwrap_or_else(|faults| panic!("{name}:\n{faults}"));
    assert_eq!(document.accounts.len(), 10);
    assert_eq!(document.models.len(), 1);
    let desks = document.pools.iter().filter(|pool| matches!(pool.kind, Kind::Runner(_)));
    assert_eq!(desks.count(), 1);
    let value: Value = serde_json::from_slice(&bytes).expect("JSON");
    for account in value["accounts"].as_array().expect("a list") {
        let comment = account["comment"].as_str().expect("a comment");
        let (_, key) = comment.split_once("Development key: ").expect("a key");
        assert_eq!(account["key_sha256"], hex::encode(Sha256::digest(key)));
    }
}

#[track_caller]
fn check_process(name: &str, data_centre: &str) {
    let process = Process::parse(&read(name)).unwrap_or_else(|faults| panic!("{name}:\n{faults}"));
    assert_eq!(process.data_centre.as_str(), data_centre);
}

#[test]
fn documents_have_no_fault() {
    check("kitambaa.json");
    check("bruegger.json");
}

#[test]
fn process_settings_have_no_fault() {
    check_process("kitambaa-vm.json", "nairobi-a");
    check_process("bruegger-vm.json", "aarau");
}

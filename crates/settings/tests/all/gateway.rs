//! Tests of the gateway settings.

use briarshift_settings::Gateway;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "vm": "vm-1",
        "data_centre": "a",
        "caller_address": "10.0.0.1:80",
        "ready_address": "10.0.0.1:81",
        "operator_address": "10.0.0.1:82",
        "peer_address": "10.0.0.1:82",
        "store": "http://10.0.0.2:8223",
        "bounds": {
            "revoke_ms": 5000,
            "grace_s": 8,
            "retry_ratio": 0.2,
            "retry_extra": 52,
            "retry_window_s": 10,
            "load_factor": 2,
        },
    })
}

fn faults(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut settings = settings();
    change(&mut settings);
    let faults = Gateway::parse(settings.to_string().as_bytes()).unwrap_err();
    faults.iter().map(|fault| fault.path.to_string()).collect()
}

#[test]
fn valid_settings_are_parsed() {
    let settings = Gateway::parse(settings().to_string().as_bytes()).unwrap();
    assert_eq!((settings.vm.as_str(), settings.bounds.revoke_ms), ("vm-1", 5000));
}

#[test]
fn bounds_on_changes_have_a_default() {
    let mut given = settings();
    let parsed = Gateway::parse(given.to_string().as_bytes()).unwrap();
    assert_eq!((parsed.bounds.config_ms, parsed.bounds.leave_ms), (2_000, 2_000));
    given["bounds"]["config_ms"] = json!(3_000);
    given["bounds"]["leave_ms"] = json!(4_000);
    let parsed = Gateway::parse(given.to_string().as_bytes()).unwrap();
    assert_eq!((parsed.bounds.config_ms, parsed.bounds.leave_ms), (3_000, 4_000));
}

#[test]
fn all_faults_are_reported_at_once() {
    let paths = faults(|settings| {
        settings["vm"] = json!("vm 1");
        settings["bounds"]["revoke_ms"] = json!(10);
        settings["bounds"]["load_factor"] = Value::Null;
    });
    assert_eq!(paths, ["$.bounds.load_factor", "$.bounds.revoke_ms", "$.vm"]);
}

#[test]
fn listeners_need_different_addresses() {
    let paths = faults(|settings| settings["ready_address"] = json!("10.0.0.1:80"));
    assert_eq!(paths, ["$.ready_address"]);
}

#[test]
fn second_sends_are_off_by_default_and_checked() {
    let parsed = Gateway::parse(settings().to_string().as_bytes()).unwrap();
    assert_eq!(parsed.hedge, None);
    let mut given = settings();
    given["hedge"] = json!({ "share": 0.02 });
    let hedge = Gateway::parse(given.to_string().as_bytes()).unwrap().hedge.unwrap();
    assert_eq!((hedge.share, hedge.quantile, hedge.window_s), (0.02, 0.95, 10.0));
    let paths = faults(|settings| {
        settings["hedge"] = json!({ "share": 2, "quantile": 0.2, "window_s": 0 });
    });
    assert_eq!(paths, ["$.hedge.quantile", "$.hedge.share", "$.hedge.window_s"]);
    given["hedge"] = json!({});
    let missing = Gateway::parse(given.to_string().as_bytes()).unwrap_err().to_string();
    assert!(missing.contains("$.hedge: ") && missing.contains("share"), "{missing}");
}

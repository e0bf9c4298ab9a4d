//! Tests of documents: faults with their paths, digests and builders.

use briarshift_settings::{Account, Call, Document, Engine, Faults, Pool, Runner};
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::{prop_assert, proptest};
use serde_json::{Value, json};

/// Returns a document without faults that has one pool of engines and one of desk runners.
fn valid_document() -> Value {
    let owner = "kitambaa".parse().expect("an id");
    let account = Account::builder(
        "nairobi".parse().expect("an id"),
        "kitambaa".parse().expect("an id"),
        "k",
    );
    let engine = Engine { load_factor: 1.25, place_wait_ms: 50, overnight_share: 0.5 };
    let engines =
        Pool::engines("rota".parse().expect("an id"), "kitambaa".parse().expect("an id"), engine);
    let call = Call { method: "GET".into(), path: "stock".into() };
    let runner =
        Runner { concurrency: 4, timeout_ms: 2_000, retention_s: 60, repeatable: vec![call] };
    let runners =
        Pool::runners("desk".parse().expect("an id"), "kitambaa".parse().expect("an id"), runner);
    let document = Document::builder()
        .owner(owner)
        .account(account.build())
        .pool(engines.build())
        .pool(runners.build())
        .model("rota-1".parse().expect("an id"), "rota".parse().expect("an id"))
        .build();
    serde_json::to_value(document).expect("documents are JSON")
}

fn faults(value: &Value) -> Vec<String> {
    let lines = |faults: Faults| faults.iter().map(ToString::to_string).collect();
    Document::parse(value.to_string().as_bytes()).map_or_else(lines, |_| Vec::new())
}

/// Sets the value at `pointer` in a valid document to `value`, and checks the faults.
#[track_caller]
fn check(pointer: &str, value: Value, expected: &[&str]) {
    let mut document = valid_document();
    *document.pointer_mut(pointer).expect("a pointer to a value in the document") = value;
    assert_eq!(faults(&document), expected);
}

#[test]
fn a_valid_document_has_no_fault() {
    check("/owners/0", json!("kitambaa"), &[]);
}

#[test]
fn wrong_types_are_reported_with_the_unit() {
    check(
        "/pools/0/queue_wait_ms",
        json!("5s"),
        &[
            "$.pools[0].queue_wait_ms: found \"5s\": write an integer (Longest time that a request waits in the queue, in milliseconds)",
        ],
    );
    check(
        "/pools/1/kind/runner/timeout_ms",
        json!(0.5),
        &[
            "$.pools[1].kind.runner.timeout_ms: found 0.5: write an integer (Longest wait for a runner's answer, in milliseconds)",
        ],
    );
}

#[test]
fn unknown_fields_are_reported_with_a_suggestion() {
    let mut document = valid_document();
    document["pools"][0]["queue_wait_s"] = json!(5);
    document["owner"] = json!("x");
    document["accounts"][0]["colour"] = json!("x");
    assert_eq!(
        faults(&document),
        [
            "$: unknown field \"owner\": did you mean \"owners\"?",
            "$.accounts[0]: unknown field \"colour\": remove it, or use one of comment, id, key_sha256, owner, priority, rate",
            "$.pools[0]: unknown field \"queue_wait_s\": did you mean \"queue_wait_ms\"?",
        ]
    );
}

#[test]
fn missing_fields_are_reported_with_their_description() {
    let mut document = valid_document();
    let pool = document["pools"][0].as_object_mut().expect("an object");
    pool.remove("retry_share");
    assert_eq!(
        faults(&document),
        [
            "$.pools[0]: field \"retry_share\" is missing: add it (Retries allowed, as a fraction of first attempts, 0 to 1)"
        ]
    );
}

#[test]
fn numbers_have_ranges() {
    let factor = "$.pools[0].kind.engine.load_factor: 0.9 is out of range: write a number of at least 1 (Largest load of an engine, as a multiple of the pool's mean load, 1 or more)";
    check("/pools/0/kind/engine/load_factor", json!(0.9), &[factor]);
    let share = "$.pools[0].kind.engine.overnight_share: 1.5 is out of range: write a number of at most 1 (Fraction of an engine's capacity that overnight requests may use, 0 to 1)";
    check("/pools/0/kind/engine/overnight_share", json!(1.5), &[share]);
    let rate = "$.accounts[0].rate.per_second: 0 is out of range: write a number above 0 (Mean rate in requests per second, for the whole fleet)";
    check("/accounts/0/rate/per_second", json!(0), &[rate]);
    let burst = "$.accounts[0].rate.burst: 5000000000 is out of range: write a number of at most 4294967295 (Largest burst in requests, for the whole fleet)";
    check("/accounts/0/rate/burst", json!(5_000_000_000_u64), &[burst]);
}

#[test]
fn key_hashes_need_64_digits() {
    check(
        "/accounts/0/key_sha256",
        json!("abc"),
        &[
            "$.accounts[0].key_sha256: \"abc\" does not have the required format: ^[0-9a-f]{64}$ (SHA-256 of its bearer key, 64 lower-case hexadecimal digits)",
        ],
    );
}

#[test]
fn allowed_values_are_listed() {
    check(
        "/accounts/0/priority",
        json!("urgent"),
        &["$.accounts[0].priority: found \"urgent\": choose one of interactive, overnight"],
    );
    check(
        "/pools/0/kind",
        json!({ "motor": {} }),
        &["$.pools[0].kind: found an object: choose one of engine, runner"],
    );
}

#[test]
fn names_must_be_unique_and_defined() {
    let mut document = valid_document();
    let account = document["accounts"][0].clone();
    document["accounts"].as_array_mut().expect("a list").push(account);
    document["accounts"][1]["owner"] = json!("bruegger");
    document["models"][0]["pool"] = json!("desk");
    document["models"].as_array_mut().expect("a list").push(json!({ "id": "rota-1", "pool": "x" }));
    let call = json!({ "method": "GET", "path": "stock" });
    let calls = &mut document["pools"][1]["kind"]["runner"]["repeatable"];
    calls.as_array_mut().expect("a list").push(call);
    assert_eq!(
        faults(&document),
        [
            "$.accounts[1].id: \"nairobi\" is already defined at $.accounts[0].id: use different names, or remove one",
            "$.accounts[1].key_sha256: \"8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a\" is already defined at $.accounts[0].key_sha256: use different names, or remove one",
            "$.accounts[1].owner: \"bruegger\" is not in $.owners: add it there, or use one of kitambaa",
            "$.models[0].pool: pool \"desk\" contains desk runners: choose a pool of kind \"engine\"",
            "$.models[1].id: model \"rota-1\" is already served by pool \"desk\" at $.models[0].pool: remove one of the two",
            "$.models[1].pool: \"x\" is not in $.pools: add it there, or use one of rota, desk",
            "$.pools[1].kind.runner.repeatable[1]: \"GET stock\" is already defined at $.pools[1].kind.runner.repeatable[0]: use different names, or remove one",
        ]
    );
}

#[test]
fn faults_of_single_fields_do_not_hide_faults_across_fields() {
    let mut document = valid_document();
    document["pools"][0]["queue_wait_ms"] = json!("5s");
    document["models"][0]["pool"] = json!("x");
    assert_eq!(faults(&document).len(), 2);
}

#[test]
fn comments_are_allowed_in_all_objects_and_change_the_digest() {
    let plain = valid_document();
    let mut commented = plain.clone();
    commented["accounts"][0]["comment"] = json!("a");
    commented["pools"][0]["kind"]["engine"]["comment"] = json!("b");
    let [plain, commented] = [plain, commented].map(|value| value.to_string().into_bytes());
    assert_eq!(Document::parse(&plain), Document::parse(&commented));
    assert_ne!(Document::digest(&plain), Document::digest(&commented));
}

#[test]
fn integers_may_have_a_decimal_point() {
    check("/pools/0/queue_wait_ms", json!(5.0), &[]);
}

#[track_caller]
fn check_bytes(bytes: &[u8], expected: &str) {
    let faults = Document::parse(bytes).expect_err("a fault");
    assert_eq!(faults.to_string(), expected);
}

#[test]
fn invalid_json_is_one_fault() {
    check_bytes(
        b"{ \"owners\": [], \"owners\": [] }",
        "$: not valid JSON (field \"owners\" appears twice at line 1 column 24): correct the syntax there",
    );
    check_bytes(
        b"{",
        "$: not valid JSON (EOF while parsing an object at line 1 column 1): correct the syntax there",
    );
    check_bytes(
        &[b' '; (1 << 20) + 1],
        "$: the file has 1048577 B, but the store accepts at most 1048576 B: shorten it",
    );
}

/// Generates small JSON values.
fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<Option<bool>>().prop_map(|value| json!(value)),
        any::<f64>().prop_map(|value| json!(value)),
        any::<u64>().prop_map(|value| json!(value)),
        "[a-z0-9 ]{0,8}".prop_map(|value| json!(value)),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(|value| json!(value)),
            proptest::collection::btree_map("[a-z_]{1,6}", inner, 0..4)
                .prop_map(|value| json!(value)),
        ]
    })
}

/// Adds the JSON pointers of a value and of all values in it to `found`.
fn pointers(value: &Value, prefix: &str, found: &mut Vec<String>) {
    found.push(prefix.to_owned());
    match value {
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                pointers(item, &format!("{prefix}/{i}"), found);
            }
        }
        Value::Object(fields) => {
            for (name, field) in fields {
                pointers(field, &format!("{prefix}/{name}"), found);
            }
        }
        _ => {}
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_faults(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Document::parse(&bytes).is_err());
    }

    /// The schema must reject every value that the types reject. Otherwise the decoder would report
    /// the fault, and it does not know the path.
    #[test]
    fn every_fault_has_a_path(at in any::<proptest::sample::Index>(), value in json_value()) {
        let mut document = valid_document();
        let mut all = Vec::new();
        pointers(&document, "", &mut all);
        *document.pointer_mut(at.get::<String>(&all)).expect("a pointer to a value") = value;
        if let Err(faults) = Document::parse(document.to_string().as_bytes()) {
            let other = |fault: &briarshift_settings::fault::Fault| {
                matches!(fault.kind, briarshift_settings::fault::Kind::Other(_))
            };
            prop_assert!(!faults.iter().any(other), "{faults}");
        }
    }
}

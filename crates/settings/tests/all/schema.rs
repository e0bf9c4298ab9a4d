//! Tests of the schemas that `briarshift config schema` prints.

use briarshift_settings::{Document, Process};
use serde_json::Value;

#[track_caller]
fn check(schema: &Value, pointer: &str, expected: &Value) {
    assert_eq!(schema.pointer(pointer), Some(expected));
}

#[test]
fn schemas_contain_ranges_and_formats() {
    let schema = Document::schema();
    check(&schema, "/$defs/Engine/properties/load_factor/minimum", &1.into());
    check(&schema, "/$defs/Account/properties/key_sha256/pattern", &"^[0-9a-f]{64}$".into());
    check(&schema, "/$defs/Account/properties/comment/type", &"string".into());
    check(&schema, "/additionalProperties", &false.into());
    check(&Process::schema(), "/properties/caller_address/format", &"ip-address:port".into());
}

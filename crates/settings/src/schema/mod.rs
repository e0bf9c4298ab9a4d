//! JSON schemas of the settings, and checks against them.
//!
//! The schema expresses every rule for a single field (type, range, format), so that editors and
//! other tools report the same faults as `briarshift config check`. Rules that involve several
//! fields are checked in the module of each settings type.

mod convert;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonschema::Validator;
use schemars::transform::{RecursiveTransform, Transform};
use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde_json::{Value, json};

use crate::fault::{Fault, Kind};

/// Name of the field that may hold a comment in any object.
pub(crate) const COMMENT_FIELD: &str = "comment";
/// Name of the schema format for an IP address with a port.
pub(crate) const SOCKET_ADDRESS: &str = "ip-address:port";

/// A schema and its compiled validator.
pub(crate) struct Checker {
    schema: Value,
    validator: Validator,
}

impl Checker {
    /// Returns a checker for the schema of `T`.
    pub(crate) fn new<T: JsonSchema>() -> Self {
        let schema = schema::<T>();
        let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
        let validator = jsonschema::options()
            .with_format(SOCKET_ADDRESS, is_address)
            .should_validate_formats(true)
            .build(&schema)
            .expect("schemars writes valid schemas");
        Self { schema, validator }
    }

    /// Returns every fault that the schema finds in a value. A value of the wrong type is not also
    /// reported as out of range.
    pub(crate) fn faults(&self, value: &Value) -> Vec<Fault> {
        let mut faults = Vec::new();
        for error in self.validator.iter_errors(value) {
            convert::add_faults(&self.schema, &error, &mut faults);
        }
        let is_type = |fault: &&Fault| matches!(fault.kind, Kind::Type { .. });
        let mistyped: BTreeSet<_> =
            faults.iter().filter(is_type).map(|fault| fault.path.clone()).collect();
        faults.retain(|fault| {
            !matches!(fault.kind, Kind::OutOfRange { .. }) || !mistyped.contains(&fault.path)
        });
        faults
    }
}

/// Returns the JSON schema of `T`, draft 2020-12.
pub(crate) fn schema<T: JsonSchema>() -> Value {
    let mut schema = SchemaGenerator::default().into_root_schema_for::<T>();
    RecursiveTransform(allow_comment).transform(&mut schema);
    RecursiveTransform(add_integer_maximum).transform(&mut schema);
    schema.to_value()
}

/// Allows a comment field in each object that forbids unknown fields.
fn allow_comment(schema: &mut Schema) {
    if schema.get("additionalProperties") != Some(&Value::Bool(false)) {
        return;
    }
    let Some(Value::Object(fields)) = schema.get_mut("properties") else { return };
    if !fields.contains_key(COMMENT_FIELD) {
        let comment = json!({ "type": "string", "description": "Free text for readers." });
        fields.insert(COMMENT_FIELD.to_owned(), comment);
    }
}

/// Adds the maximum that an integer format implies, since validators ignore these formats.
fn add_integer_maximum(schema: &mut Schema) {
    let max = match schema.get("format").and_then(Value::as_str) {
        Some("uint32") => u64::from(u32::MAX),
        Some("uint64" | "uint") => u64::MAX,
        _ => return,
    };
    if schema.get("maximum").is_none() {
        schema.insert("maximum".to_owned(), max.into());
    }
}

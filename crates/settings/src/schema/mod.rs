//! JSON schemas of the settings, and checks against them.
//!
//! All that one field can get wrong by itself (type, range, form) stands in
//! the schema, so that editors and other tools find the same faults as
//! `briarshift config check`. What needs a look at several fields is checked
//! beside each type.

mod convert;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonschema::Validator;
use schemars::transform::{RecursiveTransform, Transform};
use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde_json::{Value, json};

use crate::fault::{Fault, Kind};

/// Name of the field that holds free text in any object.
pub(crate) const COMMENT: &str = "comment";
/// Format of an address with a port.
pub(crate) const SOCKET_ADDRESS: &str = "ip-address:port";

/// A schema, ready to check values.
pub(crate) struct Checker {
    schema: Value,
    validator: Validator,
}

impl Checker {
    /// A checker for `T`.
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

    /// Every fault of a value that its schema can tell. A value of the wrong
    /// type is not told to be out of range too.
    pub(crate) fn faults(&self, value: &Value) -> Vec<Fault> {
        let mut faults = Vec::new();
        for error in self.validator.iter_errors(value) {
            convert::error(&self.schema, &error, &mut faults);
        }
        let mistyped = |fault: &&Fault| matches!(fault.kind, Kind::Type { .. });
        let mistyped: BTreeSet<_> =
            faults.iter().filter(mistyped).map(|fault| fault.path.clone()).collect();
        faults.retain(|fault| {
            !matches!(fault.kind, Kind::Range { .. }) || !mistyped.contains(&fault.path)
        });
        faults
    }
}

/// The JSON schema of `T`, draft 2020-12.
pub(crate) fn schema<T: JsonSchema>() -> Value {
    let mut schema = SchemaGenerator::default().into_root_schema_for::<T>();
    RecursiveTransform(allow_comment).transform(&mut schema);
    RecursiveTransform(bound_integer).transform(&mut schema);
    schema.to_value()
}

/// Allows a comment in each object that names all its fields.
fn allow_comment(schema: &mut Schema) {
    if schema.get("additionalProperties") != Some(&Value::Bool(false)) {
        return;
    }
    let Some(Value::Object(fields)) = schema.get_mut("properties") else { return };
    if !fields.contains_key(COMMENT) {
        let comment = json!({ "type": "string", "description": "Free text for readers." });
        fields.insert(COMMENT.to_owned(), comment);
    }
}

/// States the upper bound that a format implies: validators don't know it.
fn bound_integer(schema: &mut Schema) {
    let max = match schema.get("format").and_then(Value::as_str) {
        Some("uint32") => u64::from(u32::MAX),
        Some("uint64" | "uint") => u64::MAX,
        _ => return,
    };
    if schema.get("maximum").is_none() {
        schema.insert("maximum".to_owned(), max.into());
    }
}

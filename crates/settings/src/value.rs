//! Parsing of settings files to JSON values.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::fault::{Faults, Kind};

/// 2^53. All integers up to it have an exact representation as `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Parses bytes as one JSON value.
///
/// Duplicate fields are errors, since JSON parsers differ on which of the two they use. An integer
/// written as `5.0` is read as `5`, because JSON schema defines both as the same integer.
///
/// # Errors
///
/// One fault, for the first position that can't be parsed.
pub(crate) fn read(bytes: &[u8]) -> Result<Value, Faults> {
    let Strict(value) = serde_json::from_slice(bytes)
        .map_err(|err| Faults::of_file(Kind::Syntax(err.to_string())))?;
    Ok(value)
}

/// Removes the comments from all objects below the outermost, whose types have no field for them.
pub(crate) fn strip_comments(value: &mut Value) {
    let Value::Object(fields) = value else { return };
    fields.values_mut().for_each(strip);
}

fn strip(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.remove(crate::schema::COMMENT_FIELD);
            fields.values_mut().for_each(strip);
        }
        Value::Array(items) => items.iter_mut().for_each(strip),
        _ => {}
    }
}

/// A JSON value without duplicate fields.
struct Strict(Value);

impl<'de> Deserialize<'de> for Strict {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(StrictVisitor)
    }
}

struct StrictVisitor;

impl<'de> Visitor<'de> for StrictVisitor {
    type Value = Strict;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Strict, E> {
        Ok(Strict(Value::Null))
    }

    fn visit_bool<E>(self, value: bool) -> Result<Strict, E> {
        Ok(Strict(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Strict, E> {
        Ok(Strict(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Strict, E> {
        Ok(Strict(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Strict, E> {
        if value.fract() == 0.0 && value.abs() <= MAX_EXACT_INTEGER {
            return Ok(Strict(integer(value)));
        }
        Ok(Strict(Number::from_f64(value).map_or(Value::Null, Value::Number)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Strict, E> {
        Ok(Strict(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Strict, A::Error> {
        let mut items = Vec::new();
        while let Some(Strict(item)) = seq.next_element()? {
            items.push(item);
        }
        Ok(Strict(items.into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Strict, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format!("field {name:?} appears twice")));
            }
            let Strict(value) = map.next_value()?;
            fields.insert(name, value);
        }
        Ok(Strict(fields.into()))
    }
}

/// Converts a float without a fraction, at most [`MAX_EXACT_INTEGER`] in magnitude, to an integer.
fn integer(value: f64) -> Value {
    if value < 0.0 { Value::from(value as i64) } else { Value::from(value as u64) }
}

//! From a validator's errors to faults.

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::paths::{Location, LocationSegment};
use jsonschema::{JsonType, ValidationError};
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Kind, Path, Segment};

/// Longest part of a found value that a message repeats, in characters.
const MAX_SHOWN: usize = 40;

/// Adds the faults that one error stands for.
pub(super) fn error(schema: &Value, error: &ValidationError<'_>, faults: &mut Vec<Fault>) {
    let path = path(error.instance_path());
    let found = shown(error.instance());
    let meaning = meaning(schema, error);
    let range = |bound: String| Kind::Range {
        found: found.clone(),
        bound: bound.into(),
        meaning: meaning.clone(),
    };
    let form = |form: SmolStr| Kind::Form { found: found.clone(), form, meaning: meaning.clone() };
    let kind = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            return unknown(schema, error, &path, unexpected, faults);
        }
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            return choice(schema, error, &path, context, faults);
        }
        ValidationErrorKind::Required { property } => {
            let field = text(property);
            let meaning = field_meaning(schema, error, &field);
            Kind::Missing { field, meaning }
        }
        ValidationErrorKind::Type { kind } => {
            let expected = types(kind);
            Kind::Type { expected, found, meaning }
        }
        ValidationErrorKind::Minimum { limit } => range(format!("of at least {limit}")),
        ValidationErrorKind::Maximum { limit } => range(format!("of at most {limit}")),
        ValidationErrorKind::ExclusiveMinimum { limit } => range(format!("above {limit}")),
        ValidationErrorKind::Pattern { pattern } => form(pattern.into()),
        ValidationErrorKind::Format { format } => form(format.into()),
        ValidationErrorKind::MinLength { limit } => {
            form(format!("of at least {limit} characters").into())
        }
        ValidationErrorKind::MaxLength { limit } => {
            form(format!("of at most {limit} characters").into())
        }
        ValidationErrorKind::Enum { options } => {
            let options = options.as_array().map_or(&[][..], Vec::as_slice);
            Kind::Choice { found, options: options.iter().map(text).collect() }
        }
        ValidationErrorKind::Constant { expected_value } => {
            Kind::Choice { found, options: vec![text(expected_value)] }
        }
        _ => Kind::Refused(error.to_string()),
    };
    faults.push(Fault { path, kind });
}

/// One fault for each unknown field.
fn unknown(
    schema: &Value,
    error: &ValidationError<'_>,
    path: &Path,
    unexpected: &[String],
    faults: &mut Vec<Fault>,
) {
    let fields = fields(schema, error);
    for field in unexpected {
        let similar = fields.iter().find(|name| is_similar(name, field)).cloned();
        let kind = Kind::Unknown { field: field.into(), similar, fields: fields.clone() };
        faults.push(Fault { path: path.clone(), kind });
    }
}

/// The faults of the alternative that was meant, or the alternatives.
fn choice(
    schema: &Value,
    parent: &ValidationError<'_>,
    path: &Path,
    context: &[Vec<ValidationError<'static>>],
    faults: &mut Vec<Fault>,
) {
    let depth = parent.instance_path().as_str().len();
    let is_inside = |error: &ValidationError<'_>| depth < error.instance_path().as_str().len();
    let meant = context.iter().find(|errors| !errors.is_empty() && errors.iter().all(is_inside));
    if let Some(errors) = meant {
        errors.iter().for_each(|inner| error(schema, inner, faults));
        return;
    }
    let options = context.iter().flatten().filter_map(option).collect();
    let kind = Kind::Choice { found: shown(parent.instance()), options };
    faults.push(Fault { path: path.clone(), kind });
}

/// What an alternative would have accepted.
fn option(error: &ValidationError<'_>) -> Option<SmolStr> {
    match error.kind() {
        ValidationErrorKind::Required { property } => Some(text(property)),
        ValidationErrorKind::Constant { expected_value } => Some(text(expected_value)),
        _ => None,
    }
}

fn path(location: &Location) -> Path {
    location.iter().map(segment).collect()
}

fn segment(segment: LocationSegment<'_>) -> Segment {
    match segment {
        LocationSegment::Property(name) => Segment::Field(name.as_ref().into()),
        LocationSegment::Index(index) => Segment::Index(index),
    }
}

/// The description of the field at which an error arose.
///
/// A field may refer to a type that has a description of its own; the field's
/// says more, so the path is followed through each reference.
fn meaning(schema: &Value, error: &ValidationError<'_>) -> SmolStr {
    let mut node = schema;
    let mut meaning = SmolStr::default();
    let mut is_name = false;
    for segment in error.evaluation_path() {
        let next = match &segment {
            LocationSegment::Index(index) => node.get(index),
            LocationSegment::Property(key) if key == "$ref" && !is_name => referent(schema, node),
            LocationSegment::Property(key) => node.get(key.as_ref()),
        };
        let Some(next) = next else { break };
        if is_name {
            meaning = description(next);
        }
        let is_properties =
            matches!(&segment, LocationSegment::Property(key) if key == "properties");
        is_name = is_properties && !is_name;
        node = next;
    }
    meaning
}

/// What a schema's `$ref` names.
fn referent<'a>(schema: &'a Value, node: &Value) -> Option<&'a Value> {
    let pointer = node.get("$ref")?.as_str()?.strip_prefix('#')?;
    schema.pointer(pointer)
}

/// The description of a field of the object at which an error arose.
fn field_meaning(schema: &Value, error: &ValidationError<'_>, field: &str) -> SmolStr {
    let object = parent(schema, error);
    let field = object.and_then(|object| object.get("properties")?.get(field));
    field.map(description).unwrap_or_default()
}

/// All fields of the object at which an error arose.
fn fields(schema: &Value, error: &ValidationError<'_>) -> Vec<SmolStr> {
    let object = parent(schema, error);
    let fields = object.and_then(|object| object.get("properties")?.as_object());
    fields.map(|fields| fields.keys().map(SmolStr::from).collect()).unwrap_or_default()
}

/// The schema that holds the keyword that failed.
fn parent<'a>(schema: &'a Value, error: &ValidationError<'_>) -> Option<&'a Value> {
    let pointer = error.schema_path().as_str();
    let (parent, _) = pointer.rsplit_once('/')?;
    schema.pointer(parent)
}

/// The first sentence of a description, on one line.
fn description(schema: &Value) -> SmolStr {
    let text = schema.get("description").and_then(Value::as_str).unwrap_or_default();
    let text = text.split("\n\n").next().unwrap_or_default().replace('\n', " ");
    text.trim_end_matches('.').into()
}

fn types(kind: &TypeKind) -> SmolStr {
    match kind {
        TypeKind::Single(JsonType::Integer) => "a whole number".into(),
        TypeKind::Single(JsonType::Array) => "a list in []".into(),
        TypeKind::Single(JsonType::Object) => "an object in {}".into(),
        TypeKind::Single(JsonType::String) => "a text in quotes".into(),
        TypeKind::Single(kind) => format!("a {kind}").into(),
        TypeKind::Multiple(kinds) => {
            kinds.iter().map(|kind| kind.to_string()).collect::<Vec<_>>().join(" or ").into()
        }
    }
}

/// Whether two names differ in their unit only, or in one letter.
fn is_similar(known: &str, given: &str) -> bool {
    let stem = |name: &str| name.rsplit_once('_').map_or(name, |(stem, _)| stem).to_owned();
    stem(known) == stem(given) || known.starts_with(given) || is_one_off(known, given)
}

/// Whether two names of one length differ in one letter, or one of them has
/// one letter more.
fn is_one_off(a: &str, b: &str) -> bool {
    if 1 < a.len().abs_diff(b.len()) {
        return false;
    }
    let prefix = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let suffix = a.bytes().rev().zip(b.bytes().rev()).take_while(|(x, y)| x == y).count();
    a.len().max(b.len()) <= prefix + suffix + 1
}

/// A text without its quotes, anything else as JSON.
fn text(value: &Value) -> SmolStr {
    value.as_str().map_or_else(|| value.to_smolstr(), SmolStr::from)
}

/// A value as JSON, shortened.
fn shown(value: &Value) -> SmolStr {
    let text = match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        value => value.to_string(),
    };
    match text.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => format!("{}…", &text[..end]).into(),
        None => text.into(),
    }
}

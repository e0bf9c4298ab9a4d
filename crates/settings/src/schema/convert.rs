//! Conversion of schema validation errors to faults.

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::paths::{Location, LocationSegment};
use jsonschema::{JsonType, ValidationError};
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Kind, Path, Segment};

/// Longest part of an invalid value that a message shows, in characters.
const MAX_SHOWN_CHARS: usize = 40;

/// Adds the faults that a validation error corresponds to.
pub(super) fn add_faults(schema: &Value, error: &ValidationError<'_>, faults: &mut Vec<Fault>) {
    let path = path(error.instance_path());
    let found = abbreviate(error.instance());
    let description = description_at(schema, error);
    let range = |bound: String| Kind::OutOfRange {
        found: found.clone(),
        bound: bound.into(),
        description: description.clone(),
    };
    let wrong_format = |format: SmolStr| Kind::Format {
        found: found.clone(),
        format,
        description: description.clone(),
    };
    let kind = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            return add_unknown_fields(schema, error, &path, unexpected, faults);
        }
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            return add_choice(schema, error, &path, context, faults);
        }
        ValidationErrorKind::Required { property } => {
            let field = text(property);
            let description = property_description(schema, error, &field);
            Kind::MissingField { field, description }
        }
        ValidationErrorKind::Type { kind } => {
            let expected = type_names(kind);
            Kind::Type { expected, found, description }
        }
        ValidationErrorKind::Minimum { limit } => range(format!("of at least {limit}")),
        ValidationErrorKind::Maximum { limit } => range(format!("of at most {limit}")),
        ValidationErrorKind::ExclusiveMinimum { limit } => range(format!("above {limit}")),
        ValidationErrorKind::Pattern { pattern } => wrong_format(pattern.into()),
        ValidationErrorKind::Format { format } => wrong_format(format.into()),
        ValidationErrorKind::MinLength { limit } => {
            wrong_format(format!("at least {limit} characters").into())
        }
        ValidationErrorKind::MaxLength { limit } => {
            wrong_format(format!("at most {limit} characters").into())
        }
        ValidationErrorKind::Enum { options } => {
            let options = options.as_array().map_or(&[][..], Vec::as_slice);
            Kind::Choice { found, options: options.iter().map(text).collect() }
        }
        ValidationErrorKind::Constant { expected_value } => {
            Kind::Choice { found, options: vec![text(expected_value)] }
        }
        _ => Kind::Other(error.to_string()),
    };
    faults.push(Fault { path, kind });
}

/// Adds one fault for each unknown field.
fn add_unknown_fields(
    schema: &Value,
    error: &ValidationError<'_>,
    path: &Path,
    unexpected: &[String],
    faults: &mut Vec<Fault>,
) {
    let fields = known_fields(schema, error);
    for field in unexpected {
        let similar = fields.iter().find(|name| is_similar(name, field)).cloned();
        let kind = Kind::UnknownField { field: field.into(), similar, fields: fields.clone() };
        faults.push(Fault { path: path.clone(), kind });
    }
}

/// Adds the faults of a value for which the schema has several alternatives. If only nested values
/// violate one alternative, that one was intended and its faults are added; otherwise one fault
/// lists the alternatives.
fn add_choice(
    schema: &Value,
    parent: &ValidationError<'_>,
    path: &Path,
    context: &[Vec<ValidationError<'static>>],
    faults: &mut Vec<Fault>,
) {
    let depth = parent.instance_path().as_str().len();
    let is_inside = |error: &ValidationError<'_>| depth < error.instance_path().as_str().len();
    let intended = context.iter().find(|errors| !errors.is_empty() && errors.iter().all(is_inside));
    if let Some(errors) = intended {
        errors.iter().for_each(|inner| add_faults(schema, inner, faults));
        return;
    }
    let options = context.iter().flatten().filter_map(allowed_value).collect();
    let kind = Kind::Choice { found: abbreviate(parent.instance()), options };
    faults.push(Fault { path: path.clone(), kind });
}

/// Returns the field or value that an alternative requires.
fn allowed_value(error: &ValidationError<'_>) -> Option<SmolStr> {
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

/// Returns the description of the field at which an error occurred.
///
/// Both the field and the type that its schema references may have a description. The field's is
/// more specific, so this function follows the evaluation path through all references and returns
/// the description of the last field on it.
fn description_at(schema: &Value, error: &ValidationError<'_>) -> SmolStr {
    let mut node = schema;
    let mut description = SmolStr::default();
    let mut is_property_name = false;
    for segment in error.evaluation_path() {
        let next = match &segment {
            LocationSegment::Index(index) => node.get(index),
            LocationSegment::Property(key) if key == "$ref" && !is_property_name => {
                resolve_ref(schema, node)
            }
            LocationSegment::Property(key) => node.get(key.as_ref()),
        };
        let Some(next) = next else { break };
        if is_property_name {
            description = first_paragraph(next);
        }
        let is_properties =
            matches!(&segment, LocationSegment::Property(key) if key == "properties");
        is_property_name = is_properties && !is_property_name;
        node = next;
    }
    description
}

/// Returns the schema that the `$ref` of `node` points to.
fn resolve_ref<'a>(schema: &'a Value, node: &Value) -> Option<&'a Value> {
    let pointer = node.get("$ref")?.as_str()?.strip_prefix('#')?;
    schema.pointer(pointer)
}

/// Returns the description of a field of the object at which an error occurred.
fn property_description(schema: &Value, error: &ValidationError<'_>, field: &str) -> SmolStr {
    let object = parent_schema(schema, error);
    let field = object.and_then(|object| object.get("properties")?.get(field));
    field.map(first_paragraph).unwrap_or_default()
}

/// Returns the names of all fields of the object at which an error occurred.
fn known_fields(schema: &Value, error: &ValidationError<'_>) -> Vec<SmolStr> {
    let object = parent_schema(schema, error);
    let fields = object.and_then(|object| object.get("properties")?.as_object());
    fields.map(|fields| fields.keys().map(SmolStr::from).collect()).unwrap_or_default()
}

/// Returns the schema that contains the keyword that failed.
fn parent_schema<'a>(schema: &'a Value, error: &ValidationError<'_>) -> Option<&'a Value> {
    let pointer = error.schema_path().as_str();
    let (parent, _) = pointer.rsplit_once('/')?;
    schema.pointer(parent)
}

/// Returns the first paragraph of a schema's description, on one line and without the final period.
fn first_paragraph(schema: &Value) -> SmolStr {
    let text = schema.get("description").and_then(Value::as_str).unwrap_or_default();
    let text = text.split("\n\n").next().unwrap_or_default().replace('\n', " ");
    text.trim_end_matches('.').into()
}

fn type_names(kind: &TypeKind) -> SmolStr {
    match kind {
        TypeKind::Single(JsonType::Integer) => "an integer".into(),
        TypeKind::Single(JsonType::Array) => "a list in []".into(),
        TypeKind::Single(JsonType::Object) => "an object in {}".into(),
        TypeKind::Single(JsonType::String) => "a string in quotes".into(),
        TypeKind::Single(kind) => format!("a {kind}").into(),
        TypeKind::Multiple(kinds) => {
            kinds.iter().map(|kind| kind.to_string()).collect::<Vec<_>>().join(" or ").into()
        }
    }
}

/// Returns true if two field names differ only in their last part, which is usually the unit, or in
/// one letter, or if the known name starts with the given one.
fn is_similar(known: &str, given: &str) -> bool {
    let stem = |name: &str| name.rsplit_once('_').map_or(name, |(stem, _)| stem).to_owned();
    stem(known) == stem(given) || known.starts_with(given) || differ_by_one_letter(known, given)
}

/// Returns true if one name becomes the other by replacing, adding or removing one letter.
fn differ_by_one_letter(a: &str, b: &str) -> bool {
    if 1 < a.len().abs_diff(b.len()) {
        return false;
    }
    let prefix = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let suffix = a.bytes().rev().zip(b.bytes().rev()).take_while(|(x, y)| x == y).count();
    a.len().max(b.len()) <= prefix + suffix + 1
}

/// Returns a string without its quotes, and any other value as JSON.
fn text(value: &Value) -> SmolStr {
    value.as_str().map_or_else(|| value.to_smolstr(), SmolStr::from)
}

/// Returns a value as JSON, shortened to [`MAX_SHOWN_CHARS`].
fn abbreviate(value: &Value) -> SmolStr {
    let text = match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        value => value.to_string(),
    };
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]).into(),
        None => text.into(),
    }
}

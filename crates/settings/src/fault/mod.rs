//! Validation faults of a settings file.
//!
//! A check reports every fault that it finds, so that an operator can correct them all before the
//! next attempt.

mod path;

use std::fmt;

use briarshift_units::Size;
use smol_str::SmolStr;

pub use path::{Path, Segment};

/// Kind of a fault. Each message includes the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The bytes are not one JSON value.
    #[error("not valid JSON ({0}): correct the syntax there")]
    Syntax(String),
    /// The file is larger than the values that the platform's store accepts.
    #[error("the file has {0}, but the store accepts at most {max}: shorten it", max = crate::MAX_BYTES)]
    Oversized(Size),
    /// The object has a field that its type does not define.
    #[error("unknown field {field:?}: {}", suggestion(.similar.as_ref(), .fields))]
    UnknownField {
        /// Name of the field.
        field: SmolStr,
        /// A known field with a similar name.
        similar: Option<SmolStr>,
        /// All fields that the type defines.
        fields: Vec<SmolStr>,
    },
    /// A required field is missing.
    #[error("field {field:?} is missing: add it{}", in_parentheses(.description))]
    MissingField {
        /// Name of the field.
        field: SmolStr,
        /// Description of the field, with its unit.
        description: SmolStr,
    },
    /// A value has the wrong JSON type, such as a string with a unit instead of a number.
    #[error("found {found}: write {expected}{}", in_parentheses(.description))]
    Type {
        /// The allowed types.
        expected: SmolStr,
        /// The value found, shortened.
        found: SmolStr,
        /// Description of the field, with its unit.
        description: SmolStr,
    },
    /// A number is outside its range.
    #[error("{found} is out of range: write a number {bound}{}", in_parentheses(.description))]
    OutOfRange {
        /// The number found.
        found: SmolStr,
        /// The bound that it violates, such as `of at least 1`.
        bound: SmolStr,
        /// Description of the field, with its unit.
        description: SmolStr,
    },
    /// A string does not have the required format.
    #[error("{found} does not have the required format: {format}{}", in_parentheses(.description))]
    Format {
        /// The string found, shortened.
        found: SmolStr,
        /// The required pattern, format name or length.
        format: SmolStr,
        /// Description of the field.
        description: SmolStr,
    },
    /// A value is none of the allowed values, or has none of the fields of which one is required.
    #[error("found {found}: choose one of {}", comma_separated(.options))]
    Choice {
        /// The value found, shortened.
        found: SmolStr,
        /// The allowed values or fields.
        options: Vec<SmolStr>,
    },
    /// An id or call appears twice in a list.
    #[error("{name:?} is already defined at {first}: use different names, or remove one")]
    Duplicate {
        /// The id or call.
        name: SmolStr,
        /// Path of its first occurrence.
        first: Path,
    },
    /// A name refers to an item that is not defined.
    #[error("{name:?} is not in {list}: add it there, or use one of {}", comma_separated(.known))]
    UnknownName {
        /// The name.
        name: SmolStr,
        /// The list that should define it.
        list: Path,
        /// The first few names that the list defines.
        known: Vec<SmolStr>,
    },
    /// A model is assigned to two pools.
    #[error("model {name:?} is already served by pool {pool:?} at {first}: remove one of the two")]
    SharedModel {
        /// The model.
        name: SmolStr,
        /// The pool of its first occurrence.
        pool: SmolStr,
        /// Path of its first occurrence.
        first: Path,
    },
    /// A model is assigned to a pool of desk runners.
    #[error("pool {0:?} contains desk runners: choose a pool of kind \"engine\"")]
    NotEnginePool(SmolStr),
    /// Two listeners have the same address.
    #[error("{address} is already used by {first}: give each listener its own address")]
    AddressInUse {
        /// The address.
        address: SmolStr,
        /// The other field with this address.
        first: SmolStr,
    },
    /// Another error of the schema validator or of the decoder.
    #[error("{0}: compare with `briarshift config schema`")]
    Other(String),
}

fn suggestion(similar: Option<&SmolStr>, fields: &[SmolStr]) -> String {
    match similar {
        Some(name) => format!("did you mean {name:?}?"),
        None => format!("remove it, or use one of {}", comma_separated(fields)),
    }
}

fn in_parentheses(text: &SmolStr) -> String {
    if text.is_empty() { String::new() } else { format!(" ({text})") }
}

fn comma_separated(names: &[SmolStr]) -> String {
    if names.is_empty() {
        return "(nothing defined)".to_owned();
    }
    names.join(", ")
}

/// A fault and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the invalid value in the file.
    pub path: Path,
    /// What is wrong with the value.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}

/// All faults of one file, sorted by path. It contains at least one.
///
/// # Examples
///
/// ```
/// use briarshift_settings::Document;
/// let faults = Document::parse(b"{ \"owners\": [1] }").unwrap_err();
/// let paths: Vec<_> = faults.iter().map(|fault| fault.path.to_string()).collect();
/// assert_eq!(paths, ["$", "$", "$", "$.owners[0]"]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Returns `Ok` if there are no faults, and the sorted faults without duplicates otherwise.
    pub(crate) fn into_result(mut faults: Vec<Fault>) -> Result<(), Self> {
        if faults.is_empty() {
            return Ok(());
        }
        faults.sort_by(|a, b| a.path.cmp(&b.path));
        faults.dedup();
        Err(Self(faults))
    }

    /// Returns one fault that concerns the file as a whole.
    pub(crate) fn of_file(kind: Kind) -> Self {
        Self(vec![Fault { path: Path::default(), kind }])
    }

    /// Iterates over the faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }

    /// Returns the number of faults.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if 0 < i {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

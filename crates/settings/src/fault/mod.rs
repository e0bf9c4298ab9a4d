//! What is wrong with a file of settings.
//!
//! A check reports every fault it finds, so that an operator mends a file in
//! one round instead of one round for each fault.

mod path;

use std::fmt;

use briarshift_units::Size;
use smol_str::SmolStr;

pub use path::{Path, Segment};

/// What kind of fault it is. Each message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Kind {
    /// The bytes are not one JSON value.
    #[error("not valid JSON ({0}): mend the syntax there")]
    Syntax(String),
    /// The file is larger than a value of the platform's store.
    #[error("the file has {0}, the store holds at most {max}: shorten it", max = crate::MAX_BYTES)]
    Oversized(Size),
    /// A field that has no meaning here.
    #[error("unknown field {field:?}: {}", known(.similar.as_ref(), .fields))]
    Unknown {
        /// The field's name.
        field: SmolStr,
        /// A known field with nearly the same name.
        similar: Option<SmolStr>,
        /// All fields known here.
        fields: Vec<SmolStr>,
    },
    /// A field that must be there is not.
    #[error("field {field:?} is missing: add it{}", bracketed(.meaning))]
    Missing {
        /// The field's name.
        field: SmolStr,
        /// What the field means, with its unit.
        meaning: SmolStr,
    },
    /// A value of the wrong JSON type, such as a text with a unit where a
    /// number is wanted.
    #[error("found {found}: write {expected}{}", bracketed(.meaning))]
    Type {
        /// The types allowed.
        expected: SmolStr,
        /// The value found, shortened.
        found: SmolStr,
        /// What the field means, with its unit.
        meaning: SmolStr,
    },
    /// A number outside its range.
    #[error("{found} is out of range: write a number {bound}{}", bracketed(.meaning))]
    Range {
        /// The number found.
        found: SmolStr,
        /// The bound that it breaks, such as `of at least 1`.
        bound: SmolStr,
        /// What the field means, with its unit.
        meaning: SmolStr,
    },
    /// A text that does not have the wanted form.
    #[error("{found} does not have the form {form}{}", bracketed(.meaning))]
    Form {
        /// The text found, shortened.
        found: SmolStr,
        /// A pattern, a format or a length.
        form: SmolStr,
        /// What the field means.
        meaning: SmolStr,
    },
    /// None of the values or fields to choose from.
    #[error("found {found}: choose one of {}", joined(.options))]
    Choice {
        /// The value found, shortened.
        found: SmolStr,
        /// What is allowed.
        options: Vec<SmolStr>,
    },
    /// An id or call that stands twice in a list.
    #[error("{name:?} stands at {first} already: give each its own name, or drop one")]
    Duplicate {
        /// The id or call.
        name: SmolStr,
        /// Where it stands first.
        first: Path,
    },
    /// A name that nothing else defines.
    #[error("{name:?} is not in {list}: add it there, or use one of {}", joined(.known))]
    Dangling {
        /// The name.
        name: SmolStr,
        /// The list that should define it.
        list: Path,
        /// What the list defines, the first few.
        known: Vec<SmolStr>,
    },
    /// A model on two pools.
    #[error("model {name:?} is served by pool {pool:?} at {first} already: name one pool")]
    Shared {
        /// The model.
        name: SmolStr,
        /// The pool named first.
        pool: SmolStr,
        /// Where it is named first.
        first: Path,
    },
    /// A model on a pool of desk runners.
    #[error("pool {0:?} holds desk runners: name a pool of kind \"engine\"")]
    NotEngines(SmolStr),
    /// Two listeners on one address.
    #[error("{address} is taken by {first}: give each listener its own address")]
    Address {
        /// The address.
        address: SmolStr,
        /// The field that has it already.
        first: SmolStr,
    },
    /// Refused for a reason that only the decoder knows.
    #[error("{0}: compare with `briarshift config schema`")]
    Refused(String),
}

fn known(similar: Option<&SmolStr>, fields: &[SmolStr]) -> String {
    match similar {
        Some(name) => format!("did you mean {name:?}?"),
        None => format!("drop it, or use one of {}", joined(fields)),
    }
}

fn bracketed(text: &SmolStr) -> String {
    if text.is_empty() { String::new() } else { format!(" ({text})") }
}

fn joined(names: &[SmolStr]) -> String {
    if names.is_empty() {
        return "(nothing defined)".to_owned();
    }
    names.join(", ")
}

/// One fault and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where in the file.
    pub path: Path,
    /// What is wrong.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}

/// All faults of one file, in the order of their paths; at least one.
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
    /// `Ok` without any fault.
    pub(crate) fn check(mut faults: Vec<Fault>) -> Result<(), Self> {
        if faults.is_empty() {
            return Ok(());
        }
        faults.sort_by(|a, b| a.path.cmp(&b.path));
        faults.dedup();
        Err(Self(faults))
    }

    /// One fault of the whole file.
    pub(crate) fn whole(kind: Kind) -> Self {
        Self(vec![Fault { path: Path::default(), kind }])
    }

    /// Each fault.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }

    /// The number of faults.
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

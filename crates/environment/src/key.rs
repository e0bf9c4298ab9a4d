//! Keys of an environment in the store.

use std::fmt;
use std::str::FromStr;

use briarshift_store::Key;
use briarshift_units::{DataCentre, Digest, Revision};
use smol_str::SmolStr;

/// Digits of a revision in a key, so that keys sort by revision.
const REVISION_DIGITS: usize = 20;

/// The name of an environment, such as `trial` or `production`.
///
/// # Examples
///
/// ```
/// use briarshift_environment::Environment;
/// let trial: Environment = "trial".parse().unwrap();
/// assert_eq!(trial.document_key().to_string(), "environments/trial/document");
/// assert!("a/b".parse::<Environment>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Environment(SmolStr);

/// A text that is no name of an environment.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no environment: use 1 to 128 letters, digits, '-', '_', '.' and ':'")]
pub struct NameError(String);

/// Longest name, in bytes.
const MAX_LEN: usize = 128;

impl Environment {
    /// The key of the document.
    pub fn document_key(&self) -> Key {
        self.key("document")
    }

    /// The prefix of all changes.
    pub fn history_prefix(&self) -> Key {
        self.key("history/")
    }

    /// The key of one change.
    pub fn change_key(&self, revision: Revision) -> Key {
        self.key(&format!("history/{:0width$}", revision.0, width = REVISION_DIGITS))
    }

    /// The key of the bytes with a digest.
    pub fn bytes_key(&self, digest: Digest) -> Key {
        self.key(&format!("documents/{digest}"))
    }

    /// The prefix of all reports.
    pub fn report_prefix(&self) -> Key {
        self.key("in-force/")
    }

    /// The key of a data centre's report.
    pub fn report_key(&self, data_centre: &DataCentre) -> Key {
        self.key(&format!("in-force/{data_centre}"))
    }

    fn key(&self, rest: &str) -> Key {
        Key::from(format!("environments/{}/{rest}", self.0))
    }
}

/// The environment that callers are served from, `production`.
impl Default for Environment {
    fn default() -> Self {
        Self(SmolStr::new_static("production"))
    }
}

impl fmt::Display for Environment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Environment {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let fits = !text.is_empty() && text.len() <= MAX_LEN;
        if !fits || !text.chars().all(is_allowed) {
            return Err(NameError(text.to_owned()));
        }
        Ok(Self(text.into()))
    }
}

//! Paths of values in a JSON file.

use std::fmt;

use smol_str::SmolStr;

/// One step of a [`Path`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// An element of a list.
    Index(usize),
    /// A field of an object.
    Field(SmolStr),
}

/// The path of a value in a JSON file, displayed as a JSONPath.
///
/// # Examples
///
/// ```
/// use briarshift_settings::fault::Path;
/// let path = Path::default().field("accounts").index(2).field("rate");
/// assert_eq!(path.to_string(), "$.accounts[2].rate");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(Vec<Segment>);

impl Path {
    /// Returns the path of a field of the object at this path.
    #[must_use]
    pub fn field(&self, name: &str) -> Self {
        self.with(Segment::Field(name.into()))
    }

    /// Returns the path of an element of the list at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.with(Segment::Index(index))
    }

    fn with(&self, segment: Segment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }
}

impl FromIterator<Segment> for Path {
    fn from_iter<I: IntoIterator<Item = Segment>>(segments: I) -> Self {
        Self(segments.into_iter().collect())
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("$")?;
        for segment in &self.0 {
            match segment {
                Segment::Index(index) => write!(f, "[{index}]")?,
                Segment::Field(name) if is_plain(name) => write!(f, ".{name}")?,
                Segment::Field(name) => write!(f, "[{name:?}]")?,
            }
        }
        Ok(())
    }
}

/// Returns true if a name needs no quotes in a JSONPath.
fn is_plain(name: &str) -> bool {
    !name.is_empty()
        && !name.starts_with(|c: char| c.is_ascii_digit())
        && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

//! Sets of prompt parts.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{NumberError, PartId};

/// Separates the parts of a set in text.
const SEPARATOR: char = '+';

/// Prompt parts that stand together, without order.
///
/// # Examples
///
/// ```
/// use briarshift_units::{PartId, PartSet};
/// let both = PartSet::from_iter([PartId(2), PartId(1)]);
/// assert!(both.is_within(&[PartId(1), PartId(7), PartId(2)]));
/// assert!(!both.is_within(&[PartId(1), PartId(7)]));
/// assert_eq!(both.to_string(), "0000000000000001+0000000000000002");
/// assert_eq!(both.to_string().parse(), Ok(both));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartSet(BTreeSet<PartId>);

impl PartSet {
    /// Returns true if all parts of the set are among these.
    pub fn is_within(&self, parts: &[PartId]) -> bool {
        self.0.iter().all(|part| parts.contains(part))
    }

    /// Returns true if all parts of the set are in another one.
    pub fn is_subset(&self, other: &Self) -> bool {
        self.0.is_subset(&other.0)
    }

    /// Returns true if the set has a part.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.contains(&part)
    }

    /// Removes a part. Returns true if the set had it.
    pub fn remove(&mut self, part: PartId) -> bool {
        self.0.remove(&part)
    }

    /// Returns true if the set has no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the parts, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = PartId> {
        self.0.iter().copied()
    }
}

impl FromIterator<PartId> for PartSet {
    fn from_iter<I: IntoIterator<Item = PartId>>(parts: I) -> Self {
        Self(parts.into_iter().collect())
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            if 0 < index {
                write!(f, "{SEPARATOR}")?;
            }
            write!(f, "{part}")?;
        }
        Ok(())
    }
}

impl FromStr for PartSet {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Ok(Self::default());
        }
        text.split(SEPARATOR).map(str::parse).collect()
    }
}

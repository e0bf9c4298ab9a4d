//! Positions in the history of a store that may come back from an older copy.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Separates the era from the revision in text.
const SEPARATOR: char = '.';

/// Counts how often a store has come back from an older copy. Versions of one era are
/// given out again in the next one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A position in a store's history. All positions of an era come after those of the eras
/// before it.
///
/// # Examples
///
/// ```
/// use briarshift_store::{Era, Position};
/// let before = Position::first(900);
/// let returned = Position { era: Era(1), revision: 850 };
/// assert!(before < returned);
/// assert_eq!((before.to_string(), returned.to_string()), ("900".into(), "1.850".into()));
/// assert_eq!("1.850".parse(), Ok(returned));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The store's revision in that era.
    pub revision: u64,
}

impl Position {
    /// Returns a position in the first era.
    pub const fn first(revision: u64) -> Self {
        Self { era: Era(0), revision }
    }

    /// Returns the position right after this one in its era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { era: self.era, revision: self.revision.saturating_add(1) }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era != Era(0) {
            write!(f, "{}{SEPARATOR}", self.era)?;
        }
        self.revision.fmt(f)
    }
}

impl FromStr for Position {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once(SEPARATOR).unwrap_or(("0", text));
        Ok(Self { era: era.parse()?, revision: revision.parse()? })
    }
}

//! Times and durations in microseconds.
//!
//! The reducers read no clock: each event carries a [`Moment`] of the process's
//! monotonic clock. Wall-clock time has a separate type, because
//! leases must never depend on it.

use std::fmt;
use std::num::ParseIntError;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A time of the process's monotonic clock in microseconds. The origin is
/// arbitrary and differs between processes.
///
/// # Examples
///
/// ```
/// use briarshift_units::{Moment, Span};
/// let later = Moment(5) + Span::from_millis(1);
/// assert_eq!(later.since(Moment(5)), Span::from_millis(1));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is the
    /// later one.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Moment {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.strip_suffix("us").unwrap_or(text).parse().map(Self)
    }
}

/// A duration in microseconds.
///
/// # Examples
///
/// ```
/// use briarshift_units::Span;
/// assert_eq!(Span::from_secs(2).to_string(), "2000000us");
/// assert_eq!("2000000us".parse(), Ok(Span::from_secs(2)));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Span {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the duration in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Span {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.strip_suffix("us").unwrap_or(text).parse().map(Self)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch. Used only in usage
/// records, reports and logs.
///
/// # Examples
///
/// ```
/// use briarshift_units::WallTime;
/// assert_eq!("12".parse(), Ok(WallTime(12)));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WallTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

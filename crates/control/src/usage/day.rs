//! A calendar day in UTC, and its text form.

use std::fmt;
use std::str::FromStr;

use briarshift_units::WallTime;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

const MILLIS_PER_DAY: u64 = 86_400_000;
/// Days in 400 years, the period of the Gregorian calendar.
const DAYS_PER_CYCLE: u64 = 146_097;

/// The error for text that is not a day. Contains the text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a day: write it as YYYY-MM-DD, 1970-01-01 or later")]
pub struct Error(String);

/// A day in UTC, as days since 1970-01-01.
///
/// # Examples
///
/// ```
/// use briarshift_control::usage::day::Day;
/// use briarshift_units::WallTime;
/// let day: Day = "2024-02-29".parse().unwrap();
/// assert_eq!(day.to_string(), "2024-02-29");
/// assert_eq!(Day::of(WallTime(1_709_164_800_000)), day);
/// assert!("2023-02-29".parse::<Day>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Day(pub u64);

impl Day {
    /// Returns the day that contains a time.
    pub fn of(wall: WallTime) -> Self {
        Self(wall.0 / MILLIS_PER_DAY)
    }
}

fn is_leap(year: u64) -> bool {
    (year.is_multiple_of(4) && !year.is_multiple_of(100)) || year.is_multiple_of(400)
}

fn days_of_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_of_month(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut days = self.0 % DAYS_PER_CYCLE;
        let mut year = 1970 + 400 * (self.0 / DAYS_PER_CYCLE);
        while days_of_year(year) <= days {
            days -= days_of_year(year);
            year += 1;
        }
        let mut month = 1;
        while days_of_month(year, month) <= days {
            days -= days_of_month(year, month);
            month += 1;
        }
        write!(f, "{year:04}-{month:02}-{:02}", days + 1)
    }
}

impl FromStr for Day {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fail = || Error(text.to_owned());
        let parts: Vec<_> = text.split('-').collect();
        let [year, month, day] = parts[..] else { return Err(fail()) };
        if (year.len(), month.len(), day.len()) != (4, 2, 2) {
            return Err(fail());
        }
        let number = |text: &str| text.parse::<u64>().map_err(|_| fail());
        let (year, month, day) = (number(year)?, number(month)?, number(day)?);
        if year < 1970 || !(1..=12).contains(&month) {
            return Err(fail());
        }
        if !(1..=days_of_month(year, month)).contains(&day) {
            return Err(fail());
        }
        let years: u64 = (1970..year).map(days_of_year).sum();
        let months: u64 = (1..month).map(|month| days_of_month(year, month)).sum();
        Ok(Self(years + months + day - 1))
    }
}

impl TryFrom<SmolStr> for Day {
    type Error = Error;

    fn try_from(text: SmolStr) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Day> for SmolStr {
    fn from(day: Day) -> Self {
        day.to_smolstr()
    }
}

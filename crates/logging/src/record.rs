//! Log lines of `key=value` pairs.

use std::fmt;

use smol_str::{SmolStr, ToSmolStr};

/// A log line of `key=value` pairs, of which `event` is the first. Values that are empty or contain
/// a space, quote, equals sign or newline are quoted.
///
/// # Examples
///
/// ```
/// use briarshift_logging::Record;
/// let line = Record::new("route").with("target", "e 1").with("queue", 3);
/// assert_eq!(line.to_string(), "event=route target=\"e 1\" queue=3");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    event: &'static str,
    pairs: Vec<(&'static str, SmolStr)>,
}

impl Record {
    /// Returns a line for the event of this name.
    pub fn new(event: &'static str) -> Self {
        Self { event, pairs: Vec::new() }
    }

    /// Adds a key and its value.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        self.pairs.push((key, value.to_smolstr()));
        self
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &'static str {
        self.event
    }

    /// Returns the value of a key, or `None` if the line does not have it.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| *name == key).map(|(_, value)| value.as_str())
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.event)?;
        for (key, value) in &self.pairs {
            let unquoted = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
            if unquoted {
                write!(f, " {key}={value}")?;
            } else {
                write!(f, " {key}={value:?}")?;
            }
        }
        Ok(())
    }
}

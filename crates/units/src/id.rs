//! Text identifiers.
//!
//! All identifiers use the same character set, so that they need no escaping
//! in a URL path, a log line or a store key.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Largest length of an identifier in bytes.
const MAX_LEN: usize = 128;

/// The characters of an identifier, as a JSON schema pattern.
const PATTERN: &str = "^[A-Za-z0-9_.:-]+$";

/// An error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("the identifier is empty: use at least one character")]
    Empty,
    /// The text is longer than 128 bytes.
    #[error("the identifier has {0} bytes: shorten it to 128 or fewer")]
    TooLong(usize),
    /// The text contains a character that is not allowed.
    #[error("the identifier contains {0:?}: use only letters, digits, '-', '_', '.' and ':'")]
    Character(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if MAX_LEN < text.len() {
        return Err(Error::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use briarshift_units::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"a-1\".parse().unwrap();")]
        /// assert_eq!(id.to_string(), "a-1");
        #[doc = concat!("assert!(\"a b\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = Error;

            fn try_from(text: SmolStr) -> Result<Self, Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": PATTERN, "maxLength": MAX_LEN })
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

id! {
    /// Identifies a client account of the environment document.
    AccountId
}
id! {
    /// Identifies an owner of the fleet, who pays a share of its cost.
    OwnerId
}
id! {
    /// Identifies a pool: targets that serve the same requests.
    PoolId
}
id! {
    /// Identifies a model that engines serve.
    ModelId
}
id! {
    /// Identifies a target: a model engine or a desk runner.
    TargetId
}
id! {
    /// Identifies an entry VM.
    VmId
}
id! {
    /// Identifies a data centre.
    DataCentre
}
id! {
    /// Identifies a fleet. VMs of different fleets never communicate.
    FleetId
}
id! {
    /// The idempotency key that a caller gives to a booking.
    BookingKey
}
id! {
    /// Identifies one attempt of a caller at a request. The caller chooses it.
    AttemptId
}

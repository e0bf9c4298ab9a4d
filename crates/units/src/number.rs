//! Numeric newtypes: start numbers, revisions, sizes, rates and digests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why a text is not a number of the wanted kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not a whole number.
    #[error("{text:?} is not a whole number ({source}): write decimal digits only")]
    Decimal {
        /// The text given.
        text: String,
        /// The parser's reason.
        source: ParseIntError,
    },
    /// Not a hexadecimal number of the right length.
    #[error("{text:?} is not {digits} hexadecimal digits: copy the value whole")]
    Hex {
        /// The text given.
        text: String,
        /// Digits that were expected.
        digits: usize,
    },
}

macro_rules! decimal {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use briarshift_units::", stringify!($name), ";")]
        #[doc = concat!("let value: ", stringify!($name), " = \"7\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(value, ", stringify!($name), "(7));")]
        /// ```
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits
                    .parse()
                    .map(Self)
                    .map_err(|source| Error::Decimal { text: text.to_owned(), source })
            }
        }
    };
}

macro_rules! hexadecimal {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// # Examples
        ///
        /// ```
        #[doc = concat!("use briarshift_units::", stringify!($name), ";")]
        #[doc = concat!("let value = ", stringify!($name), "(255);")]
        /// assert_eq!(value.to_string(), "00000000000000ff");
        #[doc = concat!("assert_eq!(value.to_string().parse::<", stringify!($name), ">(), Ok(value));")]
        /// ```
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let fail = || Error::Hex { text: text.to_owned(), digits: 16 };
                if text.len() != 16 {
                    return Err(fail());
                }
                u64::from_str_radix(text, 16).map(Self).map_err(|_| fail())
            }
        }
    };
}

decimal! {
    /// The start number of a process: larger at each start of the same VM or
    /// target, so that a restarted one is told from its predecessor.
    StartNumber, ""
}
decimal! {
    /// What a machine's link carries, in megabits a second.
    MegabitsPerSecond, " Mbit/s"
}
decimal! {
    /// Revision of an environment document: the store's version of its key.
    Revision, ""
}
decimal! {
    /// Fencing number of a lease: larger for each later holder.
    FencingToken, ""
}
decimal! {
    /// A size in bytes.
    Size, " B"
}
decimal! {
    /// A rate in bytes a second.
    BytesPerSecond, " B/s"
}
decimal! {
    /// A rate of events a second.
    PerSecond, "/s"
}
hexadecimal! {
    /// A request within the fleet. The entry VM draws it at random.
    RequestId
}
hexadecimal! {
    /// Hash that identifies a chat for ranking.
    ChatKey
}
hexadecimal! {
    /// Hash of an account and a request body, for recognising a request that
    /// crashes its targets.
    Fingerprint
}

/// SHA-256 digest of a document.
///
/// # Examples
///
/// ```
/// use briarshift_units::Digest;
/// let digest = Digest([1; 32]);
/// assert_eq!(digest.to_string().parse::<Digest>(), Ok(digest));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| Error::Hex { text: text.to_owned(), digits: 64 })?;
        Ok(Self(bytes))
    }
}

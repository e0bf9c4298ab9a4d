//! Numeric newtypes: start numbers, revisions, sizes, rates and digests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An error of parsing a number.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not an unsigned integer.
    #[error("{text:?} is not an unsigned integer ({source}): use only decimal digits")]
    Decimal {
        /// The text that was parsed.
        text: String,
        /// Reason given by the integer parser.
        source: ParseIntError,
    },
    /// The text is not a hexadecimal number of the required length.
    #[error("{text:?} is not {digits} hexadecimal digits: copy the complete value")]
    Hex {
        /// The text that was parsed.
        text: String,
        /// Required number of digits.
        digits: usize,
    },
    /// The text is not a rate.
    #[error("{0:?} is not a rate: write requests per second as a decimal number, such as 2.5")]
    Rate(String),
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
    /// The start number of a process. It is larger at each start of the same VM
    /// or target, which tells a restarted process from the one before it.
    StartNumber, ""
}
decimal! {
    /// The bandwidth of a machine's network link in megabits per second.
    MegabitsPerSecond, " Mbit/s"
}
decimal! {
    /// The revision of an environment document: the version of its key in the
    /// platform's store.
    Revision, ""
}
decimal! {
    /// The fencing token of a lease. It is larger for each later holder, so that
    /// engines can reject orders of an earlier one.
    FencingToken, ""
}
decimal! {
    /// A size in bytes.
    Size, " B"
}
decimal! {
    /// A rate in bytes per second.
    BytesPerSecond, " B/s"
}
decimal! {
    /// A rate in events per second.
    PerSecond, "/s"
}
hexadecimal! {
    /// Identifies a request within the fleet. The entry VM chooses it at random.
    RequestId
}
hexadecimal! {
    /// A hash that identifies a chat. Targets are ranked for a chat by this key.
    ChatKey
}
hexadecimal! {
    /// A hash of a request and of the account or API key that sent it, by which a
    /// request that crashes targets is recognized when it is sent again.
    Fingerprint
}
hexadecimal! {
    /// Identifies a part of a prompt by its content.
    PartId
}

/// A rate of requests, in thousandths of a request per second.
///
/// # Examples
///
/// ```
/// use briarshift_units::RequestRate;
/// let rate: RequestRate = "2.5".parse().unwrap();
/// assert_eq!(rate, RequestRate(2_500));
/// assert_eq!(rate.to_string(), "2.500/s");
/// assert_eq!(rate.to_string().parse(), Ok(rate));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse::<f64>();
        match number {
            Ok(number) if number.is_finite() && 0.0 <= number => {
                Ok(Self((number * 1e3).round() as u64))
            }
            _ => Err(Error::Rate(text.to_owned())),
        }
    }
}

/// The SHA-256 digest of a document.
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

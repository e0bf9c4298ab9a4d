//! A usage record as it is written.

use std::fmt;

use briarshift_store::Key;
use briarshift_units::{Digest, StartNumber, VmId, WallTime};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol_str::SmolStr;

use super::counters::{Counters, Subject};
use super::day::Day;

/// What the fleet's key is used for here, so that no other code made with the
/// same key is taken for a record's.
const PURPOSE: &[u8] = b"briarshift usage record 1";

/// The start of all usage keys.
pub const KEY_PREFIX: &str = "usage/";

/// Which segment a record belongs to. Displayed as in its key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentId {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// 0 for the first segment of that start.
    pub segment: u64,
    /// The day it counts.
    pub day: Day,
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.day, self.vm, self.start, self.segment)
    }
}

impl SegmentId {
    /// The store key of the segment.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::usage::day::Day;
    /// use briarshift_control::usage::record::SegmentId;
    /// use briarshift_units::StartNumber;
    /// let vm = "kt-1".parse().unwrap();
    /// let segment_id = SegmentId { vm, start: StartNumber(3), segment: 0, day: Day(0) };
    /// assert_eq!(segment_id.key().to_string(), "usage/1970-01-01/kt-1/3/0");
    /// ```
    pub fn key(&self) -> Key {
        Key::from(format!("{KEY_PREFIX}{self}"))
    }
}

/// The counters of one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Whose use, and of what.
    #[serde(flatten)]
    pub subject: Subject,
    /// The counts.
    pub counters: Counters,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Which segment.
    #[serde(rename = "place")]
    pub segment_id: SegmentId,
    /// Raised with each write of the segment.
    pub sequence: u64,
    /// When it was written, by the VM's wall clock.
    pub at: WallTime,
    /// No later record of this segment follows.
    pub closed: bool,
    /// MAC of the last record of the segment before; zero for the first.
    pub previous: Code,
    /// Sum of the rows.
    pub total: Counters,
    /// Counts since the segment began.
    pub rows: Vec<Row>,
}

/// A message authentication code (HMAC-SHA-256).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Code(pub Digest);

impl TryFrom<SmolStr> for Code {
    type Error = briarshift_units::NumberError;

    fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
        text.parse().map(Self)
    }
}

impl From<Code> for SmolStr {
    fn from(code: Code) -> Self {
        code.0.to_string().into()
    }
}

/// A record with its code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// What it says.
    pub body: Body,
    /// The code over it.
    pub code: Code,
}

impl Record {
    /// Seals a body with the fleet's key.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::usage::record::{Body, SegmentId, Record};
    /// use briarshift_units::{StartNumber, WallTime};
    /// let vm = "kt-1".parse().unwrap();
    /// let segment_id = SegmentId { vm, start: StartNumber(3), segment: 0, day: Default::default() };
    /// let body = Body {
    ///     segment_id,
    ///     sequence: 1,
    ///     at: WallTime(5),
    ///     closed: false,
    ///     previous: Default::default(),
    ///     total: Default::default(),
    ///     rows: Vec::new(),
    /// };
    /// let mut record = Record::sign(body, &[7; 32]);
    /// assert!(record.is_authentic(&[7; 32]));
    /// record.body.sequence = 2;
    /// assert!(!record.is_authentic(&[7; 32]));
    /// ```
    pub fn sign(body: Body, key: &[u8]) -> Self {
        let code = code(&body, key);
        Self { body, code }
    }

    /// Whether the code is that of the body under the fleet's key.
    pub fn is_authentic(&self, key: &[u8]) -> bool {
        self.code == code(&self.body, key)
    }

    /// The record as text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("records are JSON")
    }
}

fn code(body: &Body, key: &[u8]) -> Code {
    let bytes = serde_json::to_vec(body).expect("bodies are JSON");
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(PURPOSE);
    mac.update(&bytes);
    Code(Digest(mac.finalize().into_bytes().into()))
}

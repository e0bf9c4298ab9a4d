//! The usage record, as it is stored.

use std::fmt;

use briarshift_store::Key;
use briarshift_units::{Digest, StartNumber, VmId, WallTime};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol_str::SmolStr;

use super::counters::{Counters, Subject};
use super::day::Day;

/// A prefix of the authenticated bytes that names their purpose, so that a MAC
/// made with the fleet's key for another purpose is not valid for a record.
const MAC_PURPOSE: &[u8] = b"briarshift usage record 1";

/// The common prefix of the store keys of usage records.
pub const KEY_PREFIX: &str = "usage/";

/// The identifier of a segment. Displayed as in the segment's store key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentId {
    /// The VM.
    pub vm: VmId,
    /// Start number of its process.
    pub start: StartNumber,
    /// Number of the segment, 0 for the first one of that start.
    pub segment: u64,
    /// The day on which its requests ended.
    pub day: Day,
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.day, self.vm, self.start, self.segment)
    }
}

impl SegmentId {
    /// Returns the store key of the segment.
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
    /// What the counters are about.
    #[serde(flatten)]
    pub subject: Subject,
    /// The counters.
    pub counters: Counters,
}

/// The authenticated content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// The segment that the record belongs to.
    #[serde(rename = "place")]
    pub segment_id: SegmentId,
    /// Sequence number, raised with each record of the segment.
    pub sequence: u64,
    /// When the record was made, by the VM's wall clock.
    pub at: WallTime,
    /// Whether this is the last record of the segment.
    pub closed: bool,
    /// MAC of the last record of the previous segment; zero for the first
    /// segment.
    pub previous: Code,
    /// Sum of all rows.
    pub total: Counters,
    /// The counters since the segment began, one row for each subject.
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

/// A record with its MAC.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The authenticated content.
    pub body: Body,
    /// The MAC of the body.
    pub code: Code,
}

impl Record {
    /// Makes a record from a body, with its MAC under the fleet's key.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::usage::record::{Body, Record, SegmentId};
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
        let code = compute_mac(&body, key);
        Self { body, code }
    }

    /// Returns true if the code is the MAC of the body under the fleet's key.
    pub fn is_authentic(&self, key: &[u8]) -> bool {
        self.code == compute_mac(&self.body, key)
    }

    /// Returns the record as JSON text, as it is stored.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("records are JSON")
    }
}

fn compute_mac(body: &Body, key: &[u8]) -> Code {
    let bytes = serde_json::to_vec(body).expect("bodies are JSON");
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(MAC_PURPOSE);
    mac.update(&bytes);
    Code(Digest(mac.finalize().into_bytes().into()))
}

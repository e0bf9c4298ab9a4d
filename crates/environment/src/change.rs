//! Records of changes.

use briarshift_units::{Digest, Revision, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Where a document came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// A file of the author's.
    File,
    /// Another environment, where these bytes were in force.
    Promotion {
        /// The other environment.
        from: SmolStr,
        /// The revision they had there.
        revision: Revision,
    },
}

/// A document that was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replaced {
    /// Its revision.
    pub revision: Revision,
    /// Digest of its bytes, as text.
    #[serde(with = "text")]
    pub digest: Digest,
}

/// One accepted change of an environment's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision it made.
    pub revision: Revision,
    /// Digest of the document's bytes, as text.
    #[serde(with = "text")]
    pub digest: Digest,
    /// What it replaced; nothing for the first document.
    pub replaced: Option<Replaced>,
    /// Who made it, as the author's side told.
    pub author: SmolStr,
    /// When, by the author's clock.
    pub at: WallTime,
    /// Where the bytes came from.
    pub source: Source,
}

/// Digests as hexadecimal text.
pub(crate) mod text {
    use briarshift_units::Digest;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(digest: &Digest, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(digest)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Digest, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

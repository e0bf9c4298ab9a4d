//! Records of changes, which form the history of an environment.

use briarshift_units::{Digest, Revision, WallTime};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The source of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// A file of the author.
    File,
    /// Another environment, in which the same document was in force.
    Promotion {
        /// Name of that environment.
        from: SmolStr,
        /// Revision of the document in that environment.
        revision: Revision,
    },
}

/// The document that a change replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replaced {
    /// Its revision.
    pub revision: Revision,
    /// Digest of its bytes, serialized as text.
    #[serde(with = "text")]
    pub digest: Digest,
}

/// One accepted change of an environment's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change created.
    pub revision: Revision,
    /// Digest of the document's bytes, serialized as text.
    #[serde(with = "text")]
    pub digest: Digest,
    /// The document that it replaced; `None` for the first document.
    pub replaced: Option<Replaced>,
    /// Name of the author, as stated by the author's own client.
    pub author: SmolStr,
    /// Time of the change, by the author's clock.
    pub at: WallTime,
    /// Source of the document.
    pub source: Source,
}

/// Serialization of digests as hexadecimal text.
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

//! Spreading the environment document among VMs.

use briarshift_units::{Digest, Revision};
use serde::{Deserialize, Serialize};

/// Names a document without carrying it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision in the platform's store.
    pub revision: Revision,
    /// Digest of the document's bytes.
    pub digest: Digest,
}

/// Pulling a document from a peer whose head is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the peer's document if its revision is at least this one.
    Want {
        /// The revision seen in the peer's head.
        revision: Revision,
    },
    /// Answers [`Message::Want`].
    Have {
        /// What the bytes are.
        head: Head,
        /// The document as it stands in the store.
        bytes: Vec<u8>,
    },
}

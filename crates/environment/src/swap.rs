//! The one write that decides: a compare-and-swap that is safe to lose.
//!
//! A write whose answer was lost is read back before it is tried again. The
//! condition names the revision to be replaced, so of all tries, also of
//! those that reach the store late, at most one takes effect.

use briarshift_settings::Document;
use briarshift_store::{Entry, Error as StoreError, Expect, Operation, Reply, Version};
use briarshift_units::{Digest, Revision, Span};

use crate::{Environment, Error, Operator, Replaced};

/// Tries of a write or a read before it is given up.
const MAX_TRIES: u32 = 5;
/// Pause between two tries.
const PAUSE: Span = Span::from_millis(500);

/// The write wanted.
pub(crate) struct Swap<'a> {
    pub environment: &'a Environment,
    pub replaces: Revision,
    pub text: &'a str,
}

impl Swap<'_> {
    /// Carries the write out.
    pub(crate) async fn run(&self, operator: &Operator<'_>) -> Result<Revision, Error> {
        let mut is_lost = false;
        for _ in 0..MAX_TRIES {
            match operator.store.execute(self.operation()).await {
                Ok(Reply::Written(version)) => return Ok(Revision(version.0)),
                Err(StoreError::Conflict(found)) if !is_lost => {
                    return Err(operator.conflict(self, Revision(found.0)).await);
                }
                Err(err @ StoreError::Refused(_)) if !is_lost => return Err(err.into()),
                // Once an answer is lost, a conflict may be with the write
                // itself, and a refusal says nothing of the one before.
                _ => is_lost = true,
            }
            let Some(entry) = self.read_back(operator).await else {
                return Err(Error::Unknown(self.digest()));
            };
            let found = revision(entry.as_ref());
            if found != self.replaces {
                return self.settle(operator, entry.as_ref(), found).await;
            }
        }
        Err(Error::Unknown(self.digest()))
    }

    fn operation(&self) -> Operation {
        let expect = match self.replaces {
            Revision(0) => Expect::Absent,
            Revision(revision) => Expect::Version(Version(revision)),
        };
        let (key, value) = (self.environment.document_key(), self.text.to_owned());
        Operation::Put { key, value, expect, lease: None }
    }

    async fn read_back(&self, operator: &Operator<'_>) -> Option<Option<Entry>> {
        for _ in 0..MAX_TRIES {
            operator.clock.sleep(PAUSE).await;
            if let Ok(entry) = operator.get(self.environment.document_key()).await {
                return Some(entry);
            }
        }
        None
    }

    /// What became of a write whose answer was lost, when the key has moved.
    async fn settle(
        &self,
        operator: &Operator<'_>,
        entry: Option<&Entry>,
        found: Revision,
    ) -> Result<Revision, Error> {
        if entry.is_some_and(|entry| entry.value == self.text) {
            return Ok(found);
        }
        let digest = self.digest();
        let changes = operator.history(self.environment).await.unwrap_or_default();
        let is_own = |old: &Replaced| old.digest == digest && self.replaces < old.revision;
        for change in &changes {
            let Some(old) = change.replaced.as_ref() else { continue };
            if is_own(old) {
                return Err(Error::Superseded { own: old.revision, by: change.revision });
            }
            if old.revision == self.replaces {
                return Err(operator.conflict(self, found).await);
            }
        }
        Err(Error::Unknown(digest))
    }

    fn digest(&self) -> Digest {
        Document::digest(self.text.as_bytes())
    }
}

/// The revision of a document's entry, 0 if there is none.
pub(crate) fn revision(entry: Option<&Entry>) -> Revision {
    entry.map_or(Revision(0), |entry| Revision(entry.version.0))
}

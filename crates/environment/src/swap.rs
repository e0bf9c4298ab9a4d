//! The write of an environment's document: a compare-and-swap that can be
//! retried.
//!
//! If the answer to the write is lost, the key is read before the write is
//! tried again. Each write is conditional on the revision to be replaced, so at
//! most one of the attempts takes effect, including those that reach the store
//! late.

use briarshift_settings::Document;
use briarshift_store::{Entry, Error as StoreError, Expect, Operation, Reply, Version};
use briarshift_units::{Digest, Revision, Span};

use crate::{Environment, Error, Operator, Replaced};

/// Largest number of attempts of the write, and of each read after it.
const MAX_ATTEMPTS: u32 = 5;
/// Pause before each read of the key after the write.
const RETRY_PAUSE: Span = Span::from_millis(500);

/// Replaces one revision of an environment's document by a new document.
pub(crate) struct CompareAndSwap<'a> {
    pub environment: &'a Environment,
    pub replaces: Revision,
    pub text: &'a str,
}

impl CompareAndSwap<'_> {
    /// Executes the write and returns the new revision.
    pub(crate) async fn run(&self, operator: &Operator<'_>) -> Result<Revision, Error> {
        let mut has_lost_answer = false;
        for _ in 0..MAX_ATTEMPTS {
            match operator.store.execute(self.operation()).await {
                Ok(Reply::Written(version)) => return Ok(Revision(version.0)),
                Err(StoreError::Conflict(found)) if !has_lost_answer => {
                    return Err(operator.conflict(self, Revision(found.0)).await);
                }
                Err(err @ StoreError::Refused(_)) if !has_lost_answer => return Err(err.into()),
                // After a lost answer, a conflict may be caused by the earlier
                // attempt itself, and a refusal of this attempt doesn't tell
                // whether the earlier one took effect.
                _ => has_lost_answer = true,
            }
            let Some(entry) = self.read_with_retries(operator).await else {
                return Err(Error::Unknown(self.digest()));
            };
            let found = revision(entry.as_ref());
            if found != self.replaces {
                return self.resolve(operator, entry.as_ref(), found).await;
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

    async fn read_with_retries(&self, operator: &Operator<'_>) -> Option<Option<Entry>> {
        for _ in 0..MAX_ATTEMPTS {
            operator.clock.sleep(RETRY_PAUSE).await;
            if let Ok(entry) = operator.get(self.environment.document_key()).await {
                return Some(entry);
            }
        }
        None
    }

    /// Determines whether a write whose answer was lost took effect, after the
    /// key has changed to revision `found`.
    async fn resolve(
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

/// Returns the revision of a document's entry, or 0 if there is no entry.
pub(crate) fn revision(entry: Option<&Entry>) -> Revision {
    entry.map_or(Revision(0), |entry| Revision(entry.version.0))
}

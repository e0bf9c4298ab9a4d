//! The commands of operators: reading, changing and promoting documents.

use briarshift_settings::Document;
use briarshift_store::{Entry, Error as StoreError, Expect, Key, Operation, Reply, Store};
use briarshift_units::{Digest, Revision, Span, WallTime};
use futures::future::LocalBoxFuture;
use serde::de::DeserializeOwned;
use similar::TextDiff;
use smol_str::SmolStr;

use crate::swap::{self, CompareAndSwap};
use crate::{Change, Environment, Error, Replaced, Report, Source};

/// Largest number of changes in the history of an environment.
pub const MAX_CHANGES: usize = 50;
/// Largest age of a report that counts for a promotion.
pub const MAX_REPORT_AGE: Span = Span::from_secs(120);
/// Largest number of attempts of an idempotent write.
const MAX_ATTEMPTS: u32 = 3;
/// Pause between two attempts of a write.
const RETRY_PAUSE: Span = Span::from_millis(500);

/// The clock that operators' commands use.
pub trait Clock {
    /// Returns the wall-clock time.
    fn now(&self) -> WallTime;

    /// Waits for a duration.
    fn sleep(&self, span: Span) -> LocalBoxFuture<'_, ()>;
}

/// A document in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// Its revision.
    pub revision: Revision,
    /// Its text, byte for byte as in the store.
    pub text: String,
}

impl StoredDocument {
    /// Returns the digest of the text.
    pub fn digest(&self) -> Digest {
        Document::digest(self.text.as_bytes())
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The change.
    pub change: Change,
    /// True if the change was recorded in the history.
    pub recorded: bool,
}

/// Executes the commands of an operator.
pub struct Operator<'a> {
    pub(crate) store: &'a dyn Store,
    pub(crate) clock: &'a dyn Clock,
    author: SmolStr,
}

impl<'a> Operator<'a> {
    /// Creates an operator, who is recorded as `author` of the changes.
    pub fn new(store: &'a dyn Store, clock: &'a dyn Clock, author: &str) -> Self {
        Self { store, clock, author: author.into() }
    }

    /// Replaces revision `replaces` of an environment's document by `text`. For
    /// the first document, `replaces` is 0.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the document did not come into force. Exceptions
    /// are [`Error::Superseded`], where it came into force and was replaced, and
    /// [`Error::Unknown`], where it may come into force.
    pub async fn put(
        &self,
        environment: &Environment,
        replaces: Revision,
        text: &str,
    ) -> Result<AcceptedChange, Error> {
        self.change(environment, replaces, text, Source::File).await
    }

    /// Replaces revision `replaces` of the document of `to` by the document of
    /// `from`, byte for byte.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotInForce`] unless recent reports of all data centres
    /// show that all live VMs of `from` run the document. Otherwise, returns the
    /// errors of [`Operator::put`].
    pub async fn promote(
        &self,
        from: &Environment,
        to: &Environment,
        replaces: Revision,
    ) -> Result<AcceptedChange, Error> {
        let stored = self.show(from).await?;
        let reports = self.reports(from).await?;
        self.check_in_force(from, stored.digest(), &reports)?;
        let source = Source::Promotion { from: from.to_string().into(), revision: stored.revision };
        self.change(to, replaces, &stored.text, source).await
    }

    /// Returns the document of an environment.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Absent`] if the environment has no document, and
    /// [`Error::Store`] if the store can't be read.
    pub async fn show(&self, environment: &Environment) -> Result<StoredDocument, Error> {
        let entry = self.get(environment.document_key()).await?;
        let entry = entry.ok_or_else(|| Error::Absent(environment.clone()))?;
        Ok(StoredDocument { revision: Revision(entry.version.0), text: entry.value })
    }

    /// Returns the document that an environment had at a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotKept`] if the history no longer has the revision, and
    /// [`Error::Store`] if the store can't be read.
    pub async fn show_revision(
        &self,
        environment: &Environment,
        revision: Revision,
    ) -> Result<StoredDocument, Error> {
        if let Ok(current) = self.show(environment).await
            && current.revision == revision
        {
            return Ok(current);
        }
        let change = self.get(environment.change_key(revision)).await?;
        let change: Option<Change> = change.and_then(|entry| decode(&entry));
        let change = change.ok_or(Error::NotKept(revision))?;
        let bytes = self.get(environment.bytes_key(change.digest)).await?;
        let text = bytes.ok_or(Error::NotKept(revision))?.value;
        Ok(StoredDocument { revision, text })
    }

    /// Returns the unified diff from `old` to `new`, which is empty if the texts
    /// are equal.
    pub fn diff(old: &StoredDocument, new: &StoredDocument) -> String {
        let diff = TextDiff::from_lines(&old.text, &new.text);
        let name = |stored: &StoredDocument| format!("revision {}", stored.revision);
        diff.unified_diff().header(&name(old), &name(new)).to_string()
    }

    /// Returns the changes in the history of an environment, the newest first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Store`] if the store can't be read.
    pub async fn history(&self, environment: &Environment) -> Result<Vec<Change>, Error> {
        let mut changes: Vec<Change> = self.list(environment.history_prefix()).await?;
        changes.sort_by_key(|change| std::cmp::Reverse(change.revision));
        Ok(changes)
    }

    /// Returns the reports of all data centres of an environment.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Store`] if the store can't be read.
    pub async fn reports(&self, environment: &Environment) -> Result<Vec<Report>, Error> {
        self.list(environment.report_prefix()).await
    }

    async fn change(
        &self,
        environment: &Environment,
        replaces: Revision,
        text: &str,
        source: Source,
    ) -> Result<AcceptedChange, Error> {
        Document::parse(text.as_bytes()).map_err(Error::Faults)?;
        let swap = CompareAndSwap { environment, replaces, text };
        let old = self.get(environment.document_key()).await?;
        let found = swap::revision(old.as_ref());
        if found != replaces {
            return Err(self.conflict(&swap, found).await);
        }
        let digest = Document::digest(text.as_bytes());
        self.put_idempotent(environment.bytes_key(digest), text.to_owned(), Expect::Any).await?;
        let revision = swap.run(self).await?;
        let replaced = old.map(|old| Replaced {
            revision: replaces,
            digest: Document::digest(old.value.as_bytes()),
        });
        let (author, at) = (self.author.clone(), self.clock.now());
        let change = Change { revision, digest, replaced, author, at, source };
        let value = serde_json::to_string(&change).expect("a change serializes to JSON");
        let key = environment.change_key(revision);
        let recorded = self.put_idempotent(key, value, Expect::Absent).await.is_ok();
        self.trim_history(environment, digest).await;
        Ok(AcceptedChange { change, recorded })
    }

    /// Returns the error for an environment that is at revision `found`, not at
    /// the one to be replaced.
    pub(crate) async fn conflict(&self, swap: &CompareAndSwap<'_>, found: Revision) -> Error {
        let record = self.get(swap.environment.change_key(found)).await.ok().flatten();
        let author = record.and_then(|entry| decode::<Change>(&entry)).map(|change| change.author);
        let (environment, replaces) = (swap.environment.clone(), swap.replaces);
        Error::Conflict { environment, replaces, found, author }
    }

    /// Checks that the reports show the document with this digest in force on
    /// all live VMs.
    fn check_in_force(
        &self,
        environment: &Environment,
        digest: Digest,
        reports: &[Report],
    ) -> Result<(), Error> {
        let newest = reports.iter().map(|report| report.at).max().unwrap_or_default();
        let max_age = MAX_REPORT_AGE.as_millis();
        let is_fresh = |at: WallTime, now: WallTime| now.0 <= at.0.saturating_add(max_age);
        // Old reports are ignored here, because the last report of a data centre
        // that is no longer used stays in the store.
        let fresh = reports.iter().filter(|report| is_fresh(report.at, newest));
        let missing: Vec<_> =
            fresh.filter(|report| !report.is_in_force_everywhere(digest)).map(summary).collect();
        let missing = match missing.join(", ") {
            _ if reports.is_empty() => "no data centre has reported".to_owned(),
            _ if !is_fresh(newest, self.clock.now()) => "no recent report".to_owned(),
            missing if missing.is_empty() => return Ok(()),
            missing => missing,
        };
        let environment = environment.clone();
        Err(Error::NotInForce { environment, digest, missing: missing.into() })
    }

    /// Deletes the oldest changes beyond [`MAX_CHANGES`] and the documents that
    /// no other change refers to. A deletion that fails is repeated after the
    /// next change.
    async fn trim_history(&self, environment: &Environment, current: Digest) {
        let Ok(changes) = self.history(environment).await else { return };
        if changes.len() <= MAX_CHANGES {
            return;
        }
        let (kept, dropped) = changes.split_at(MAX_CHANGES);
        for change in dropped {
            let is_referenced = kept.iter().any(|kept| kept.digest == change.digest);
            if !is_referenced && change.digest != current {
                self.delete(environment.bytes_key(change.digest)).await;
            }
            self.delete(environment.change_key(change.revision)).await;
        }
    }

    async fn delete(&self, key: Key) {
        let _ = self.store.execute(Operation::Delete { key, expect: Expect::Any }).await;
    }

    /// Writes a value, with up to [`MAX_ATTEMPTS`] attempts. A conflict counts as
    /// success: an earlier attempt has written the value.
    async fn put_idempotent(&self, key: Key, value: String, expect: Expect) -> Result<(), Error> {
        let operation = Operation::Put { key, value, expect, lease: None };
        let mut attempts = 1;
        loop {
            match self.store.execute(operation.clone()).await {
                Ok(_) | Err(StoreError::Conflict(_)) => return Ok(()),
                Err(err) if MAX_ATTEMPTS <= attempts => return Err(err.into()),
                Err(_) => self.clock.sleep(RETRY_PAUSE).await,
            }
            attempts += 1;
        }
    }

    pub(crate) async fn get(&self, key: Key) -> Result<Option<Entry>, Error> {
        match self.store.execute(Operation::Get { key }).await? {
            Reply::Value(entry) => Ok(entry),
            _ => Ok(None),
        }
    }

    async fn list<T: DeserializeOwned>(&self, prefix: Key) -> Result<Vec<T>, Error> {
        match self.store.execute(Operation::List { prefix }).await? {
            Reply::Values(entries) => Ok(entries.iter().filter_map(decode).collect()),
            _ => Ok(Vec::new()),
        }
    }
}

/// Decodes a record. Returns `None` if another release wrote it in a format that
/// this one doesn't know.
fn decode<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    serde_json::from_str(&entry.value).ok()
}

fn summary(report: &Report) -> String {
    let Report { data_centre, live, in_force, digest, revision, .. } = report;
    let short = &digest.to_string()[..12];
    format!("{data_centre}: {in_force} of {live} VMs run revision {revision} with digest {short}")
}

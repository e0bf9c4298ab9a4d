//! What an operator does with environments.

use briarshift_settings::Document;
use briarshift_store::{Entry, Error as StoreError, Expect, Key, Operation, Reply, Store};
use briarshift_units::{Digest, Revision, Span, WallTime};
use futures::future::LocalBoxFuture;
use serde::de::DeserializeOwned;
use similar::TextDiff;
use smol_str::SmolStr;

use crate::swap::{self, Swap};
use crate::{Change, Environment, Error, Replaced, Report, Source};

/// Changes that an environment's history keeps.
pub const MAX_CHANGES: usize = 50;
/// Age at which a report proves nothing any more.
pub const MAX_REPORT_AGE: Span = Span::from_secs(120);
/// Tries of a write that may be repeated.
const MAX_TRIES: u32 = 3;
/// Pause between two of them.
const PAUSE: Span = Span::from_millis(500);

/// Time, as far as operators' commands need it.
pub trait Clock {
    /// Wall-clock time.
    fn now(&self) -> WallTime;

    /// Waits.
    fn sleep(&self, span: Span) -> LocalBoxFuture<'_, ()>;
}

/// A document as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    /// Its revision.
    pub revision: Revision,
    /// The very text.
    pub text: String,
}

impl StoredDocument {
    /// Its digest.
    pub fn digest(&self) -> Digest {
        Document::digest(self.text.as_bytes())
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The change.
    pub change: Change,
    /// Whether the history names it.
    pub recorded: bool,
}

/// Carries out an operator's commands.
pub struct Operator<'a> {
    pub(crate) store: &'a dyn Store,
    pub(crate) clock: &'a dyn Clock,
    author: SmolStr,
}

impl<'a> Operator<'a> {
    /// An operator named `author` in records.
    pub fn new(store: &'a dyn Store, clock: &'a dyn Clock, author: &str) -> Self {
        Self { store, clock, author: author.into() }
    }

    /// Puts a document in place of revision `replaces`, 0 for the first.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::Unknown`] and [`Error::Superseded`] the
    /// document is or was in force, or may be.
    pub async fn put(
        &self,
        environment: &Environment,
        replaces: Revision,
        text: &str,
    ) -> Result<AcceptedChange, Error> {
        self.change(environment, replaces, text, Source::File).await
    }

    /// Puts the very text that is in force in `from` into `to`.
    ///
    /// # Errors
    ///
    /// [`Error::NotInForce`] unless each data centre reported of late that
    /// all its live VMs run it; else as [`Operator::put`].
    pub async fn promote(
        &self,
        from: &Environment,
        to: &Environment,
        replaces: Revision,
    ) -> Result<AcceptedChange, Error> {
        let proven = self.show(from).await?;
        let reports = self.reports(from).await?;
        self.prove(from, proven.digest(), &reports)?;
        let source = Source::Promotion { from: from.to_string().into(), revision: proven.revision };
        self.change(to, replaces, &proven.text, source).await
    }

    /// The document of an environment.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] and [`Error::Store`].
    pub async fn show(&self, environment: &Environment) -> Result<StoredDocument, Error> {
        let entry = self.get(environment.document_key()).await?;
        let entry = entry.ok_or_else(|| Error::Absent(environment.clone()))?;
        Ok(StoredDocument { revision: Revision(entry.version.0), text: entry.value })
    }

    /// The document that an environment had at a revision.
    ///
    /// # Errors
    ///
    /// [`Error::NotKept`] for a revision that the history does not name.
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

    /// What `new` changes of `old`, as a unified diff; empty if nothing.
    pub fn diff(old: &StoredDocument, new: &StoredDocument) -> String {
        let diff = TextDiff::from_lines(&old.text, &new.text);
        let name = |stored: &StoredDocument| format!("revision {}", stored.revision);
        diff.unified_diff().header(&name(old), &name(new)).to_string()
    }

    /// The changes kept, the newest first.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
    pub async fn history(&self, environment: &Environment) -> Result<Vec<Change>, Error> {
        let mut changes: Vec<Change> = self.list(environment.history_prefix()).await?;
        changes.sort_by_key(|change| std::cmp::Reverse(change.revision));
        Ok(changes)
    }

    /// What each data centre's VMs run.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
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
        let swap = Swap { environment, replaces, text };
        let old = self.get(environment.document_key()).await?;
        let found = swap::revision(old.as_ref());
        if found != replaces {
            return Err(self.conflict(&swap, found).await);
        }
        let digest = Document::digest(text.as_bytes());
        self.keep(environment.bytes_key(digest), text.to_owned(), Expect::Any).await?;
        let revision = swap.run(self).await?;
        let replaced = old.map(|old| Replaced {
            revision: replaces,
            digest: Document::digest(old.value.as_bytes()),
        });
        let (author, at) = (self.author.clone(), self.clock.now());
        let change = Change { revision, digest, replaced, author, at, source };
        let value = serde_json::to_string(&change).expect("changes are JSON");
        let record = environment.change_key(revision);
        let recorded = self.keep(record, value, Expect::Absent).await.is_ok();
        self.trim(environment, digest).await;
        Ok(AcceptedChange { change, recorded })
    }

    /// The error for a key that has moved.
    pub(crate) async fn conflict(&self, swap: &Swap<'_>, found: Revision) -> Error {
        let record = self.get(swap.environment.change_key(found)).await.ok().flatten();
        let author = record.and_then(|entry| decode::<Change>(&entry)).map(|change| change.author);
        let (environment, replaces) = (swap.environment.clone(), swap.replaces);
        Error::Conflict { environment, replaces, found, author }
    }

    fn prove(
        &self,
        environment: &Environment,
        digest: Digest,
        reports: &[Report],
    ) -> Result<(), Error> {
        let newest = reports.iter().map(|report| report.at).max().unwrap_or_default();
        let max_age = MAX_REPORT_AGE.as_millis();
        let is_fresh = |at: WallTime, now: WallTime| now.0 <= at.0.saturating_add(max_age);
        // A data centre that has been given up leaves its last report behind.
        let fresh = reports.iter().filter(|report| is_fresh(report.at, newest));
        let missing: Vec<_> =
            fresh.filter(|report| !report.is_in_force_everywhere(digest)).map(missing).collect();
        let missing = match missing.join(", ") {
            _ if reports.is_empty() => "no data centre has reported".to_owned(),
            _ if !is_fresh(newest, self.clock.now()) => "no report of late".to_owned(),
            missing if missing.is_empty() => return Ok(()),
            missing => missing,
        };
        let environment = environment.clone();
        Err(Error::NotInForce { environment, digest, missing: missing.into() })
    }

    /// Drops what the history keeps no longer. What fails here is dropped
    /// next time.
    async fn trim(&self, environment: &Environment, current: Digest) {
        let Ok(changes) = self.history(environment).await else { return };
        if changes.len() <= MAX_CHANGES {
            return;
        }
        let (kept, dropped) = changes.split_at(MAX_CHANGES);
        for change in dropped {
            let is_named = kept.iter().any(|kept| kept.digest == change.digest);
            if !is_named && change.digest != current {
                self.delete(environment.bytes_key(change.digest)).await;
            }
            self.delete(environment.change_key(change.revision)).await;
        }
    }

    async fn delete(&self, key: Key) {
        let _ = self.store.execute(Operation::Delete { key, expect: Expect::Any }).await;
    }

    /// Writes a value that may be written again, as often as it takes.
    async fn keep(&self, key: Key, value: String, expect: Expect) -> Result<(), Error> {
        let operation = Operation::Put { key, value, expect, lease: None };
        let mut tries = 1;
        loop {
            match self.store.execute(operation.clone()).await {
                Ok(_) | Err(StoreError::Conflict(_)) => return Ok(()),
                Err(err) if MAX_TRIES <= tries => return Err(err.into()),
                Err(_) => self.clock.sleep(PAUSE).await,
            }
            tries += 1;
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

/// A record, unless another release wrote it in another form.
fn decode<T: DeserializeOwned>(entry: &Entry) -> Option<T> {
    serde_json::from_str(&entry.value).ok()
}

fn missing(report: &Report) -> String {
    let Report { data_centre, live, in_force, digest, revision, .. } = report;
    let short = &digest.to_string()[..12];
    format!("{data_centre}: {in_force} of {live} VMs run {short} of revision {revision}")
}

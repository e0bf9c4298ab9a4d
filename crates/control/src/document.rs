//! The environment document in force on this VM.

use briarshift_platform::{Entry, Error, Key, Operation, Reply, Version};
use briarshift_settings::Document;
use briarshift_units::{Moment, Revision, Span};

use crate::{Context, Effect, Output, Record, Ticket};

/// How long one watch waits for a change.
const WATCH_WAIT: Span = Span::from_secs(20);
/// Pause after a failed watch.
const RETRY_PAUSE: Span = Span::from_millis(500);

/// The document in force, and the watch for its successor.
#[derive(Debug, Default)]
pub struct State {
    in_force: Option<(Revision, Document)>,
    watching: bool,
    retry_at: Moment,
}

/// The store key of an environment's document.
pub fn key(environment: &str) -> Key {
    Key::from(format!("environments/{environment}/document"))
}

impl State {
    /// The document in force, if there is one yet.
    pub fn current(&self) -> Option<&Document> {
        self.in_force.as_ref().map(|(_, document)| document)
    }

    /// The revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(Revision(0), |(revision, _)| *revision)
    }

    /// Keeps a watch on the store.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        if self.watching || ctx.at < self.retry_at {
            return;
        }
        self.watching = true;
        let operation = Operation::Watch {
            key: key(&ctx.me.environment),
            after: Version(self.revision().0),
            wait: WATCH_WAIT,
        };
        out.push(Effect::Store { ticket: Ticket::Document, operation });
    }

    /// Takes a watch's answer.
    pub fn store(&mut self, ctx: &Context<'_>, result: Result<Reply, Error>, out: &mut Output) {
        self.watching = false;
        match result {
            Ok(Reply::Value(Some(entry))) => self.accept(&entry, out),
            Ok(_) => {}
            Err(err) => {
                self.retry_at = ctx.at + RETRY_PAUSE;
                out.log(Record::new("document_watch_failed").with("error", err));
            }
        }
    }

    fn accept(&mut self, entry: &Entry, out: &mut Output) {
        let revision = Revision(entry.version.0);
        if revision <= self.revision() {
            return;
        }
        match serde_json::from_str(&entry.value) {
            Ok(document) => {
                self.in_force = Some((revision, document));
                out.log(Record::new("document_in_force").with("revision", revision));
                out.push(Effect::InForce(revision));
            }
            Err(err) => {
                let line = Record::new("document_refused").with("revision", revision);
                out.log(line.with("error", err));
            }
        }
    }
}

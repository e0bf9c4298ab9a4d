//! Distribution of the environment document, and the document in force on this
//! VM.
//!
//! In each data centre one VM, the delegate, watches the store; it is selected
//! by rendezvous hash over the live VMs. Gossip carries the head (revision and
//! digest) of each VM's document. A VM that sees a newer head pulls the
//! document from a peer that has it. A document comes into force if its bytes
//! match the digest in the head, its revision is above the one in force, and it
//! is valid. So the revision in force never decreases, and an invalid document
//! replaces nothing. docs/CONFIGURATION.md describes the alternatives and the
//! costs.

mod delegate;
mod pull;
mod report;
mod snapshot;
mod watch;

pub mod edit;

use std::sync::Arc;

use briarshift_environment::Environment;
use briarshift_settings::{Document, Faults};
use briarshift_store::{Error, Key, Operation, Reply, Version};
use briarshift_units::{Moment, Revision, Span, VmId};
use briarshift_wire::document::{Delta, Head, Message};

use crate::{Context, Effect, Output, Record, Ticket};
use pull::{Progress, Puller};
use report::Reporter;
use snapshot::Snapshot;
use watch::Watch;

pub use delegate::Peers;

/// Time without gossip from any peer after which a VM watches the store itself.
const MAX_SILENCE: Span = Span::from_secs(3);
/// Time between two runs of the periodic work.
const WORK_INTERVAL: Span = Span::from_millis(100);
/// Maximum number of faults that are logged for one document.
const MAX_LOGGED_FAULTS: usize = 100;

/// The document in force, and the state of the search for a newer one.
#[derive(Debug, Default)]
pub struct State {
    current: Option<Snapshot>,
    /// The last revision that was refused as invalid.
    refused: Revision,
    started_at: Option<Moment>,
    /// Whether the store has replied to a watch.
    has_read: bool,
    last_work_at: Option<Moment>,
    watch: Watch,
    puller: Puller,
    reporter: Reporter,
}

/// Returns the store key of an environment's document.
pub fn key(environment: &str) -> Key {
    Key::from(format!("environments/{environment}/document"))
}

fn environment(ctx: &Context<'_>) -> Environment {
    ctx.me.environment.parse().expect("settings check the environment's name")
}

impl State {
    /// Returns the document in force, if there is one yet.
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref().map(|snapshot| &snapshot.document)
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current_head().map_or(Revision(0), |head| head.revision)
    }

    /// Returns the head of the document in force, for gossip.
    pub fn current_head(&self) -> Option<Head> {
        self.current.as_ref().map(|snapshot| snapshot.head)
    }

    /// Returns the newest revision that this VM has received, valid or not.
    fn known(&self) -> Revision {
        self.revision().max(self.refused)
    }

    /// Returns true if a revision may replace the one in force. It may be below
    /// a refused one: a VM that starts while the store holds an invalid
    /// document takes the last valid one from its peers.
    fn may_replace(&self, revision: Revision) -> bool {
        self.revision() < revision && revision != self.refused
    }

    /// Runs what is due: the watch, a request to take it over, a pull, a
    /// report.
    pub fn tick(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        if self.last_work_at.is_some_and(|at| ctx.at.since(at) < WORK_INTERVAL) {
            return;
        }
        self.last_work_at = Some(ctx.at);
        self.puller.expire(ctx.at);
        self.pull(ctx, peers, out);
        let is_delegate = self.is_delegate(ctx, peers);
        self.keep_watch(ctx, is_delegate, out);
        if let Some(rank) = self.watch.takeover_rank(ctx.at, is_delegate) {
            self.request_takeover(ctx, peers, rank, out);
        }
        if is_delegate {
            self.report(ctx, peers, out);
        }
    }

    /// Records the head of the document in force on a peer, and starts a pull
    /// if it is newer.
    pub fn handle_head(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        from: &VmId,
        head: Option<Head>,
        out: &mut Output,
    ) {
        self.puller.record_head(ctx.at, from, head);
        self.pull(ctx, peers, out);
    }

    /// Handles a peer's message: answers a request, applies an answer, or takes
    /// the watch over.
    pub fn handle_message(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        from: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        match message {
            Message::Request { revision } => {
                let newer =
                    self.current.as_ref().filter(|snapshot| revision < snapshot.head.revision);
                if let Some(snapshot) = newer {
                    send(peers, from, snapshot.answer(revision), out);
                }
            }
            Message::RequestPiece { digest, offset } => {
                if let Some(snapshot) = &self.current {
                    send(peers, from, snapshot.piece(digest, offset), out);
                }
            }
            Message::Failover { rank } => self.watch.take_over(ctx.at, rank),
            answer => self.handle_answer(ctx, peers, from, answer, out),
        }
    }

    /// Applies the store's reply to a watch.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        match result {
            Ok(Reply::Value(entry)) => {
                self.watch.succeed();
                self.has_read = true;
                let Some(entry) = entry else { return };
                let revision = Revision(entry.version.0);
                if !self.may_replace(revision) {
                    return;
                }
                // A VM that has just started was no delegate, so it hands
                // nothing over.
                if self.current.is_some() {
                    self.watch.hand_over(ctx.at);
                }
                let bytes = entry.value.into_bytes();
                let head = Head { revision, digest: Document::digest(&bytes) };
                self.accept(head, bytes, None, "store", out);
            }
            Ok(_) => self.watch.succeed(),
            Err(err) => {
                self.watch.fail(ctx.at, ctx.entropy);
                out.log(Record::new("document_watch_failed").with("error", err));
            }
        }
    }

    /// Applies the store's reply to a report; a lost one is repeated soon.
    pub fn handle_report_reply(&mut self, result: &Result<Reply, Error>) {
        if result.is_err() {
            self.reporter.retry_soon();
        }
    }

    fn is_delegate(&self, ctx: &Context<'_>, peers: &dyn Peers) -> bool {
        delegate::order(ctx, peers, self.revision()).first() == Some(&&ctx.me.vm)
    }

    /// Starts a watch on the store if none is outstanding and one is needed
    /// here: this VM is the delegate, hands the watch over to the next one, has
    /// taken over from a VM whose watch fails, hears from no peer, or has got
    /// neither a document nor a reply of the store since its start.
    fn keep_watch(&mut self, ctx: &Context<'_>, is_delegate: bool, out: &mut Output) {
        let started_at = *self.started_at.get_or_insert(ctx.at);
        let is_isolated = MAX_SILENCE <= self.puller.silence(ctx.at, started_at);
        let is_needed = is_delegate || is_isolated || self.watch.is_extended(ctx.at);
        let is_starting = self.current.is_none() && !self.has_read;
        self.watch.set_needed(is_needed);
        if !(is_needed || is_starting) || !self.watch.start(ctx.at) {
            return;
        }
        let key = environment(ctx).document_key();
        let after = Version(self.known().0);
        let operation = Operation::Watch { key, after, wait: watch::MAX_WAIT };
        out.push(Effect::Store { ticket: Ticket::Document, operation });
    }

    /// Writes the delegate's report to the store, if one is due.
    fn report(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        let Some(head) = self.current_head() else { return };
        if let Some(operation) = self.reporter.next_report(ctx, peers, head, &self.puller) {
            out.push(Effect::Store { ticket: Ticket::Report, operation });
        }
    }

    /// Asks the VM of the given rank to take the watch over.
    fn request_takeover(&self, ctx: &Context<'_>, peers: &dyn Peers, rank: u8, out: &mut Output) {
        let order = delegate::order(ctx, peers, self.revision());
        let Some(&vm) = order.get(usize::from(rank)) else { return };
        out.log(Record::new("document_failover").with("to", vm).with("rank", rank));
        send(peers, vm, Message::Failover { rank }, out);
    }

    /// Sends the next request for a newer document, if one is due.
    fn pull(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        let (revision, refused) = (self.revision(), self.refused);
        if let Some((from, message)) =
            self.puller.next_request(ctx.at, ctx.entropy, revision, refused)
        {
            send(peers, &from, message, out);
        }
    }

    fn handle_answer(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        from: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        match self.puller.handle_answer(ctx.at, from, message, self.current.as_ref()) {
            Progress::Continue(message) => send(peers, from, message, out),
            Progress::Complete(head, bytes, deltas) => {
                self.accept(head, bytes, deltas, from.as_str(), out);
                self.pull(ctx, peers, out);
            }
            Progress::Failed => {
                out.log(Record::new("document_pull_failed").with("from", from));
                self.pull(ctx, peers, out);
            }
            Progress::Unexpected => {}
        }
    }

    /// Puts a document in force if it is newer and valid. `deltas` lead
    /// to it from the document in force, if they are known.
    fn accept(
        &mut self,
        head: Head,
        bytes: Vec<u8>,
        deltas: Option<Vec<Delta>>,
        from: &str,
        out: &mut Output,
    ) {
        if !self.may_replace(head.revision) {
            return;
        }
        let document = match Document::parse(&bytes) {
            Ok(document) => document,
            Err(faults) => return self.refuse(head, &faults, out),
        };
        let line = Record::new("document_in_force").with("revision", head.revision);
        out.log(line.with("digest", head.digest).with("from", from));
        let mut snapshot = Snapshot::new(head, Arc::from(bytes), document);
        if let Some(older) = self.current.take() {
            snapshot.add_deltas(older, deltas);
        }
        self.current = Some(snapshot);
        out.push(Effect::InForce(head.revision));
    }

    /// Logs an invalid document with its faults, and remembers its revision.
    fn refuse(&mut self, head: Head, faults: &Faults, out: &mut Output) {
        self.refused = head.revision;
        let line = Record::new("document_refused").with("revision", head.revision);
        let line = line.with("in_force", self.revision()).with("digest", head.digest);
        out.log(line.with("faults", faults.count()));
        for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
            let line = Record::new("document_fault").with("revision", head.revision);
            out.log(line.with("path", &fault.path).with("fault", &fault.kind));
        }
    }
}

fn send(peers: &dyn Peers, to: &VmId, message: Message, out: &mut Output) {
    let Some(address) = peers.address(to) else { return };
    let message = briarshift_wire::Message::Document(message);
    out.push(Effect::Send { to: to.clone(), address, message });
}

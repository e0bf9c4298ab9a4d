//! The environment document in force on this VM.
//!
//! One delegate a data centre holds a watch on the store, by rendezvous hash
//! over its live VMs; the others learn of a new document from the heads in
//! gossip and pull it from a peer that has it. An accepted document is in
//! force when its bytes have the digest that its head names, its revision is
//! above the one in force, and it has no fault: revisions never go down, and
//! an invalid document replaces nothing. docs/CONFIGURATION.md says what else
//! was weighed, and what it costs.

mod delegate;
mod held;
mod pull;
mod tally;
mod watch;

pub mod edit;

use std::sync::Arc;

use briarshift_environment::Environment;
use briarshift_settings::{Document, Faults};
use briarshift_store::{Error, Key, Operation, Reply, Version};
use briarshift_units::{Moment, Revision, Span, VmId};
use briarshift_wire::document::{Delta, Head, Message};

use crate::{Context, Effect, Output, Record, Ticket};
use held::Held;
use pull::{Progress, Puller};
use tally::Tally;
use watch::Watch;

pub use delegate::Peers;

/// How long a VM hears no peer before it watches the store itself.
const SILENCE: Span = Span::from_secs(3);
/// Time between two rounds of periodic work.
const INTERVAL: Span = Span::from_millis(100);
/// Faults logged of one document.
const MAX_LOGGED: usize = 100;

/// The document in force, and how its successor is found.
#[derive(Debug, Default)]
pub struct State {
    held: Option<Held>,
    /// The last revision that was invalid.
    refused: Revision,
    started_at: Option<Moment>,
    has_read: bool,
    worked_at: Option<Moment>,
    watch: Watch,
    puller: Puller,
    tally: Tally,
}

/// The store key of an environment's document.
pub fn key(environment: &str) -> Key {
    Key::from(format!("environments/{environment}/document"))
}

fn environment(ctx: &Context<'_>) -> Environment {
    ctx.me.environment.parse().expect("settings check the environment's name")
}

impl State {
    /// The document in force, if there is one yet.
    pub fn current(&self) -> Option<&Document> {
        self.held.as_ref().map(|held| &held.document)
    }

    /// The revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current_head().map_or(Revision(0), |head| head.revision)
    }

    /// The head in force, for gossip.
    pub fn current_head(&self) -> Option<Head> {
        self.held.as_ref().map(|held| held.head)
    }

    /// The newest revision that this VM has read, valid or not.
    fn known(&self) -> Revision {
        self.revision().max(self.refused)
    }

    /// Whether a revision may replace the one in force. One below a refused
    /// one may: a VM that starts while the store holds an invalid document
    /// takes the last valid one from its peers.
    fn is_newer(&self, revision: Revision) -> bool {
        self.revision() < revision && revision != self.refused
    }

    /// Keeps the watch, the pull and the report going.
    pub fn tick(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        if self.worked_at.is_some_and(|at| ctx.at.since(at) < INTERVAL) {
            return;
        }
        self.worked_at = Some(ctx.at);
        self.puller.expire(ctx.at);
        self.pull(ctx, peers, out);
        let is_delegate = self.is_delegate(ctx, peers);
        self.keep_watch(ctx, is_delegate, out);
        if let Some(rank) = self.watch.ask(ctx.at, is_delegate) {
            self.ask_takeover(ctx, peers, rank, out);
        }
        if is_delegate {
            self.report(ctx, peers, out);
        }
    }

    /// A peer named what it runs.
    pub fn handle_head(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        from: &VmId,
        head: Option<Head>,
        out: &mut Output,
    ) {
        self.puller.hear(ctx.at, from, head);
        self.pull(ctx, peers, out);
    }

    /// A peer asked for the document, or answered.
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
                let newer = self.held.as_ref().filter(|held| revision < held.head.revision);
                if let Some(held) = newer {
                    send(peers, from, held.answer(revision), out);
                }
            }
            Message::RequestPiece { digest, offset } => {
                if let Some(held) = &self.held {
                    send(peers, from, held.piece(digest, offset), out);
                }
            }
            Message::Failover { rank } => self.watch.take_over(ctx.at, rank),
            answer => self.answer(ctx, peers, from, answer, out),
        }
    }

    /// The store answered a watch.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) {
        match result {
            Ok(Reply::Value(entry)) => {
                self.watch.answered();
                self.has_read = true;
                let Some(entry) = entry else { return };
                let revision = Revision(entry.version.0);
                if !self.is_newer(revision) {
                    return;
                }
                // A VM that starts has no watch to hand over.
                if self.held.is_some() {
                    self.watch.read(ctx.at);
                }
                let bytes = entry.value.into_bytes();
                let head = Head { revision, digest: Document::digest(&bytes) };
                self.accept(head, bytes, None, "store", out);
            }
            Ok(_) => self.watch.answered(),
            Err(err) => {
                self.watch.failed(ctx.at, ctx.entropy);
                out.log(Record::new("document_watch_failed").with("error", err));
            }
        }
    }

    /// The store answered a report.
    pub fn handle_report_reply(&mut self, result: &Result<Reply, Error>) {
        if result.is_err() {
            self.tally.lost();
        }
    }

    fn is_delegate(&self, ctx: &Context<'_>, peers: &dyn Peers) -> bool {
        delegate::order(ctx, peers, self.revision()).first() == Some(&&ctx.me.vm)
    }

    /// Watches the store: as delegate, for one that hands over or fails, at
    /// the VM's start, or because it hears nobody.
    fn keep_watch(&mut self, ctx: &Context<'_>, is_delegate: bool, out: &mut Output) {
        let started_at = *self.started_at.get_or_insert(ctx.at);
        let hears_nobody = SILENCE <= self.puller.silence(ctx.at, started_at);
        let has_duty = is_delegate || hears_nobody || self.watch.is_extended(ctx.at);
        let starts = self.held.is_none() && !self.has_read;
        self.watch.set_duty(has_duty);
        if !(has_duty || starts) || !self.watch.start(ctx.at) {
            return;
        }
        let key = environment(ctx).document_key();
        let after = Version(self.known().0);
        let operation = Operation::Watch { key, after, wait: watch::WAIT };
        out.push(Effect::Store { ticket: Ticket::Document, operation });
    }

    fn report(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        let Some(head) = self.current_head() else { return };
        if let Some(operation) = self.tally.report(ctx, peers, head, &self.puller) {
            out.push(Effect::Store { ticket: Ticket::Report, operation });
        }
    }

    fn ask_takeover(&self, ctx: &Context<'_>, peers: &dyn Peers, rank: u8, out: &mut Output) {
        let order = delegate::order(ctx, peers, self.revision());
        let Some(&vm) = order.get(usize::from(rank)) else { return };
        out.log(Record::new("document_failover").with("to", vm).with("rank", rank));
        send(peers, vm, Message::Failover { rank }, out);
    }

    fn pull(&mut self, ctx: &Context<'_>, peers: &dyn Peers, out: &mut Output) {
        let (revision, refused) = (self.revision(), self.refused);
        if let Some((from, message)) = self.puller.ask(ctx.at, ctx.entropy, revision, refused) {
            send(peers, &from, message, out);
        }
    }

    fn answer(
        &mut self,
        ctx: &Context<'_>,
        peers: &dyn Peers,
        from: &VmId,
        message: Message,
        out: &mut Output,
    ) {
        match self.puller.answer(ctx.at, from, message, self.held.as_ref()) {
            Progress::More(message) => send(peers, from, message, out),
            Progress::Whole(head, bytes, steps) => {
                self.accept(head, bytes, steps, from.as_str(), out);
                self.pull(ctx, peers, out);
            }
            Progress::Failed => {
                out.log(Record::new("document_pull_failed").with("from", from));
                self.pull(ctx, peers, out);
            }
            Progress::Stray => {}
        }
    }

    /// Puts a document in force, if it is newer and has no fault. `steps`
    /// lead to it from the one in force, if they are known.
    fn accept(
        &mut self,
        head: Head,
        bytes: Vec<u8>,
        steps: Option<Vec<Delta>>,
        from: &str,
        out: &mut Output,
    ) {
        if !self.is_newer(head.revision) {
            return;
        }
        let document = match Document::parse(&bytes) {
            Ok(document) => document,
            Err(faults) => return self.refuse(head, &faults, out),
        };
        let line = Record::new("document_in_force").with("revision", head.revision);
        out.log(line.with("digest", head.digest).with("from", from));
        let mut held = Held::new(head, Arc::from(bytes), document);
        if let Some(older) = self.held.take() {
            held.follow(older, steps);
        }
        self.held = Some(held);
        out.push(Effect::InForce(head.revision));
    }

    fn refuse(&mut self, head: Head, faults: &Faults, out: &mut Output) {
        self.refused = head.revision;
        let line = Record::new("document_refused").with("revision", head.revision);
        let line = line.with("in_force", self.revision()).with("digest", head.digest);
        out.log(line.with("faults", faults.count()));
        for fault in faults.iter().take(MAX_LOGGED) {
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

//! Keeps up with the store.
//!
//! After a first read of all rows, which may be old, and a question whether the
//! configuration has changed since, one question at a time asks for the changes since the last
//! answer. Questions are paced, so that changes gather: many
//! targets write often, and a call for each change would cost as much as the
//! requests. Each answer confirms the configuration as of the moment its
//! question was sent.
//!
//! A few VMs of each data centre, the delegates, ask the store; the others ask
//! them. Where these have only old news, two backups turn to the store at once
//! and the others ask the backups. A VM that nobody answers, or nobody can tell,
//! asks the store itself, so that no VM depends on another.
//!
//! The configuration never goes back: an older version is logged and ignored,
//! whatever an answer says.

mod journal;
mod lease;

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_logging::Record;
use briarshift_routing::fence::Fence;
use briarshift_store::registry::{Call, Name, Reply, Row, Secret, Value};
use briarshift_store::{Error, Version};
use briarshift_units::{Moment, Span, VmId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::{Request, Response};

use self::journal::Journal;
use self::lease::Registration;
use crate::limit::{
    DELEGATE_INTERVAL, DELEGATE_TIMEOUT, FAILURE_LOG_INTERVAL, MAX_DELEGATE_AGE,
    STORE_FAILURE_WINDOW, STORE_FALLBACK_AGE, STORE_FALLBACK_STEP, STORE_RETRY_DELAY,
    SYNC_INTERVAL, SYNC_RETRY_DELAY,
};
use crate::{Context, Effect, Output, peer};

/// What rows say to the other concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The rows.
    pub rows: Vec<Row>,
    /// They are all there are: what is not among them is gone.
    pub whole: bool,
}

/// The question that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Waiting {
    No,
    Store,
    Peer { vm: VmId, at: Moment },
}

/// What this VM knows of the store.
#[derive(Debug)]
pub struct State {
    catalog: Option<Arc<Catalog>>,
    version: Option<Version>,
    fence: Fence,
    secret: Option<Secret>,
    registration: Registration,
    journal: Journal,
    waiting: Waiting,
    next: Moment,
    /// Rows that may be old were read, and nothing since.
    unconfirmed: bool,
    /// The store has dropped changes that this VM needed.
    compacted: bool,
    /// Delegates can't tell what this VM lacks.
    behind: bool,
    /// The delegates' last news was old.
    late: bool,
    /// The delegate that failed last.
    failed: Option<VmId>,
    trouble: Option<Moment>,
    /// When a call about changes failed last.
    tried: Option<Moment>,
    logged: Option<Moment>,
}

impl State {
    /// A VM that has read nothing; it serves keys until its configuration is
    /// `key_age` old.
    pub fn new(key_age: Span) -> Self {
        Self {
            catalog: None,
            version: None,
            fence: Fence::new(key_age),
            secret: None,
            registration: Registration::default(),
            journal: Journal::default(),
            waiting: Waiting::No,
            next: Moment::default(),
            unconfirmed: false,
            compacted: false,
            behind: false,
            late: false,
            failed: None,
            trouble: None,
            tried: None,
            logged: None,
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Until when keys may be served by it.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Changes how old the configuration may be for keys to be served.
    pub fn limit(&mut self, key_age: Span) {
        self.fence.set_max_age(key_age);
    }

    /// Whether a call to the store has failed a short while ago.
    pub fn is_troubled(&self, now: Moment) -> bool {
        self.trouble.is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW)
    }

    /// Asks the questions that are due.
    pub fn tick(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        self.give_up(ctx, out);
        if self.waiting == Waiting::No && self.next <= ctx.at {
            self.ask(ctx, peers, out);
        }
        if self.version.is_some() {
            self.registration.tick(ctx, self.secret.is_some(), out);
        }
    }

    /// Ends this VM's registration.
    pub fn leave(&mut self, out: &mut Output) {
        self.registration.leave(out);
    }

    /// A delegate that does not answer is passed over.
    fn give_up(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let Waiting::Peer { vm, at } = &self.waiting else { return };
        if ctx.at.since(*at) < DELEGATE_TIMEOUT {
            return;
        }
        out.log(Record::new("delegate_silent").with("peer", vm));
        self.failed = Some(vm.clone());
        self.waiting = Waiting::No;
    }

    fn ask(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        let Some(after) = self.version else {
            self.waiting = Waiting::Store;
            return out.push(Effect::Call(Call::ReadAll { newest: self.compacted }));
        };
        if self.unconfirmed && !self.has_failed(ctx.at) {
            self.waiting = Waiting::Store;
            return out.push(Effect::Call(Call::ReadCatalog { after }));
        }
        if let Some((vm, address)) = self.source(ctx, peers) {
            let ask = Request { from: ctx.me.vm.clone(), sent_at: ctx.at, after: after.0 };
            self.waiting = Waiting::Peer { vm, at: ctx.at };
            return out.push(Effect::Send { address, datagram: Datagram::SyncRequest(ask) });
        }
        self.waiting = Waiting::Store;
        out.push(Effect::Call(Call::ReadChanges { after, wait: Span::ZERO }));
    }

    /// The peer to ask; `None` if this VM must ask the store itself: it is a
    /// delegate, or the delegates' news is old or can't be told. While the store
    /// has just failed this VM, peers are asked all the same.
    fn source(&self, ctx: &Context<'_>, peers: &peer::State) -> Option<(VmId, SocketAddr)> {
        let order = peers.order(ctx.me);
        let failed = self.has_failed(ctx.at);
        if self.behind || (!failed && self.must_read(ctx, &order)) {
            return None;
        }
        // A VM anywhere that the store does not turn away can tell.
        if (failed || self.late)
            && let Some(fresh) = peers.freshest(ctx.at)
        {
            return Some(fresh);
        }
        if order.is_delegate() {
            return None;
        }
        let asked = if self.late { order.backups() } else { order.delegates() };
        let is_sound = |vm: &&VmId| **vm != ctx.me.vm && Some(*vm) != self.failed.as_ref();
        let vm = asked.iter().chain(order.delegates()).find(is_sound)?;
        Some((vm.clone(), peers.address(vm)?))
    }

    /// Whether the store has failed this VM a short while ago.
    fn has_failed(&self, now: Moment) -> bool {
        self.tried.is_some_and(|at| now.since(at) < STORE_RETRY_DELAY)
    }

    /// Whether this VM may not wait for others any longer.
    fn must_read(&self, ctx: &Context<'_>, order: &peer::Order) -> bool {
        let age = self.fence.confirmed_at().map(|at| ctx.at.since(at));
        let Some(behind) = order.behind() else {
            return self.late || age.is_none_or(|age| STORE_FALLBACK_AGE <= age);
        };
        // Peers that answer that the store fails them spare it this VM's call.
        let is_outage = self.late && self.is_troubled(ctx.at);
        let step = if is_outage { STORE_FALLBACK_STEP.0 * (behind as u64 + 1) } else { 0 };
        age.is_none_or(|age| STORE_FALLBACK_AGE + Span(step) <= age)
    }

    /// Answers another VM's question, if this one knows enough.
    pub fn asked(&self, ctx: &Context<'_>, ask: &Request, address: SocketAddr, out: &mut Output) {
        let (Some(version), Some(confirmed)) = (self.version, self.fence.confirmed_at()) else {
            return;
        };
        let tell = Response {
            from: ctx.me.vm.clone(),
            request_sent_at: ask.sent_at,
            version: version.0,
            age: ctx.at.since(confirmed),
            store_failing: self.is_troubled(ctx.at),
            rows: self.journal.since(Version(ask.after)),
        };
        out.push(Effect::Send { address, datagram: Datagram::SyncResponse(tell) });
    }

    /// Takes in a delegate's answer; rows are for the other concerns.
    pub fn told(&mut self, ctx: &Context<'_>, tell: Response, out: &mut Output) -> Option<Update> {
        if self.waiting != (Waiting::Peer { vm: tell.from.clone(), at: tell.request_sent_at }) {
            return None;
        }
        self.waiting = Waiting::No;
        if tell.store_failing {
            self.trouble = Some(ctx.at);
        }
        let Some(rows) = tell.rows else {
            out.log(Record::new("delegate_ahead").with("peer", &tell.from));
            self.behind = true;
            return None;
        };
        let was_late = std::mem::replace(&mut self.late, MAX_DELEGATE_AGE < tell.age);
        // A store that has just failed this VM is not asked again at once, nor
        // are backups that have old news too.
        let turns = self.late && !was_late && self.tried.is_none();
        self.next = if turns { ctx.at } else { tell.request_sent_at + DELEGATE_INTERVAL };
        // What was newest `age` before the answer was newest `age` before the
        // question.
        let confirmed = Moment(tell.request_sent_at.0.saturating_sub(tell.age.0));
        let version = self.version.max(Some(Version(tell.version)));
        Some(self.take(rows, false, version.unwrap_or_default(), Some(confirmed), out))
    }

    /// Takes in the answer to a call; rows are for the other concerns.
    pub fn answered(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        result: Result<Reply, Error>,
        out: &mut Output,
    ) -> Option<Update> {
        self.note(ctx, call, &result, out);
        let whole = match call {
            Call::ReadAll { .. } => true,
            Call::ReadChanges { .. } | Call::ReadCatalog { .. } => false,
            Call::WriteHoldings { .. } => return None,
            _ => {
                self.registration.answered(ctx, call, sent, &result);
                return None;
            }
        };
        self.waiting = Waiting::No;
        self.next = if result.is_ok() { sent + SYNC_INTERVAL } else { ctx.at + SYNC_RETRY_DELAY };
        self.tried = result.is_err().then_some(ctx.at);
        self.late = false;
        match result {
            Ok(Reply::Rows { rows, version }) => {
                self.failed = None;
                self.behind = false;
                self.compacted = false;
                // Rows that may be old confirm nothing. Whether the configuration
                // has changed is asked alone: what has changed of all rows is much
                // to read where there are many targets, and keeps callers waiting.
                if whole {
                    self.next = ctx.at;
                    self.unconfirmed = true;
                    return Some(self.take(rows, whole, version, None, out));
                }
                let is_catalog = matches!(call, Call::ReadCatalog { .. });
                if is_catalog {
                    // Where there is no configuration yet, changes will bring it.
                    self.unconfirmed = false;
                    self.next = sent + DELEGATE_INTERVAL;
                }
                let known = self.version.filter(|_| is_catalog);
                Some(self.take(rows, false, known.unwrap_or(version), Some(sent), out))
            }
            Err(Error::Compacted) => {
                self.compacted = true;
                let version = self.version.take().unwrap_or_default();
                out.log(Record::new("store_compacted").with("version", version.0));
                self.next = ctx.at;
                None
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Logs a store that is lost or back.
    fn note(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Err(err @ (Error::Refused(_) | Error::Unknown(_))) = result else {
            if result.is_ok() && self.logged.take().is_some() {
                out.log(Record::new("store_back").with("call", name(call)));
            }
            return;
        };
        self.trouble = Some(ctx.at);
        if self.logged.is_some_and(|at| ctx.at.since(at) < FAILURE_LOG_INTERVAL) {
            return;
        }
        self.logged = Some(ctx.at);
        let age = self.fence.confirmed_at().map_or(0, |at| ctx.at.since(at).as_millis());
        let line = Record::new("store_failed").with("call", name(call));
        out.log(line.with("error", err).with("confirmed_ms_ago", age));
    }

    fn take(
        &mut self,
        rows: Vec<Row>,
        whole: bool,
        version: Version,
        confirmed: Option<Moment>,
        out: &mut Output,
    ) -> Update {
        let rows = self.journal.take(rows, whole, version);
        for row in &rows {
            match (&row.name, &row.value) {
                (Name::Catalog, Some(Value::Catalog(catalog))) => self.adopt(catalog, out),
                (Name::Secret, Some(Value::Secret(secret)))
                    if self.secret.as_ref() != Some(secret) =>
                {
                    self.secret = Some(secret.clone());
                    out.push(Effect::SetSecret(secret.clone()));
                }
                (Name::Other(_), _) => {}
                (name, Some(Value::Unusable(reason))) => {
                    let line = Record::new("row_unusable").with("row", name);
                    out.log(line.with("version", row.version.0).with("reason", reason));
                }
                _ => {}
            }
        }
        self.version = Some(version);
        if let Some(confirmed) = confirmed.filter(|_| self.catalog.is_some()) {
            self.fence.confirm(confirmed);
            self.unconfirmed = false;
        }
        Update { rows, whole }
    }

    fn adopt(&mut self, catalog: &Arc<Catalog>, out: &mut Output) {
        let known = self.catalog.as_ref().map(|catalog| catalog.revision());
        if known.is_some_and(|known| catalog.revision() <= known) {
            if Some(catalog.revision()) != known {
                let line = Record::new("catalog_older").with("revision", catalog.revision());
                out.log(line.with("in_force", known.unwrap_or_default()));
            }
            return;
        }
        out.log(
            Record::new("catalog")
                .with("revision", catalog.revision())
                .with("before", known.unwrap_or_default())
                .with("routes", catalog.route_count()),
        );
        out.push(Effect::SetLimits(catalog.limits()));
        self.catalog = Some(Arc::clone(catalog));
    }
}

fn name(call: &Call) -> &'static str {
    match call {
        Call::ReadAll { .. } => "read",
        Call::ReadCatalog { .. } => "catalog",
        Call::ReadChanges { .. } => "changes",
        Call::Grant { .. } => "grant",
        Call::Renew { .. } => "renew",
        Call::Revoke { .. } => "revoke",
        Call::Register { .. } => "announce",
        Call::CreateSecret { .. } => "found",
        Call::WriteHoldings { .. } => "hold",
    }
}

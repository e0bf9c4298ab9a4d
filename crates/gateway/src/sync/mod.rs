//! Follows the changes in the store.
//!
//! A VM first reads all rows, which may be out of date, and then asks whether
//! the configuration has changed since. From then on it asks for the changes
//! since the last reply, with one query at a time. Queries are spaced out so
//! that changes accumulate: many targets write often, and one call per change
//! would cost as much as the requests. Each reply confirms the configuration as
//! of the time at which its query was sent.
//!
//! A few VMs of each data centre, the delegates, query the store; the others
//! query the delegates. If the bounds on changes leave time for it, two readers
//! query the store for the whole fleet and the delegates query them (see
//! [`pace`]). If the delegates have only stale data, two backups read the store
//! at once and the others query the backups. A VM that gets no reply from its
//! peers, or one without the changes that it needs, queries the store itself, so
//! that no VM depends on another.
//!
//! The configuration never goes back: an older version is logged and ignored,
//! whichever reply it comes with.
//!
//! A read confirms the configuration in force only if that is the one the store
//! holds. If the store holds one that can't be decoded, or an older one, keys may
//! have been revoked that this VM can't know of. Requests with keys are then
//! refused once the last confirmation is too old. The VM still tells its peers how
//! recent its rows are, so that they don't all read the store.

mod catalog;
mod era;
mod journal;
mod lease;
mod pace;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_catalog::Catalog;
use briarshift_logging::Record;
use briarshift_routing::freshness::Freshness;
use briarshift_store::registry::{Answer, Call, Name, Reply, Row, Secret, Value};
use briarshift_store::{Era, Error, Position};
use briarshift_units::{Moment, Revision, Span, VmId};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::{Request, Response};

use self::journal::Journal;
use self::lease::Registration;
use self::pace::Pace;
use crate::context::call_name;
use crate::limit::{
    DELEGATE_INTERVAL, DELEGATE_TIMEOUT, FAILURE_LOG_INTERVAL, READERS, STORE_FAILURE_WINDOW,
    STORE_FALLBACK_STEP, STORE_RETRY_DELAY, SYNC_RETRY_DELAY,
};
use crate::{Bounds, Context, Effect, Output, peer};

/// Rows for the other components.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The rows.
    pub rows: Vec<Row>,
    /// The rows are a snapshot: rows that are missing have been deleted.
    pub snapshot: bool,
    /// The store's version up to which the rows are complete.
    pub version: Position,
    /// Set while the store is failing, and for a while after it has returned from a copy:
    /// rows that are missing may have lapsed, at this time at the earliest, and may return.
    pub lapsed_at: Option<Moment>,
    /// These are the first rows of a later era than the rows before: the store has returned
    /// from a copy, and what operators and targets wrote since may not be written again yet.
    /// All evacuated data centres are among the rows.
    pub has_returned: bool,
}

/// The query that is waiting for its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Query {
    None,
    Store,
    Peer { vm: VmId, at: Moment, max_age: Span },
}

/// When a VM's rows were known to be complete.
#[derive(Debug, Clone, Copy, Default)]
struct RowsAge {
    /// The time, or that of the call if the rows are a snapshot that may be out of date.
    at: Option<Moment>,
    is_certain: bool,
}

impl RowsAge {
    /// Records that the rows were complete at a time. The time of an uncertain snapshot
    /// does not count any more.
    fn confirm(&mut self, at: Moment) {
        *self = Self { at: self.certain().max(Some(at)), is_certain: true };
    }

    /// Returns the time for which this VM vouches to its peers.
    fn certain(&self) -> Option<Moment> {
        self.at.filter(|_| self.is_certain)
    }
}

/// A peer to query.
struct Source {
    vm: VmId,
    address: SocketAddr,
    /// Maximum age of its data. Older data is stale.
    max_age: Span,
}

/// What this VM knows of the store.
#[derive(Debug)]
pub struct State {
    catalog: Option<Arc<Catalog>>,
    version: Option<Position>,
    /// When the rows up to `version` were known to be all that there were. Older than
    /// the confirmation of the configuration if only that was read since.
    rows: RowsAge,
    freshness: Freshness,
    /// When the operators' rows were last known to be the newest, whether or not the
    /// configuration among them can be used.
    read_at: Option<Moment>,
    /// The store holds another configuration than the one in force, so that reads
    /// don't confirm that one.
    is_superseded: bool,
    era: Era,
    /// When this VM learned of the era, if it is not the first one.
    returned_at: Option<Moment>,
    /// Nothing has confirmed the configuration since the store returned.
    is_unsettled: bool,
    /// The newest revision of the configuration that a peer had in force.
    peer_revision: Revision,
    pace: Pace,
    secret: Option<Secret>,
    /// The store has lost the secret, so that a VM must write it again.
    secret_lost: bool,
    registration: Registration,
    journal: Journal,
    query: Query,
    next_query_at: Moment,
    /// The rows read may be out of date, and nothing has confirmed the
    /// configuration since.
    unconfirmed: bool,
    /// The store has dropped changes that this VM needed.
    compacted: bool,
    /// Delegates no longer have the changes that this VM needs.
    delegates_lack_changes: bool,
    /// The last response of a delegate was stale.
    delegates_stale: bool,
    /// The delegate that last failed to reply; none after a reply from the
    /// store.
    failed_delegate: Option<VmId>,
    /// VMs that did not reply, or with stale data, or that the store fails, and
    /// when. Delegates don't
    /// query them as readers for a while.
    failed_readers: BTreeMap<VmId, Moment>,
    /// When a call to the store last failed, here or on a peer that replied.
    failure_seen_at: Option<Moment>,
    /// When a call of this VM itself last failed.
    own_failure_at: Option<Moment>,
    /// When this VM's latest read of the store failed; `None` if it succeeded.
    store_failed_at: Option<Moment>,
    failure_logged_at: Option<Moment>,
}

impl State {
    /// Creates the state of a VM that has read nothing. It serves requests with
    /// keys until its configuration is as old as the bounds allow.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            catalog: None,
            version: None,
            rows: RowsAge::default(),
            freshness: Freshness::new(bounds.key_age),
            read_at: None,
            is_superseded: false,
            era: Era::default(),
            returned_at: None,
            is_unsettled: false,
            peer_revision: Revision::default(),
            pace: Pace::new(bounds.change, bounds.key_age),
            secret: None,
            secret_lost: false,
            registration: Registration::default(),
            journal: Journal::default(),
            query: Query::None,
            next_query_at: Moment::default(),
            unconfirmed: false,
            compacted: false,
            delegates_lack_changes: false,
            delegates_stale: false,
            failed_delegate: None,
            failed_readers: BTreeMap::new(),
            failure_seen_at: None,
            own_failure_at: None,
            store_failed_at: None,
            failure_logged_at: None,
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns until when requests with keys may be served.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns when the operators' rows were last known to be the newest, whether or
    /// not the configuration among them can be used.
    pub fn read_at(&self) -> Option<Moment> {
        self.read_at
    }

    /// Returns when the rows were last known to be complete.
    pub fn rows_complete_at(&self) -> Option<Moment> {
        self.rows.certain()
    }

    /// Applies changed bounds.
    pub fn set_bounds(&mut self, bounds: &Bounds) {
        self.freshness.set_max_age(bounds.key_age);
        self.pace = Pace::new(bounds.change, bounds.key_age);
    }

    /// Returns true if a call to the store failed recently, here or on a peer
    /// that replied to this VM.
    pub fn is_store_failing(&self, now: Moment) -> bool {
        self.failure_seen_at.is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW)
    }

    /// Sends the queries that are due.
    pub fn tick(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        self.expire_query(ctx, out);
        self.failed_readers.retain(|_, at| ctx.at.since(*at) < STORE_RETRY_DELAY);
        if self.query == Query::None && self.next_query_at <= ctx.at {
            self.start_query(ctx, peers, out);
        }
        if self.version.is_some() {
            let secret = self.secret.as_ref().unwrap_or(&ctx.me.secret);
            let is_stored = self.secret.is_some() && !self.secret_lost;
            self.registration.tick(ctx, (!is_stored).then_some(secret), out);
        }
    }

    /// Ends this VM's registration.
    pub fn leave(&mut self, out: &mut Output) {
        self.registration.leave(out);
    }

    /// Gives up the query of a delegate that has not replied in time.
    fn expire_query(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let Query::Peer { vm, at, .. } = &self.query else { return };
        if ctx.at.since(*at) < DELEGATE_TIMEOUT {
            return;
        }
        out.log(Record::new("delegate_silent").with("peer", vm));
        self.failed_delegate = Some(vm.clone());
        self.failed_readers.insert(vm.clone(), ctx.at);
        self.query = Query::None;
    }

    fn start_query(&mut self, ctx: &Context<'_>, peers: &peer::State, out: &mut Output) {
        let Some(after) = self.version.filter(|_| !self.compacted) else {
            self.query = Query::Store;
            let role = if self.compacted { "compacted" } else { "start" };
            return out.call(Call::ReadAll { newest: self.compacted }, role);
        };
        let is_past = self.must_read_anew();
        if self.unconfirmed && !is_past && !self.has_store_failed(ctx.at) {
            self.query = Query::Store;
            return out.call(Call::ReadCatalog { after }, "start");
        }
        if let Some(Source { vm, address, max_age }) = self.peer_to_ask(ctx, peers) {
            let request = Request { from: ctx.me.vm.clone(), sent_at: ctx.at, after };
            self.query = Query::Peer { vm, at: ctx.at, max_age };
            return out.push(Effect::Send { address, datagram: Datagram::SyncRequest(request) });
        }
        self.query = Query::Store;
        let call = match is_past {
            true => Call::ReadAll { newest: true },
            false => Call::ReadChanges { after, wait: Span::ZERO },
        };
        out.call(call, self.role(ctx, peers));
    }

    /// Returns the peer to query, or `None` if this VM must query the store
    /// itself: it is a delegate, it must not wait for its peers any longer, or
    /// the delegates lack changes that it needs. For a while after its own read
    /// of the store has failed, it first queries any peer with recent data, and
    /// the age of its own data does not make it query the store.
    fn peer_to_ask(&self, ctx: &Context<'_>, peers: &peer::State) -> Option<Source> {
        let max_age = self.pace.max_delegate_age();
        let ranking = peers.rank_data_centre(ctx);
        let failed = self.has_store_failed(ctx.at);
        if self.delegates_lack_changes || (!failed && self.must_query_store(ctx, &ranking)) {
            return None;
        }
        // A reader need not be a delegate of its data centre, and must not query
        // delegates that query it.
        let readers = self.readers(ctx, peers);
        if !failed && readers.contains(&ctx.me.vm) {
            return None;
        }
        // If one reader has only stale data, the other may have read since.
        if ranking.is_delegate()
            && let Some(reader) = self.reader_to_ask(ctx, peers, &readers)
        {
            return Some(reader);
        }
        // A VM of any data centre that still reaches the store can respond.
        if (failed || self.delegates_stale)
            && let Some((vm, address)) = peers.freshest(ctx.at, max_age)
        {
            return Some(Source { vm, address, max_age });
        }
        if ranking.is_delegate() {
            return None;
        }
        let sources = if self.delegates_stale { ranking.backups() } else { ranking.delegates() };
        let is_usable =
            |vm: &&VmId| **vm != ctx.me.vm && Some(*vm) != self.failed_delegate.as_ref();
        let vm = sources.iter().chain(ranking.delegates()).find(is_usable)?;
        Some(Source { vm: vm.clone(), address: peers.address(vm)?, max_age })
    }

    /// Returns the VMs that read the store for all data centres that this VM
    /// hears; none if delegates read it.
    fn readers(&self, ctx: &Context<'_>, peers: &peer::State) -> Vec<VmId> {
        if !self.pace.has_readers {
            return Vec::new();
        }
        peers.rank_reachable(ctx).all().iter().take(READERS).cloned().collect()
    }

    /// Returns the reader that this delegate is to query, or `None` if it must
    /// query the store itself.
    fn reader_to_ask(
        &self,
        ctx: &Context<'_>,
        peers: &peer::State,
        readers: &[VmId],
    ) -> Option<Source> {
        if readers.contains(&ctx.me.vm) {
            return None;
        }
        let has_failed = |vm: &VmId| {
            self.failed_readers.get(vm).is_some_and(|at| ctx.at.since(*at) < STORE_RETRY_DELAY)
        };
        let vm = readers.iter().find(|vm| !has_failed(vm))?;
        let max_age = self.pace.max_reader_age();
        Some(Source { vm: vm.clone(), address: peers.address(vm)?, max_age })
    }

    /// Returns as what this VM reads changes from the store, for the log.
    fn role(&self, ctx: &Context<'_>, peers: &peer::State) -> &'static str {
        if self.delegates_lack_changes {
            return "behind";
        }
        if self.readers(ctx, peers).contains(&ctx.me.vm) {
            return "reader";
        }
        let ranking = peers.rank_data_centre(ctx);
        if ranking.is_delegate() {
            return "delegate";
        }
        if ranking.fallback_rank().is_none() { "backup" } else { "fallback" }
    }

    /// Returns true if this VM's latest read of the store failed recently.
    fn has_store_failed(&self, now: Moment) -> bool {
        self.store_failed_at.is_some_and(|at| now.since(at) < STORE_RETRY_DELAY)
    }

    /// Returns true if this VM must not wait for its peers any longer.
    fn must_query_store(&self, ctx: &Context<'_>, ranking: &peer::Ranking) -> bool {
        let age = self.rows.at.map(|at| ctx.at.since(at));
        let Some(rank) = ranking.fallback_rank() else {
            let is_stale =
                self.delegates_stale && !(self.pace.has_readers && ranking.is_delegate());
            return is_stale || age.is_none_or(|age| self.pace.fallback_age <= age);
        };
        // While peers report that the store is failing, this VM waits for its
        // turn, so that not all VMs call the store at once.
        let is_outage = self.delegates_stale && self.is_store_failing(ctx.at);
        let delay = if is_outage { STORE_FALLBACK_STEP.0 * (rank as u64 + 1) } else { 0 };
        age.is_none_or(|age| self.pace.fallback_age + Span(delay) <= age)
    }

    /// Responds to a peer's request, if this VM knows enough. A peer of a later era shows
    /// that the store has returned; this VM must read before it can respond.
    pub fn handle_request(
        &mut self,
        ctx: &Context<'_>,
        request: &Request,
        address: SocketAddr,
        out: &mut Output,
    ) {
        if self.era < request.after.era {
            self.begin_era(ctx, request.after.era, request.from.as_str(), out);
        }
        if self.must_read_anew() {
            return;
        }
        let (Some(version), Some(read_at)) = (self.version, self.read_at) else { return };
        let response = Response {
            from: ctx.me.vm.clone(),
            request_sent_at: request.sent_at,
            version,
            age: ctx.at.since(read_at),
            rows_age: self.rows.certain().map(|at| ctx.at.since(at)),
            store_failing: self.is_store_failing(ctx.at),
            rows: self.journal.changes_after(request.after),
        };
        out.push(Effect::Send { address, datagram: Datagram::SyncResponse(response) });
    }

    /// Applies a peer's response. Returns the rows for the other components.
    pub fn handle_response(
        &mut self,
        ctx: &Context<'_>,
        response: Response,
        out: &mut Output,
    ) -> Option<Update> {
        let max_age = match &self.query {
            Query::Peer { vm, at, max_age }
                if *vm == response.from && *at == response.request_sent_at =>
            {
                *max_age
            }
            _ => return None,
        };
        self.query = Query::None;
        if response.version.era < self.era {
            // The peer has not read since the store returned.
            self.failed_delegate = Some(response.from.clone());
            self.failed_readers.insert(response.from, ctx.at);
            return None;
        }
        if self.era < response.version.era {
            self.begin_era(ctx, response.version.era, response.from.as_str(), out);
        }
        if response.store_failing {
            self.failure_seen_at = Some(ctx.at);
        }
        let Some(rows) = response.rows else {
            out.log(Record::new("delegate_ahead").with("peer", &response.from));
            self.delegates_lack_changes = true;
            return None;
        };
        let were_stale = std::mem::replace(&mut self.delegates_stale, max_age < response.age);
        // A reader that the store fails may pass on what it heard from this VM.
        if self.delegates_stale || response.store_failing {
            self.failed_readers.insert(response.from.clone(), ctx.at);
        }
        // Backups are queried at once only if this is the first stale response,
        // and only if the store has not just failed this VM.
        let asks_backups = self.delegates_stale && !were_stale && self.store_failed_at.is_none();
        self.next_query_at =
            if asks_backups { ctx.at } else { response.request_sent_at + DELEGATE_INTERVAL };
        // The data was the newest `age` before the response was sent, and the
        // response was sent after the request: counting from the request is on
        // the safe side.
        let read_before = self.rows.at;
        let as_of = |age: Span| Moment(response.request_sent_at.0.saturating_sub(age.0));
        let confirmed = as_of(response.age);
        if let Some(age) = response.rows_age {
            self.rows.confirm(as_of(age));
        }
        let version = self.version.max(Some(response.version));
        let version = version.unwrap_or_default();
        let has_returned = self.must_read_anew();
        let mut rows = self.apply_rows(ctx, rows, false, version, Some(confirmed), out);
        if has_returned {
            // A peer's report may have told of an evacuation whose row this VM never read.
            rows.retain(|row| !matches!(row.name, Name::Evacuation(_)));
            rows.extend(self.journal.evacuations().cloned());
        }
        let update = Update { has_returned, ..self.update(ctx, rows, false, version, read_before) };
        log_changes(&update, response.from.as_str(), response.rows_age, out);
        Some(update)
    }

    /// Applies the store's reply to a call. Returns the rows for the other
    /// components.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        answer: Answer,
        out: &mut Output,
    ) -> Option<Update> {
        let Answer { era, mut result } = answer;
        self.log_store_health(ctx, call, &result, out);
        if let Some(era) = era {
            if self.era < era {
                self.begin_era(ctx, era, call_name(call), out);
            }
            // What an earlier era said, or what has changed since a position of an earlier
            // one, says nothing of this one.
            let is_past = era < self.era || call.after().is_some_and(|after| after.era < self.era);
            if is_past && result.is_ok() {
                result = Err(Error::Compacted);
            }
        }
        let snapshot = match call {
            Call::ReadAll { .. } => true,
            Call::ReadChanges { .. } | Call::ReadCatalog { .. } => false,
            Call::WriteHoldings { .. } => return None,
            _ => {
                self.registration.handle_reply(ctx, call, sent, &result);
                return None;
            }
        };
        self.query = Query::None;
        self.next_query_at =
            if result.is_ok() { sent + self.pace.read_interval } else { ctx.at + SYNC_RETRY_DELAY };
        self.store_failed_at = result.is_err().then_some(ctx.at);
        self.delegates_stale = false;
        match result {
            Ok(Reply::Rows { rows, version }) => {
                self.failed_delegate = None;
                self.delegates_lack_changes = false;
                self.compacted = false;
                // Rows that may be out of date confirm nothing. The next query
                // asks only whether the configuration has changed, since with
                // many targets reading all changes takes long and would keep
                // callers waiting.
                let read_before = self.rows.at;
                if snapshot {
                    self.rows.at = self.rows.at.max(Some(sent));
                    self.next_query_at = ctx.at;
                    self.unconfirmed = true;
                    let has_returned = self.must_read_anew();
                    self.secret_lost = has_returned
                        && !rows.iter().any(|row| row.name == Name::Secret && row.value.is_some());
                    let rows = self.apply_rows(ctx, rows, snapshot, version, None, out);
                    let update = self.update(ctx, rows, true, version, read_before);
                    return Some(Update { has_returned, ..update });
                }
                let is_catalog = matches!(call, Call::ReadCatalog { .. });
                if is_catalog {
                    // If there is no configuration yet, later changes will
                    // contain it.
                    self.unconfirmed = false;
                    self.next_query_at = sent + DELEGATE_INTERVAL;
                }
                if !is_catalog {
                    self.rows.confirm(sent);
                }
                let known = self.version.filter(|_| is_catalog);
                let version = known.unwrap_or(version);
                let rows = self.apply_rows(ctx, rows, false, version, Some(sent), out);
                let update = self.update(ctx, rows, false, version, read_before);
                log_changes(&update, "store", Some(ctx.at.since(sent)), out);
                Some(update)
            }
            Err(Error::Compacted) if self.must_read_anew() => {
                self.store_failed_at = None;
                self.next_query_at = ctx.at;
                None
            }
            Err(err @ (Error::Compacted | Error::TooLong)) => {
                // Until it has read all rows, this VM still responds to its peers
                // with what it knows, so that they don't read all rows too.
                self.compacted = true;
                let version = self.version.unwrap_or_default();
                let line = Record::new("store_compacted").with("version", version);
                out.log(line.with("reason", err));
                self.next_query_at = ctx.at;
                None
            }
            Ok(_) | Err(_) => None,
        }
    }

    /// Returns the update of rows that replace those of `read_before`. If this VM itself has
    /// lost the store, what is missing has just lapsed for all that it knows. If only a peer
    /// has, it may have been deleted right after the rows before.
    fn update(
        &self,
        ctx: &Context<'_>,
        rows: Vec<Row>,
        snapshot: bool,
        version: Position,
        read_before: Option<Moment>,
    ) -> Update {
        let is_recent = |at: Moment| ctx.at.since(at) < STORE_FAILURE_WINDOW;
        let earliest = read_before.filter(|_| !self.own_failure_at.is_some_and(is_recent));
        let may_return = self.is_store_failing(ctx.at) || self.has_just_returned(ctx.at);
        let earliest = earliest.filter(|_| !self.has_just_returned(ctx.at));
        let lapsed_at = may_return.then_some(earliest.unwrap_or(ctx.at));
        Update { rows, snapshot, version, lapsed_at, has_returned: false }
    }

    /// Logs when the store starts to fail and when it is back.
    fn log_store_health(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Err(err @ (Error::Refused(_) | Error::Unknown(_))) = result else {
            if result.is_ok() && self.failure_logged_at.take().is_some() {
                out.log(Record::new("store_back").with("call", call_name(call)));
            }
            return;
        };
        self.failure_seen_at = Some(ctx.at);
        self.own_failure_at = Some(ctx.at);
        if self.failure_logged_at.is_some_and(|at| ctx.at.since(at) < FAILURE_LOG_INTERVAL) {
            return;
        }
        self.failure_logged_at = Some(ctx.at);
        let age = self.freshness.confirmed_at().map_or(0, |at| ctx.at.since(at).as_millis());
        let line = Record::new("store_failed").with("call", call_name(call));
        out.log(line.with("error", err).with("confirmed_ms_ago", age));
    }

    fn apply_rows(
        &mut self,
        ctx: &Context<'_>,
        rows: Vec<Row>,
        snapshot: bool,
        version: Position,
        confirmed: Option<Moment>,
        out: &mut Output,
    ) -> Vec<Row> {
        let rows = self.journal.apply(rows, snapshot, self.version, version);
        for row in &rows {
            if row.name == Name::Catalog {
                self.follow_catalog(row, out);
            }
            match (&row.name, &row.value) {
                (Name::Secret, Some(Value::Secret(secret))) => {
                    self.secret_lost = false;
                    if self.secret.as_ref() != Some(secret) {
                        self.secret = Some(secret.clone());
                        out.push(Effect::SetSecret(secret.clone()));
                    }
                }
                (Name::Other(_), _) => {}
                (name, Some(Value::Unusable(reason))) => {
                    let line = Record::new("row_unusable").with("row", name);
                    out.log(line.with("version", row.version).with("reason", reason));
                }
                _ => {}
            }
        }
        self.version = Some(version);
        if let Some(confirmed) = confirmed {
            self.confirm(ctx, confirmed, out);
        }
        rows
    }
}

/// Logs by which way changes have reached this VM, and how old they may be.
fn log_changes(update: &Update, from: &str, age: Option<Span>, out: &mut Output) {
    if update.rows.is_empty() {
        return;
    }
    let line = Record::new("changes").with("from", from).with("version", update.version);
    let line = line.with("rows", update.rows.len());
    out.log(match age {
        Some(age) => line.with("age", age),
        None => line.with("age", "unknown"),
    });
}

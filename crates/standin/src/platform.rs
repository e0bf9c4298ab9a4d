//! The platform's service: the store and the VM list over HTTP, with call counters and faults.
//!
//! | call | effect or answer |
//! |---|---|
//! | `POST /v1/store` | executes one operation, see `briarshift_store::http` |
//! | `GET /v1/vms` | the list of VMs |
//! | `GET /admin/calls` | the [`Calls`] so far |
//! | `PUT /admin/vms?lag_ms=N` | sets the list of VMs, which is returned after `N` milliseconds |
//! | `POST /admin/fault` | activates a [`Fault`] of a [`FaultKind`] |
//! | `DELETE /admin/fault` | clears all faults |

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{self, Data, Json, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use briarshift_store::{Error, ListedVm, Operation, Reply};
use briarshift_units::Moment;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::Fault;
use crate::fault::ActiveFaults;
use crate::serve::{Listener, aborted_response, lock};
use crate::store::MemoryStore;

/// Kind of a fault of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Refuses calls with 503. If it is active until cleared, it also ends waiting watches.
    Outage,
    /// Never answers calls, and does not execute them.
    Silent,
    /// Executes and answers calls after a delay.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// Executes writes, but aborts the connection instead of answering.
    LoseAnswers,
}

/// Numbers of calls received, by kind. A watch counts as one call, however long it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
    /// Leases granted.
    pub grant: u64,
    /// Leases renewed.
    pub renew: u64,
    /// Leases revoked.
    pub revoke: u64,
    /// Reads of the VM list.
    pub vms: u64,
}

impl Calls {
    /// Returns the number of calls that write.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_standin::platform::Calls;
    /// let calls = Calls { put: 2, watch: 1, ..Calls::default() };
    /// assert_eq!((calls.writes(), calls.reads()), (2, 1));
    /// ```
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.grant + self.renew + self.revoke
    }

    /// Returns the number of calls that read.
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch + self.vms
    }

    fn record(&mut self, operation: &Operation) {
        let counter = match operation {
            Operation::Get { .. } => &mut self.get,
            Operation::List { .. } => &mut self.list,
            Operation::Put { .. } => &mut self.put,
            Operation::Delete { .. } => &mut self.delete,
            Operation::Watch { .. } => &mut self.watch,
            Operation::Grant { .. } => &mut self.grant,
            Operation::Renew { .. } => &mut self.renew,
            Operation::Revoke { .. } => &mut self.revoke,
        };
        *counter += 1;
    }
}

#[derive(Default)]
struct State {
    store: MemoryStore,
    calls: Calls,
    faults: ActiveFaults<FaultKind>,
    listed: Vec<ListedVm>,
    pending: Vec<PendingList>,
}

/// A list of VMs that is returned from `listed_at` on.
struct PendingList {
    listed_at: Instant,
    vms: Vec<ListedVm>,
}

struct Shared {
    started: Instant,
    state: Mutex<State>,
    /// Incremented at each change, to wake waiting watches.
    changed: watch::Sender<u64>,
}

impl Shared {
    fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn set_vms(&self, vms: Vec<ListedVm>, lag: Duration) {
        lock(&self.state).pending.push(PendingList { listed_at: Instant::now() + lag, vms });
    }

    fn set_fault(&self, fault: Fault<FaultKind>) {
        lock(&self.state).faults.add(fault);
        self.wake();
    }

    fn clear_faults(&self) {
        lock(&self.state).faults.clear();
        self.wake();
    }
}

/// A running platform service.
pub struct Server {
    shared: Arc<Shared>,
    listener: Listener,
}

impl Server {
    /// Starts the service on a loopback port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be opened.
    ///
    /// # Examples
    ///
    /// ```
    /// let server = briarshift_standin::platform::Server::start().unwrap();
    /// assert!(server.address().ip().is_loopback());
    /// server.close();
    /// ```
    pub fn start() -> io::Result<Self> {
        Self::start_on(0)
    }

    /// Starts the service on the given loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be opened.
    pub fn start_on(port: u16) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            state: Mutex::default(),
            changed: watch::channel(0).0,
        });
        let data = Data::from(Arc::clone(&shared));
        let listener = Listener::start(port, move |config| routes(config, &data))?;
        Ok(Self { shared, listener })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the numbers of calls received so far.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.state).calls
    }

    /// Executes an operation directly on the store, without counting it and without faults.
    ///
    /// # Errors
    ///
    /// The errors of [`MemoryStore::execute`].
    pub fn execute(&self, operation: Operation) -> Result<Reply, Error> {
        let reply = lock(&self.shared.state).store.execute(self.shared.now(), operation);
        self.shared.wake();
        reply
    }

    /// Sets the list of VMs, which the service returns after `lag`.
    pub fn set_vms(&self, vms: Vec<ListedVm>, lag: Duration) {
        self.shared.set_vms(vms, lag);
    }

    /// Activates a fault.
    pub fn inject_fault(&self, fault: Fault<FaultKind>) {
        self.shared.set_fault(fault);
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        self.shared.clear_faults();
    }

    /// Waits until the service stops.
    pub fn wait(mut self) {
        self.listener.wait();
    }

    /// Stops the service and waits for its thread.
    pub fn close(self) {
        self.listener.close();
    }
}

fn routes(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/v1/store", web::post().to(store))
        .route("/v1/vms", web::get().to(vms))
        .route("/admin/calls", web::get().to(calls))
        .route("/admin/vms", web::put().to(set_vms))
        .route("/admin/fault", web::post().to(set_fault))
        .route("/admin/fault", web::delete().to(clear_faults));
}

/// The effect of the active faults on a call before it is executed.
enum Interception {
    Proceed,
    Refuse,
    NeverAnswer,
    Delay(Duration),
}

fn next_interception(state: &mut State) -> Interception {
    let is_lost_answer = |kind: &FaultKind| *kind == FaultKind::LoseAnswers;
    match state.faults.take(|kind| !is_lost_answer(kind)) {
        Some(FaultKind::Outage) => Interception::Refuse,
        Some(FaultKind::Silent) => Interception::NeverAnswer,
        Some(FaultKind::Slow { delay_ms }) => Interception::Delay(Duration::from_millis(delay_ms)),
        Some(FaultKind::LoseAnswers) | None => Interception::Proceed,
    }
}

/// Applies an interception. Returns the response if the call must not be executed.
async fn intercept(interception: Interception) -> Option<HttpResponse> {
    match interception {
        Interception::Proceed => None,
        Interception::Refuse => Some(to_response(Err(Error::Refused("outage".into())))),
        Interception::NeverAnswer => std::future::pending().await,
        Interception::Delay(delay) => {
            tokio::time::sleep(delay).await;
            None
        }
    }
}

fn to_response(result: Result<Reply, Error>) -> HttpResponse {
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(err @ Error::Conflict(_)) => HttpResponse::Conflict().json(err),
        Err(err @ Error::LeaseEnded) => HttpResponse::Gone().json(err),
        Err(err) => HttpResponse::ServiceUnavailable().json(err),
    }
}

async fn store(shared: Data<Shared>, Json(operation): Json<Operation>) -> HttpResponse {
    let interception = {
        let mut state = lock(&shared.state);
        state.calls.record(&operation);
        next_interception(&mut state)
    };
    if let Some(response) = intercept(interception).await {
        return response;
    }
    match operation {
        Operation::Watch { wait, .. } => watch(&shared, operation, wait.into()).await,
        operation => execute(&shared, operation),
    }
}

fn execute(shared: &Shared, operation: Operation) -> HttpResponse {
    let writes = !matches!(operation, Operation::Get { .. } | Operation::List { .. });
    let mut state = lock(&shared.state);
    let result = state.store.execute(shared.now(), operation);
    let lost = writes && state.faults.take(|kind| *kind == FaultKind::LoseAnswers).is_some();
    drop(state);
    if writes {
        shared.wake();
    }
    if lost { aborted_response() } else { to_response(result) }
}

async fn watch(shared: &Shared, operation: Operation, wait: Duration) -> HttpResponse {
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let result = {
            let mut state = lock(&shared.state);
            if state.faults.find(|kind| *kind == FaultKind::Outage).is_some() {
                return to_response(Err(Error::Refused("outage".into())));
            }
            state.store.execute(shared.now(), operation.clone())
        };
        if result != Ok(Reply::Value(None)) {
            return to_response(result);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return to_response(result);
        }
    }
}

async fn vms(shared: Data<Shared>) -> HttpResponse {
    let interception = {
        let mut state = lock(&shared.state);
        state.calls.vms += 1;
        next_interception(&mut state)
    };
    if let Some(response) = intercept(interception).await {
        return response;
    }
    let mut state = lock(&shared.state);
    let now = Instant::now();
    while state.pending.first().is_some_and(|pending| pending.listed_at <= now) {
        state.listed = state.pending.remove(0).vms;
    }
    HttpResponse::Ok().json(&state.listed)
}

async fn calls(shared: Data<Shared>) -> impl Responder {
    Json(lock(&shared.state).calls)
}

#[derive(Deserialize)]
struct Lag {
    #[serde(default)]
    lag_ms: u64,
}

async fn set_vms(
    shared: Data<Shared>,
    Query(lag): Query<Lag>,
    Json(vms): Json<Vec<ListedVm>>,
) -> impl Responder {
    shared.set_vms(vms, Duration::from_millis(lag.lag_ms));
    HttpResponse::NoContent()
}

async fn set_fault(shared: Data<Shared>, Json(fault): Json<Fault<FaultKind>>) -> impl Responder {
    shared.set_fault(fault);
    HttpResponse::NoContent()
}

async fn clear_faults(shared: Data<Shared>) -> impl Responder {
    shared.clear_faults();
    HttpResponse::NoContent()
}

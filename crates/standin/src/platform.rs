//! The platform's service: store and VM list over HTTP, with counts and faults.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/store` | one operation, see `briarshift_store::http` |
//! | `GET /v1/vms` | the list of VMs |
//! | `GET /admin/calls` | [`Calls`] so far |
//! | `PUT /admin/vms?lag_ms=N` | sets the list, shown after a lag |
//! | `POST /admin/fault` | switches a [`Fault`] of a [`FaultKind`] on |
//! | `DELETE /admin/fault` | switches all faults off |

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
use crate::fault::Switches;
use crate::serve::{Listener, broken, lock};
use crate::store::Memory;

/// What can go wrong with the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Refuses calls with 503; a lasting one ends waiting watches too.
    Outage,
    /// Never answers; nothing takes effect.
    Silent,
    /// Answers late.
    Slow {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect, and their answer is dropped.
    LoseAnswers,
}

/// Calls received, by kind. A watch counts as one, however long it waits.
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
    /// Calls that write.
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

    /// Calls that read.
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch + self.vms
    }

    fn count(&mut self, operation: &Operation) {
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
    memory: Memory,
    calls: Calls,
    faults: Switches<FaultKind>,
    shown: Vec<ListedVm>,
    due: Vec<Due>,
}

/// A list of VMs to be shown later.
struct Due {
    at: Instant,
    vms: Vec<ListedVm>,
}

struct Shared {
    origin: Instant,
    state: Mutex<State>,
    /// Raised at each change, to wake watches.
    changed: watch::Sender<u64>,
}

impl Shared {
    fn now(&self) -> Moment {
        Moment(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn set_vms(&self, vms: Vec<ListedVm>, lag: Duration) {
        lock(&self.state).due.push(Due { at: Instant::now() + lag, vms });
    }

    fn set_fault(&self, fault: Fault<FaultKind>) {
        lock(&self.state).faults.set(fault);
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
    /// Starts it on a loopback port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// The listener's error.
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

    /// Starts it on a given loopback port.
    ///
    /// # Errors
    ///
    /// The listener's error.
    pub fn start_on(port: u16) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            origin: Instant::now(),
            state: Mutex::default(),
            changed: watch::channel(0).0,
        });
        let data = Data::from(Arc::clone(&shared));
        let listener = Listener::start(port, move |config| routes(config, &data))?;
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Calls received so far.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.state).calls
    }

    /// Carries out an operation directly, uncounted and past any fault.
    ///
    /// # Errors
    ///
    /// As [`Memory::execute`].
    pub fn execute(&self, operation: Operation) -> Result<Reply, Error> {
        let reply = lock(&self.shared.state).memory.execute(self.shared.now(), operation);
        self.shared.wake();
        reply
    }

    /// Sets the list of VMs, shown after a lag.
    pub fn set_vms(&self, vms: Vec<ListedVm>, lag: Duration) {
        self.shared.set_vms(vms, lag);
    }

    /// Switches a fault on.
    pub fn fault(&self, fault: Fault<FaultKind>) {
        self.shared.set_fault(fault);
    }

    /// Switches all faults off.
    pub fn clear_faults(&self) {
        self.shared.clear_faults();
    }

    /// Waits until the service stops.
    pub fn wait(mut self) {
        self.listener.wait();
    }

    /// Stops it.
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

/// What a call meets before it is carried out.
enum Gate {
    Open,
    Refuse,
    Silent,
    Slow(Duration),
}

fn gate(state: &mut State) -> Gate {
    let lose = |kind: &FaultKind| *kind == FaultKind::LoseAnswers;
    match state.faults.take(|kind| !lose(kind)) {
        Some(FaultKind::Outage) => Gate::Refuse,
        Some(FaultKind::Silent) => Gate::Silent,
        Some(FaultKind::Slow { delay_ms }) => Gate::Slow(Duration::from_millis(delay_ms)),
        Some(FaultKind::LoseAnswers) | None => Gate::Open,
    }
}

/// Passes a call on, or gives the answer that a fault makes of it.
async fn pass(gate: Gate) -> Option<HttpResponse> {
    match gate {
        Gate::Open => None,
        Gate::Refuse => Some(answer(Err(Error::Refused("outage".into())))),
        Gate::Silent => std::future::pending().await,
        Gate::Slow(delay) => {
            tokio::time::sleep(delay).await;
            None
        }
    }
}

fn answer(result: Result<Reply, Error>) -> HttpResponse {
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(err @ Error::Conflict(_)) => HttpResponse::Conflict().json(err),
        Err(err @ Error::LeaseEnded) => HttpResponse::Gone().json(err),
        Err(err) => HttpResponse::ServiceUnavailable().json(err),
    }
}

async fn store(shared: Data<Shared>, Json(operation): Json<Operation>) -> HttpResponse {
    let gate = {
        let mut state = lock(&shared.state);
        state.calls.count(&operation);
        gate(&mut state)
    };
    if let Some(response) = pass(gate).await {
        return response;
    }
    match operation {
        Operation::Watch { wait, .. } => watch(&shared, operation, wait.into()).await,
        operation => direct(&shared, operation),
    }
}

fn direct(shared: &Shared, operation: Operation) -> HttpResponse {
    let writes = !matches!(operation, Operation::Get { .. } | Operation::List { .. });
    let mut state = lock(&shared.state);
    let result = state.memory.execute(shared.now(), operation);
    let lost = writes && state.faults.take(|kind| *kind == FaultKind::LoseAnswers).is_some();
    drop(state);
    if writes {
        shared.wake();
    }
    if lost { broken() } else { answer(result) }
}

async fn watch(shared: &Shared, operation: Operation, wait: Duration) -> HttpResponse {
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let result = {
            let mut state = lock(&shared.state);
            if state.faults.peek(|kind| *kind == FaultKind::Outage).is_some() {
                return answer(Err(Error::Refused("outage".into())));
            }
            state.memory.execute(shared.now(), operation.clone())
        };
        if result != Ok(Reply::Value(None)) {
            return answer(result);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return answer(result);
        }
    }
}

async fn vms(shared: Data<Shared>) -> HttpResponse {
    let gate = {
        let mut state = lock(&shared.state);
        state.calls.vms += 1;
        gate(&mut state)
    };
    if let Some(response) = pass(gate).await {
        return response;
    }
    let mut state = lock(&shared.state);
    let now = Instant::now();
    while state.due.first().is_some_and(|due| due.at <= now) {
        state.shown = state.due.remove(0).vms;
    }
    HttpResponse::Ok().json(&state.shown)
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

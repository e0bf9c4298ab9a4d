//! A desk runner: bookings, cancellations and stock checks.
//!
//! | call | effect or answer |
//! |---|---|
//! | `POST /bookings` | makes the booking that the `booking` field of the body names |
//! | `DELETE /bookings/{id}` | cancels a booking |
//! | `GET /stock/{item}` | the stock of an item |
//! | `GET /load` | the load report |
//! | `GET /admin/runs` | the [`Log`] of runs, with the number of runs of each booking |
//! | `POST /admin/leave` | the runner starts leaving, but still runs the requests it receives |
//! | `POST /admin/fault` | activates a [`Fault`] of a [`FaultKind`] |
//! | `DELETE /admin/fault` | clears all faults |
//!
//! Of the faults, [`FaultKind::Late`] delays the answer after the run, [`FaultKind::Cut`] runs the
//! request and then aborts the connection, and [`FaultKind::OmitEnd`] truncates the body. The runner
//! runs a repeated booking again, since the router must prevent repetition.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::http::header::RETRY_AFTER;
use actix_web::web::{self, Bytes, Data, Json, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use briarshift_target::LoadReport;
use briarshift_target::http::REQUEST_ID;
use briarshift_units::StartNumber;
use futures::stream::{self, StreamExt};
use serde_json::{Value, json};

use crate::Fault;
use crate::engine::FaultKind;
use crate::fault::ActiveFaults;
use crate::run::{Log, Recorder};
use crate::serve::{Handle, Listener, aborted_response, lock};

/// Interval at which a frozen runner checks whether the freeze has been cleared.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Request id that a [`FaultKind::Crossed`] answer echoes if there was no earlier run.
const UNKNOWN_RUN_ID: &str = "0000000000000000.1";
/// Stock that the runner reports for every item.
const STOCK: u32 = 12;

/// Settings of a runner.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Loopback port, 0 to let the operating system choose.
    pub port: u16,
    /// Start number of the process.
    pub start_number: StartNumber,
    /// Duration of each call.
    pub call_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { port: 0, start_number: StartNumber(1), call_time: Duration::ZERO }
    }
}

struct State {
    settings: Settings,
    recorder: Recorder,
    faults: ActiveFaults<FaultKind>,
    crashed: bool,
}

struct Shared {
    state: Mutex<State>,
    handle: OnceLock<Handle>,
}

impl Shared {
    fn crash(&self) {
        lock(&self.state).crashed = true;
        if let Some(handle) = self.handle.get() {
            handle.abort();
        }
    }
}

/// A running desk runner.
pub struct Server {
    shared: Arc<Shared>,
    listener: Listener,
}

impl Server {
    /// Starts a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be opened.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_standin::runner::{Server, Settings};
    /// let runner = Server::start(Settings::default()).unwrap();
    /// assert!(runner.log().bookings.is_empty());
    /// runner.close();
    /// ```
    pub fn start(settings: Settings) -> io::Result<Self> {
        let state = State {
            settings,
            recorder: Recorder::new(),
            faults: ActiveFaults::default(),
            crashed: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), handle: OnceLock::new() });
        let data = Data::from(Arc::clone(&shared));
        let listener = Listener::start(settings.port, move |config| routes(config, &data))?;
        shared.handle.get_or_init(|| listener.handle());
        Ok(Self { shared, listener })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns its log of runs so far.
    pub fn log(&self) -> Log {
        lock(&self.shared.state).recorder.log().clone()
    }

    /// Starts leaving.
    pub fn leave(&self) {
        lock(&self.shared.state).recorder.start_leaving();
    }

    /// Activates a fault.
    pub fn inject_fault(&self, fault: Fault<FaultKind>) {
        lock(&self.shared.state).faults.add(fault);
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        lock(&self.shared.state).faults.clear();
    }

    /// Simulates a crash: stops listening and aborts all connections. The log stays readable.
    pub fn kill(&self) {
        self.shared.crash();
    }

    /// Returns true if it crashed by an injected fault or by [`Server::kill`].
    pub fn crashed(&self) -> bool {
        lock(&self.shared.state).crashed
    }

    /// Waits until it stops. Returns true if it crashed.
    pub fn wait(mut self) -> bool {
        self.listener.wait();
        self.crashed()
    }

    /// Stops it and waits for its thread.
    pub fn close(self) {
        self.listener.close();
    }
}

fn routes(config: &mut ServiceConfig, data: &Data<Shared>) {
    config
        .app_data(data.clone())
        .route("/bookings", web::post().to(book))
        .route("/bookings/{id}", web::delete().to(cancel))
        .route("/stock/{item:.*}", web::get().to(stock))
        .route("/load", web::get().to(load))
        .route("/admin/runs", web::get().to(runs))
        .route("/admin/leave", web::post().to(leave))
        .route("/admin/fault", web::post().to(set_fault))
        .route("/admin/fault", web::delete().to(clear_faults));
}

async fn book(shared: Data<Shared>, head: HttpRequest, body: Bytes) -> HttpResponse {
    let parsed: Option<Value> = serde_json::from_slice(&body).ok();
    let booking = parsed.as_ref().and_then(|body| body["booking"].as_str());
    let Some(booking) = booking else {
        return HttpResponse::BadRequest().json(json!({ "error": "the body names no booking" }));
    };
    let text = String::from_utf8_lossy(&body);
    run(&shared, &head, Some(booking), &text, json!({ "booking": booking })).await
}

async fn cancel(shared: Data<Shared>, head: HttpRequest, id: Path<String>) -> HttpResponse {
    run(&shared, &head, None, &id, json!({ "cancelled": *id })).await
}

async fn stock(shared: Data<Shared>, head: HttpRequest, item: Path<String>) -> HttpResponse {
    run(&shared, &head, None, &item, json!({ "item": *item, "stock": STOCK })).await
}

async fn run(
    shared: &Shared,
    head: &HttpRequest,
    booking: Option<&str>,
    text: &str,
    answer: Value,
) -> HttpResponse {
    wait_until_unfrozen(shared).await;
    if let Some(refusal) = check_refusal(shared) {
        return refusal;
    }
    let id = head.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default();
    let (index, previous_id, call_time, crashes) = {
        let mut state = lock(&shared.state);
        let previous_id = state.recorder.log().runs.last().map(|run| run.id.clone());
        let index = state.recorder.start(id, None, booking);
        let crash = |kind: &FaultKind| match kind {
            FaultKind::Crash { text: fatal } => text.contains(fatal.as_str()),
            _ => false,
        };
        (index, previous_id, state.settings.call_time, state.faults.find(crash).is_some())
    };
    if crashes {
        shared.crash();
        return std::future::pending().await;
    }
    if !call_time.is_zero() {
        tokio::time::sleep(call_time).await;
    }
    let fault = {
        let mut state = lock(&shared.state);
        state.recorder.end(index, true);
        let taken = |kind: &FaultKind| {
            matches!(
                kind,
                FaultKind::Late { .. }
                    | FaultKind::Cut { .. }
                    | FaultKind::Crossed
                    | FaultKind::OmitEnd
            )
        };
        state.faults.take(taken)
    };
    let mut echoed_id = id.to_owned();
    match fault {
        Some(FaultKind::Late { delay_ms }) => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Some(FaultKind::Cut { .. }) => return aborted_response(),
        Some(FaultKind::Crossed) => {
            echoed_id = previous_id.map_or_else(|| UNKNOWN_RUN_ID.to_owned(), Into::into);
        }
        Some(FaultKind::OmitEnd) => return truncated_response(&echoed_id, &answer),
        _ => {}
    }
    wait_until_unfrozen(shared).await;
    HttpResponse::Ok().insert_header((REQUEST_ID, echoed_id)).json(answer)
}

/// Returns a response that contains half of the answer and then aborts the connection.
fn truncated_response(id: &str, answer: &Value) -> HttpResponse {
    let text = answer.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    // The pause makes sure that the first half is flushed before the connection is aborted.
    let cut = async {
        tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    };
    let chunks = stream::once(async { Ok(half) }).chain(stream::once(cut));
    HttpResponse::Ok()
        .insert_header((REQUEST_ID, id))
        .content_type("application/json")
        .body(SizedStream::new(text.len() as u64, chunks.boxed_local()))
}

fn check_refusal(shared: &Shared) -> Option<HttpResponse> {
    let refused = |kind: &FaultKind| matches!(kind, FaultKind::Refuse { .. });
    match lock(&shared.state).faults.take(refused) {
        Some(FaultKind::Refuse { retry_after_s }) => Some(
            HttpResponse::ServiceUnavailable()
                .insert_header((RETRY_AFTER, retry_after_s))
                .json(json!({ "error": "no room" })),
        ),
        _ => None,
    }
}

async fn wait_until_unfrozen(shared: &Shared) {
    let frozen = || lock(&shared.state).faults.find(|kind| *kind == FaultKind::Freeze).is_some();
    while frozen() {
        tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
    }
}

async fn load(shared: Data<Shared>) -> Json<LoadReport> {
    wait_until_unfrozen(&shared).await;
    let state = lock(&shared.state);
    Json(LoadReport {
        start: state.settings.start_number,
        running: state.recorder.running(),
        leaving: state.recorder.is_leaving(),
        ..LoadReport::default()
    })
}

async fn runs(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.state).recorder.log())
}

async fn leave(shared: Data<Shared>) -> HttpResponse {
    lock(&shared.state).recorder.start_leaving();
    HttpResponse::NoContent().finish()
}

async fn set_fault(shared: Data<Shared>, Json(fault): Json<Fault<FaultKind>>) -> HttpResponse {
    lock(&shared.state).faults.add(fault);
    HttpResponse::NoContent().finish()
}

async fn clear_faults(shared: Data<Shared>) -> HttpResponse {
    lock(&shared.state).faults.clear();
    HttpResponse::NoContent().finish()
}
